//! How long a group's passes take, from the pass numbers that its ranks show.
//!
//! Ranks are looked at one after the other, so that the first sight of a pass comes some milliseconds after it began.

use std::time::Duration;

use auburnline_core::id::Step;
use auburnline_core::time::Monotonic;

/// Passes of one epoch.
#[derive(Clone, Copy, Debug, Default)]
pub struct Passes {
    newest: Option<(Step, Monotonic)>,
    last: Option<Duration>,
}

impl Passes {
    /// Takes the newest pass that a rank shows.
    pub fn observe(&mut self, step: Step, now: Monotonic) {
        let Some((newest, began)) = self.newest else {
            self.newest = Some((step, now));
            return;
        };
        if step <= newest {
            return;
        }
        let passes = u32::try_from(step - newest).unwrap_or(u32::MAX);
        self.last = Some(now.saturating_sub(began) / passes);
        self.newest = Some((step, now));
    }

    /// Returns how much of the running pass is left if it takes as long as the last one.
    #[must_use]
    pub fn left(&self, now: Monotonic) -> Option<Duration> {
        let (_, began) = self.newest?;
        let running = now.saturating_sub(began);
        self.last.map(|last| last.saturating_sub(running))
    }
}
