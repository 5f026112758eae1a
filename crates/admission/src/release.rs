//! Rate at which waiting requests are served, and the wait that follows from it.

use std::time::Duration;

use auburnline_core::time::Monotonic;

/// Time constant with which earlier releases are forgotten: a shortage lasts some seconds.
const MEMORY: Duration = Duration::from_secs(2);
/// Releases assumed before any were seen, in [`PRIOR_TIME`]: a first request is expected to be
/// served within the wait that it can bear.
const PRIOR_RELEASES: f64 = 0.5;
/// Time in which the assumed releases happened.
const PRIOR_TIME: Duration = Duration::from_millis(100);
/// Longest wait that is predicted.
const MAX_WAIT: Duration = Duration::from_mins(1);

/// Releases of one kind of waiting requests, over the time in which some waited.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lane {
    releases: f64,
    /// Seconds in which requests waited.
    waited: f64,
    at: Monotonic,
}

impl Lane {
    /// Moves on to `now`; `is_waiting` tells whether requests waited since the last call.
    pub fn advance(&mut self, is_waiting: bool, now: Monotonic) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let kept = (-elapsed / MEMORY.as_secs_f64()).exp();
        self.releases *= kept;
        self.waited *= kept;
        if is_waiting {
            self.waited += elapsed;
        }
    }

    /// Counts a waiting request that was served.
    pub fn record_release(&mut self) {
        self.releases += 1.0;
    }

    /// Returns the expected time until `count` more requests have been served.
    #[must_use]
    pub fn time_for(&self, count: usize) -> Duration {
        let releases = self.releases + PRIOR_RELEASES;
        let rate = releases / (self.waited + PRIOR_TIME.as_secs_f64());
        let count = f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        Duration::try_from_secs_f64(count / rate).map_or(MAX_WAIT, |wait| wait.min(MAX_WAIT))
    }
}
