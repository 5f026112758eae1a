//! Schedule of the leader's membership queries: it asks gateways which upstreams serve its
//! service, and which gateways there are.
//!
//! After a complete power loss, gateways discover each other within a second or two. A leader that asked only once
//! at its start would send its digests only to the gateways known then; the others would take its group for closed
//! and refuse requests.

use std::time::Duration;

use auburnline_core::time::Monotonic;

/// Time between two queries once all gateways are known.
const PERIOD: Duration = Duration::from_secs(2);
/// Time between two queries until a gateway has given a complete answer, and while more gateways are being
/// discovered. A group opens within a second; without its leader its load is unknown and its map stays the
/// initial one.
const DISCOVERY_PERIOD: Duration = Duration::from_millis(200);
/// Time without a new gateway after which all count as known: five queries.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Schedule of one leader's queries.
#[derive(Clone, Copy, Debug, Default)]
pub struct Schedule {
    queried_at: Option<Monotonic>,
    gateways: usize,
    /// When an answer last named more gateways than the one before.
    grown_at: Option<Monotonic>,
}

impl Schedule {
    /// Records a complete answer that names `gateways` gateways.
    pub const fn record_answer(&mut self, gateways: usize, now: Monotonic) {
        if gateways > self.gateways {
            self.grown_at = Some(now);
        }
        self.gateways = gateways;
    }

    /// Returns whether to ask now; if so, records that it was done.
    pub fn is_due(&mut self, now: Monotonic) -> bool {
        let is_settled = self
            .grown_at
            .is_some_and(|at| now.saturating_sub(at) >= SETTLE_TIME);
        let period = if is_settled { PERIOD } else { DISCOVERY_PERIOD };
        let is_due = self
            .queried_at
            .is_none_or(|at| now.saturating_sub(at) >= period);
        if is_due {
            self.queried_at = Some(now);
        }
        is_due
    }
}
