//! Hedged requests: a second attempt while a slow first is outstanding, for idempotent work only.

use std::time::Duration;

use auburnline_core::time::Monotonic;

use crate::budget::Budget;
use crate::budget::Permit;
use crate::retryable::Idempotent;

/// Step of the quantile estimate per observation, relative to the estimate.
const RELATIVE_STEP: f64 = 0.05;

/// Running estimate of the 95th percentile of the time to the first answer, from which the hedging
/// delay follows.
#[derive(Clone, Copy, Debug)]
pub struct Hedge {
    quantile: f64,
    estimate: f64,
    min_delay: Duration,
}

impl Hedge {
    /// Starts from an estimate of the 95th percentile; `min_delay` is a lower bound of the delay.
    #[must_use]
    pub fn new(initial_estimate: Duration, min_delay: Duration) -> Self {
        Hedge {
            quantile: 0.95,
            estimate: initial_estimate.as_secs_f64(),
            min_delay,
        }
    }

    /// Updates the estimate with the time that a first answer took.
    pub fn record(&mut self, latency: Duration) {
        let above = latency.as_secs_f64() > self.estimate;
        let direction = if above {
            self.quantile
        } else {
            self.quantile - 1.0
        };
        self.estimate *= 1.0 + RELATIVE_STEP * direction;
    }

    /// Returns the time after which an attempt without an answer is hedged.
    #[must_use]
    pub fn delay(&self) -> Duration {
        Duration::from_secs_f64(self.estimate.min(3_600.0)).max(self.min_delay)
    }

    /// Withdraws a permit for a second attempt if the first, sent at `sent`, has been outstanding
    /// for at least [`delay`](Self::delay) and the budget allows it.
    pub fn try_hedge<U: Ord + Clone, W: Ord + Clone>(
        &self,
        now: Monotonic,
        sent: Monotonic,
        _witness: Idempotent,
        budget: &mut Budget<U, W>,
        upstream: &U,
        workspace: &W,
    ) -> Option<Permit> {
        if now.saturating_sub(sent) < self.delay() {
            return None;
        }
        budget.withdraw(now, upstream, workspace).ok()
    }
}
