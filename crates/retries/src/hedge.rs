//! A second attempt beside a slow first, for idempotent work only.

use std::time::Duration;

use auburnline_core::time::Monotonic;

use crate::budget::Budget;
use crate::budget::Permit;
use crate::ground::Idempotent;

/// Part of the estimate by which one observation moves it.
const STEP: f64 = 0.05;

/// Estimate of how long a first answer usually takes, and the decision to hedge.
#[derive(Clone, Copy, Debug)]
pub struct Hedge {
    quantile: f64,
    estimate: f64,
    least: Duration,
}

impl Hedge {
    /// Starts from a guess of the time within which 95 of 100 first answers come.
    #[must_use]
    pub fn new(guess: Duration, least: Duration) -> Self {
        Hedge {
            quantile: 0.95,
            estimate: guess.as_secs_f64(),
            least,
        }
    }

    /// Learns how long a first answer took.
    pub fn record(&mut self, took: Duration) {
        let above = took.as_secs_f64() > self.estimate;
        let pull = if above {
            self.quantile
        } else {
            self.quantile - 1.0
        };
        self.estimate *= 1.0 + STEP * pull;
    }

    /// Returns the age at which an attempt without an answer is hedged.
    #[must_use]
    pub fn delay(&self) -> Duration {
        Duration::from_secs_f64(self.estimate.min(3_600.0)).max(self.least)
    }

    /// Returns leave for a second attempt if the first is slow and the budget allows it.
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
        budget.repeat(now, upstream, workspace).ok()
    }
}
