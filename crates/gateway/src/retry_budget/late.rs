//! Retries of attempts that may be read late, with more time than their requests have left.
//!
//! The platform's operators accept few of these in a fleet, or few beside the late retries with no more time than is left.

use std::time::Duration;

use auburnline_core::time::Monotonic;

/// Number of these retries that a fleet makes in each [`PERIOD`]: half of those that operators accept.
pub(crate) const FLEET_RETRIES: f64 = 10.0;
/// Number of other late retries for each further one: twice those that operators ask for.
const TIMELY_RETRIES: u32 = 8;
/// Time over which they are counted.
const PERIOD: Duration = Duration::from_hours(1);
/// Time after its start in which a gateway makes none of its share, so that restarts do not renew it.
const LEAD: Duration = Duration::from_mins(1);

/// What one gateway has used of the fleet's allowance in this period.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Allowance {
    period: u128,
    spent: u64,
    timely: u32,
}

impl Allowance {
    /// Begins a new period if it is due; returns the key by which the fleet draws for its shares in it, once there are any.
    pub(crate) fn begin(&mut self, now: Monotonic) -> Option<String> {
        let period = now.as_nanos() / PERIOD.as_nanos();
        if period != self.period {
            *self = Allowance {
                period,
                ..Allowance::default()
            };
        }
        (now >= LEAD).then(|| format!("late-{period}"))
    }

    /// Returns whether a retry is left of this share and of what other late retries allow.
    pub(crate) fn is_left(&self, share: u64) -> bool {
        self.spent < share + u64::from(self.timely / TIMELY_RETRIES)
    }

    /// Returns whether none was made in this period.
    pub(crate) const fn is_unused(&self) -> bool {
        self.spent == 0
    }

    pub(crate) const fn spend(&mut self) {
        self.spent += 1;
    }

    /// Takes one back that was not late.
    pub(crate) const fn refund(&mut self) {
        self.spent = self.spent.saturating_sub(1);
    }

    /// Records a late retry with no more time than is left.
    pub(crate) const fn record_timely(&mut self) {
        self.timely = self.timely.saturating_add(1);
    }
}
