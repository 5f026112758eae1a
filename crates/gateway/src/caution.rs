//! Limits how far a group is filled where demand for experts shifts often.
//!
//! After a shift of demand, forward passes are too long until a placement map for the new demand is
//! in force, and every stream that runs meanwhile is late. No change can be in force within the
//! first three passes. Where shifts are so frequent that most streams meet one, a group that runs
//! fewer streams serves more of them in time: only as many as keep passes short enough right after
//! a shift of the size seen recently. Where few streams are late, the callers refused for this
//! outweigh the gain.

use std::time::Duration;

use auburnline_core::time::Monotonic;

use crate::pace::ewma_weight;

/// Fraction of the longest pause that passes may take right after a shift.
pub(crate) const SHIFTED_TARGET_FRACTION: f64 = 0.95;
/// Time constant of the decay of the peak factor: several shifts where they are frequent.
const PEAK_TIME_CONSTANT: Duration = Duration::from_secs(20);
/// Fraction of streams with a long pass above which a group is filled with caution, and the
/// fraction below which it no longer is. They are apart because caution itself lowers the fraction.
const LATE_THRESHOLDS: (f64, f64) = (0.4, 0.1);
/// Time constant of the average of late streams: two or three shifts.
const LATE_TIME_CONSTANT: Duration = Duration::from_secs(8);

/// One forward pass, as a stream's events showed it.
pub(crate) struct Pass {
    /// Whether it took longer than the longest pause that callers aim at.
    pub(crate) is_long: bool,
    /// Imbalance factor of the newest passes; see [`crate::pace`].
    pub(crate) factor: f64,
    /// Duration of a usual stream.
    pub(crate) stream: Duration,
}

/// What was learned of a group's long passes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Caution {
    /// Largest recent factor; it decays over time.
    peak: f64,
    long_at: Option<Monotonic>,
    /// Estimated fraction of streams that have a long pass.
    late_fraction: f64,
    is_on: bool,
}

impl Caution {
    /// Records a pass, `passed` after the previous one.
    pub(crate) fn observe(&mut self, pass: &Pass, passed: Duration, now: Monotonic) {
        self.peak *= 1.0 - ewma_weight(passed, PEAK_TIME_CONSTANT);
        self.peak = self.peak.max(pass.factor);
        if pass.is_long {
            self.long_at = Some(now);
        }
        let since = self.long_at.map(|at| now.saturating_sub(at));
        let is_late = since.is_some_and(|since| since < pass.stream);
        let is_late = f64::from(u8::from(is_late));
        self.late_fraction +=
            (is_late - self.late_fraction) * ewma_weight(passed, LATE_TIME_CONSTANT);
        let (start, end) = LATE_THRESHOLDS;
        self.is_on = self.late_fraction > if self.is_on { end } else { start };
    }

    /// Returns the factor to fill the group for; none while it needs no caution.
    pub(crate) fn factor(&self) -> Option<f64> {
        self.is_on.then_some(self.peak)
    }
}
