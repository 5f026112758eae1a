//! Detection of a pause of this process from the times of its own events.
//!
//! A process that was stopped by a signal, by a hypervisor or for lack of processor time still
//! holds its state from before the pause. Only the gap between two observations reveals it, so
//! every event and every send must be observed, not only timer ticks.

use std::time::Duration;

use auburnline_core::time::Monotonic;

/// Interval between timer ticks.
pub const TICK: Duration = Duration::from_millis(100);
/// Gap between two observations above which the process counts as paused.
pub const PAUSE: Duration = Duration::from_secs(2);

/// Detector of gaps between observations.
#[derive(Clone, Copy, Debug, Default)]
pub struct Detector {
    last: Option<Monotonic>,
}

impl Detector {
    /// Records an observation at `now`, and returns the gap since the last one if it was a pause.
    ///
    /// The first observation has no gap, nor has one at a time before the last.
    pub fn observe(&mut self, now: Monotonic) -> Option<Duration> {
        let gap = self.gap(now);
        self.last = Some(self.last.map_or(now, |last| last.max(now)));
        gap
    }

    /// Returns the gap since the last observation if it is a pause, without recording one.
    #[must_use]
    pub fn gap(&self, now: Monotonic) -> Option<Duration> {
        let gap = now.saturating_sub(self.last?);
        (gap > PAUSE).then_some(gap)
    }
}
