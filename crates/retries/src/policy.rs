//! Decides whether and when a failed attempt is retried.

use std::time::Duration;

use auburnline_core::error::Kind;
use auburnline_core::time::Monotonic;
use rand::Rng;

use crate::backoff::Backoff;
use crate::budget::Budget;
use crate::budget::Permit;
use crate::budget::Side;
use crate::retryable::Idempotent;
use crate::retryable::Retryable;

/// A failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct Failure<'a, U, W> {
    /// Error that the attempt ended with.
    pub kind: Kind,
    /// Present if the work is idempotent.
    pub witness: Option<Idempotent>,
    /// Attempts so far, including the failed one.
    pub attempts: u32,
    /// Delay that the refusal asked for; zero if none.
    pub retry_after: Duration,
    /// Time left until the deadline.
    pub left: Duration,
    /// Upstream or pool that the retry would go to; its budget is charged.
    pub upstream: &'a U,
    /// Workspace whose budget is charged.
    pub workspace: &'a W,
}

/// Why an attempt is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The request would fail again, or may have run and is not idempotent.
    NotRetryable,
    /// [`Policy::max_attempts`] is reached.
    Attempts,
    /// The deadline would pass before the retry.
    Deadline,
    /// A budget has no retry left.
    Budget(Side),
}

/// What to do after a failed attempt.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub enum Decision {
    /// Retry after `wait`.
    Retry {
        /// Backoff, including the delay that the refusal asked for.
        wait: Duration,
        /// Proof that the retry is safe.
        proof: Retryable,
        /// Withdrawn from both budgets.
        permit: Permit,
    },
    /// Return the failure to the caller.
    GiveUp(Refusal),
}

/// Retry policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Attempts of one request, including the first.
    pub max_attempts: u32,
    /// Delay between attempts.
    pub backoff: Backoff,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            max_attempts: 3,
            backoff: Backoff::default(),
        }
    }
}

impl Policy {
    /// Decides whether a failed attempt is retried. The budgets are checked last, so that nothing
    /// is withdrawn for a retry that another rule refuses.
    pub fn decide<U: Ord + Clone, W: Ord + Clone>(
        &self,
        now: Monotonic,
        failure: &Failure<'_, U, W>,
        budget: &mut Budget<U, W>,
        rng: &mut impl Rng,
    ) -> Decision {
        let Some(proof) = Retryable::of(failure.kind, failure.witness) else {
            return Decision::GiveUp(Refusal::NotRetryable);
        };
        if failure.attempts >= self.max_attempts {
            return Decision::GiveUp(Refusal::Attempts);
        }
        let wait = self
            .backoff
            .wait(failure.attempts, failure.retry_after, rng);
        if wait >= failure.left {
            return Decision::GiveUp(Refusal::Deadline);
        }
        match budget.withdraw(now, failure.upstream, failure.workspace) {
            Ok(permit) => Decision::Retry {
                wait,
                proof,
                permit,
            },
            Err(side) => Decision::GiveUp(Refusal::Budget(side)),
        }
    }
}
