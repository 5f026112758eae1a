//! When a lead asks gateways who serves, and who they are.
//!
//! After a loss of all power gateways hear of each other within a second or two. A lead that asked once at the beginning tells
//! only those that were known then; the others take its group for shut and refuse their callers.

use std::time::Duration;

use auburnline_core::time::Monotonic;

/// Time between two questions.
const PERIOD: Duration = Duration::from_secs(2);
/// The same until a gateway has answered whole, and while more gateways come to light: a group opens within a second, and
/// without its lead nobody knows its load and its map stays the first one.
const FIRST_PERIOD: Duration = Duration::from_millis(200);
/// Time without another gateway after which all count as known: five questions.
const SETTLED: Duration = Duration::from_secs(1);

/// Questions of one lead.
#[derive(Clone, Copy, Debug, Default)]
pub struct Asking {
    asked: Option<Monotonic>,
    gateways: usize,
    /// When more gateways were told of than before.
    grown: Option<Monotonic>,
}

impl Asking {
    /// Takes a whole answer that names so many gateways.
    pub const fn hear(&mut self, gateways: usize, now: Monotonic) {
        if gateways > self.gateways {
            self.grown = Some(now);
        }
        self.gateways = gateways;
    }

    /// Returns whether it is time to ask, and takes that it is done.
    pub fn is_due(&mut self, now: Monotonic) -> bool {
        let is_settled = self
            .grown
            .is_some_and(|at| now.saturating_sub(at) >= SETTLED);
        let period = if is_settled { PERIOD } else { FIRST_PERIOD };
        let is_due = self.asked.is_none_or(|at| now.saturating_sub(at) >= period);
        if is_due {
            self.asked = Some(now);
        }
        is_due
    }
}
