//! The part of every limit that a home may grant.

use std::collections::VecDeque;
use std::time::Duration;

use auburnline_core::time::Monotonic;

/// All of a limit, in parts.
const PPM: u64 = 1_000_000;
/// Most steps kept; older ones are joined to their least.
const MAX_STEPS: usize = 64;

/// Least visible part of the published entries within a hold.
#[derive(Clone, Debug)]
pub(super) struct Share {
    hold: Duration,
    /// Parts with the time from which they were seen, oldest first.
    steps: VecDeque<(Monotonic, u64)>,
}

impl Share {
    /// Starts with nothing to grant.
    pub(super) fn new(now: Monotonic, hold: Duration) -> Self {
        Share {
            hold,
            steps: VecDeque::from([(now, 0)]),
        }
    }

    /// Records the part that is visible from `now` on.
    pub(super) fn record(&mut self, now: Monotonic, visible: usize, published: usize) {
        let ppm = (visible.min(published) as u64 * PPM) / (published.max(1) as u64);
        if self.steps.back().is_some_and(|&(_, last)| last == ppm) {
            return;
        }
        self.steps.push_back((now, ppm));
        if self.steps.len() > MAX_STEPS {
            self.join_oldest();
        }
    }

    /// Forgets steps that ended more than a hold ago.
    pub(super) fn expire(&mut self, now: Monotonic) {
        while self.steps.len() > 1 && self.steps[1].0 + self.hold <= now {
            self.steps.pop_front();
        }
    }

    /// Returns the least part within the hold before the last expiry.
    pub(super) fn ppm(&self) -> u64 {
        let ppm = self.steps.iter().map(|&(_, ppm)| ppm);
        ppm.min().unwrap_or(0)
    }

    fn join_oldest(&mut self) {
        let (_, first) = self.steps.pop_front().unwrap_or_default();
        if let Some((_, second)) = self.steps.front_mut() {
            *second = first.min(*second);
        }
    }
}
