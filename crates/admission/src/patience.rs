//! How long a request may be held before it is sent.
//!
//! A request that starts until [`Patience::start_by`] can be in time. After that it is late but may
//! still be of use, until its caller would abandon it or its deadline leaves no time for an answer.

use std::time::Duration;

use auburnline_core::time::Monotonic;

/// Fraction of the objective that is left for waiting; the rest is for reading the prompt and the
/// first forward pass.
const WAIT_FRACTION: f64 = 0.3;
/// Least time after which callers abandon a stream that shows nothing.
const MIN_PATIENCE: Duration = Duration::from_secs(2);
/// Multiple of the objective after which they do.
const PATIENCE_OBJECTIVES: u32 = 4;
/// Multiple of the longest pause after which they do.
const PATIENCE_PAUSES: u32 = 8;
/// Fraction of the time to its deadline for which a request may be held: a request that is refused
/// after three quarters of it has cost its caller as much as it was worth.
const MAX_HELD_FRACTION: f64 = 0.25;
/// Fraction of the time left that callers honour as a time to come back.
const RETURN_FRACTION: f64 = 1.0 / 3.0;

/// Objectives and deadline of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Patience {
    /// When the request arrived here.
    pub arrived: Monotonic,
    /// Time that the caller spent on it before.
    pub spent: Duration,
    /// Objective for the answer, or for the first event of a stream.
    pub objective: Duration,
    /// Objective for the pauses of a stream; `None` if the answer is not a stream.
    pub longest_pause: Option<Duration>,
    /// Deadline of the final answer.
    pub deadline: Monotonic,
}

impl Patience {
    /// Returns the last instant at which a start can be in time.
    #[must_use]
    pub fn start_by(&self) -> Monotonic {
        let wait = self.objective.mul_f64(WAIT_FRACTION);
        self.arrived + wait.saturating_sub(self.spent)
    }

    /// Returns the last instant at which a start that is late is still of use.
    #[must_use]
    pub fn hold_until(&self) -> Monotonic {
        let abandoned = self.longest_pause.map_or(MIN_PATIENCE, |pause| {
            let by_objective = self.objective * PATIENCE_OBJECTIVES;
            MIN_PATIENCE.max(by_objective).max(pause * PATIENCE_PAUSES)
        });
        let held = abandoned.saturating_sub(self.objective);
        let most = self
            .deadline
            .saturating_sub(self.arrived)
            .mul_f64(MAX_HELD_FRACTION);
        self.arrived + held.min(most)
    }

    /// Returns the longest time to come back that the caller honours.
    #[must_use]
    pub fn longest_return(&self, now: Monotonic) -> Duration {
        self.deadline.saturating_sub(now).mul_f64(RETURN_FRACTION)
    }
}
