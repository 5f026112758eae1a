//! Share of limits that follows from the visible part of the published entries.

use std::collections::VecDeque;
use std::time::Duration;

use auburnline_core::time::Monotonic;

/// The whole of a limit, in millionths.
const PPM: u64 = 1_000_000;
/// Maximum number of steps kept; beyond it the two oldest are merged into their minimum.
const MAX_STEPS: usize = 64;

/// Smallest visible part of the published entries within the hold time.
#[derive(Clone, Debug)]
pub(super) struct Share {
    hold_time: Duration,
    /// Shares in millionths, each with the time from which it was seen, oldest first.
    steps: VecDeque<(Monotonic, u64)>,
}

impl Share {
    /// Starts with a share of zero, which applies until the hold time has passed.
    pub(super) fn new(now: Monotonic, hold_time: Duration) -> Self {
        Share {
            hold_time,
            steps: VecDeque::from([(now, 0)]),
        }
    }

    /// Records that from `now` on `visible` of the `published` entries are visible.
    pub(super) fn record(&mut self, now: Monotonic, visible: usize, published: usize) {
        let ppm = (visible.min(published) as u64 * PPM) / (published.max(1) as u64);
        if self.steps.back().is_some_and(|&(_, last)| last == ppm) {
            return;
        }
        self.steps.push_back((now, ppm));
        if self.steps.len() > MAX_STEPS {
            self.merge_oldest();
        }
    }

    /// Drops steps that ended at least the hold time ago.
    pub(super) fn expire(&mut self, now: Monotonic) {
        while self.steps.len() > 1 && self.steps[1].0 + self.hold_time <= now {
            self.steps.pop_front();
        }
    }

    /// Returns the smallest share, in millionths, within the hold time before the last call of `expire`.
    pub(super) fn ppm(&self) -> u64 {
        let ppm = self.steps.iter().map(|&(_, ppm)| ppm);
        ppm.min().unwrap_or(0)
    }

    fn merge_oldest(&mut self) {
        let (_, first) = self.steps.pop_front().unwrap_or_default();
        if let Some((_, second)) = self.steps.front_mut() {
            *second = first.min(*second);
        }
    }
}
