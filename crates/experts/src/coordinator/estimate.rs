//! Estimate of how many steps ahead a switch step must be.

use std::time::Duration;

use auburnline_core::id::Step;
use auburnline_core::time::Monotonic;

/// Upper limit of an estimate, in steps.
const MAX_STEPS_AHEAD: Step = 512;

/// Observed step rate and longest round-trip time, for a switch step that no rank enters too early.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Estimate {
    round_trip: Duration,
    first: Option<(Monotonic, Step)>,
    last: (Monotonic, Step),
}

impl Estimate {
    pub(super) fn observe(&mut self, now: Monotonic, step: Step, round_trip: Option<Duration>) {
        self.first.get_or_insert((now, step));
        self.last = (now, step.max(self.last.1));
        self.round_trip = self.round_trip.max(round_trip.unwrap_or_default());
    }

    /// Returns how many steps after the highest observed one may run until all ranks are armed and
    /// released; 0 before the first observation.
    pub(super) fn steps_ahead(&self, now: Monotonic) -> Step {
        let Some(first) = self.first else {
            return 0;
        };
        let ahead = now.saturating_sub(self.last.0) + 2 * self.round_trip;
        let elapsed = self.last.0.saturating_sub(first.0).as_micros().max(1);
        let steps = u128::from(self.last.1.saturating_sub(first.1));
        let ahead = (ahead.as_micros() * steps).div_ceil(elapsed);
        Step::try_from(ahead).map_or(MAX_STEPS_AHEAD, |ahead| ahead.min(MAX_STEPS_AHEAD))
    }
}
