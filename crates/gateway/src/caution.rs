//! How far a group is filled where demand shifts often.
//!
//! After a shift of demand passes are too long until a map for it is in force, and every stream that runs then is late.
//! No change can be in force within the first three passes. Where shifts come so often that most streams meet one, a
//! group that runs fewer streams serves more in time: only so many that passes stay short enough right after a shift
//! like those of late. Where few streams are late, the callers refused for that outweigh it.

use std::time::Duration;

use auburnline_core::time::Monotonic;

use crate::pace::ewma_weight;

/// Part of the longest pause that passes may take right after a shift.
pub(crate) const SHIFTED_TARGET_FRACTION: f64 = 0.95;
/// Time in which what was learned of shifts fades to a third: several shifts where they come often.
const PEAK_TIME: Duration = Duration::from_secs(20);
/// Part of streams that have a long pass from which on a group is filled with caution, and the part below which it no
/// longer is; apart, since caution itself lowers it.
const LATE_PARTS: (f64, f64) = (0.4, 0.1);
/// Time in which the part of late streams follows what is seen by two thirds: two or three shifts.
const LATE_TIME: Duration = Duration::from_secs(8);

/// One pass, as a stream showed it.
pub(crate) struct Pass {
    /// Whether it took longer than callers aim at.
    pub(crate) is_long: bool,
    /// Factor of the newest passes.
    pub(crate) factor: f64,
    /// How long a usual stream runs.
    pub(crate) stream: Duration,
}

/// What was learned of a group's long passes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Caution {
    /// Largest factor of late.
    peak: f64,
    /// When a long pass was seen last.
    long_at: Option<Monotonic>,
    /// Part of streams that have a long pass.
    late: f64,
    is_on: bool,
}

impl Caution {
    /// Takes a pass, `passed` after the one before.
    pub(crate) fn observe(&mut self, pass: &Pass, passed: Duration, now: Monotonic) {
        self.peak *= 1.0 - ewma_weight(passed, PEAK_TIME);
        self.peak = self.peak.max(pass.factor);
        if pass.is_long {
            self.long_at = Some(now);
        }
        let since = self.long_at.map(|at| now.saturating_sub(at));
        let is_late = since.is_some_and(|since| since < pass.stream);
        let is_late = f64::from(u8::from(is_late));
        self.late += (is_late - self.late) * ewma_weight(passed, LATE_TIME);
        let (begins, ends) = LATE_PARTS;
        self.is_on = self.late > if self.is_on { ends } else { begins };
    }

    /// Returns the factor to fill the group for; none while it needs no caution.
    pub(crate) fn factor(&self) -> Option<f64> {
        self.is_on.then_some(self.peak)
    }
}
