//! Durations of a group's passes, estimated from the pass numbers that its ranks report.
//!
//! Ranks are polled one after the other, so the first report of a pass arrives some milliseconds after the pass
//! began.

use std::time::Duration;

use auburnline_core::id::Step;
use auburnline_core::time::Monotonic;

/// Pass durations within one epoch.
#[derive(Clone, Copy, Debug, Default)]
pub struct Passes {
    newest: Option<(Step, Monotonic)>,
    last_duration: Option<Duration>,
}

impl Passes {
    /// Records the newest pass that a rank reports.
    pub fn observe(&mut self, step: Step, now: Monotonic) {
        let Some((newest, began)) = self.newest else {
            self.newest = Some((step, now));
            return;
        };
        if step <= newest {
            return;
        }
        let passes = u32::try_from(step - newest).unwrap_or(u32::MAX);
        self.last_duration = Some(now.saturating_sub(began) / passes);
        self.newest = Some((step, now));
    }

    /// Returns how much of the running pass is left if it takes as long as the last one; none until one has ended.
    #[must_use]
    pub fn left(&self, now: Monotonic) -> Option<Duration> {
        let (_, began) = self.newest?;
        let running = now.saturating_sub(began);
        self.last_duration.map(|last| last.saturating_sub(running))
    }
}
