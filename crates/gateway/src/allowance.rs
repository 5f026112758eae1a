//! A gateway's share of the headroom that the leader of a group reports.
//!
//! All gateways see the same headroom. If each took it as its own, a wave of callers, as after a
//! power loss, would fill the group once per gateway. So each report grants every gateway its share
//! of the headroom. What is not used is carried over for a while, since callers don't arrive
//! evenly: a gateway that gets three requests between two reports had none between others. A share
//! is mostly a fraction of a request; every gateway starts from a random offset, so that together
//! they send as many requests as there is headroom for.

use std::time::Duration;

use auburnline_core::time::Monotonic;

use crate::real;

/// Interval between two load reports of a leader.
pub(crate) const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a report after which the carried-over requests are void: the group may have
/// re-formed since.
const MAX_REPORT_GAP: Duration = Duration::from_millis(600);
/// Upper bound of an allowance in requests, unless a single share is larger: more than callers send
/// to one gateway between two reports.
const MAX_CARRIED: f64 = 4.0;

/// What one gateway may send to one group.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Allowance {
    requests: f64,
    reported_at: Option<Monotonic>,
}

impl Allowance {
    /// Adds the share of one of `gateways` in the headroom that was reported at `reported_at`, once
    /// per report; `offset` is a random number from 0 to 1.
    pub(crate) fn update(
        &mut self,
        reported_at: Monotonic,
        headroom: f64,
        gateways: usize,
        offset: f64,
    ) {
        if self.reported_at == Some(reported_at) {
            return;
        }
        let elapsed = self
            .reported_at
            .map(|previous| reported_at.saturating_sub(previous));
        self.reported_at = Some(reported_at);
        let share = headroom.max(0.0) / real(gateways.max(1));
        let Some(elapsed) = elapsed.filter(|elapsed| *elapsed < MAX_REPORT_GAP && headroom > 0.0)
        else {
            self.requests = share - offset;
            return;
        };
        let reports = (elapsed.as_secs_f64() / REPORT_INTERVAL.as_secs_f64())
            .round()
            .max(1.0);
        self.requests = (self.requests + share * reports).min(share.max(MAX_CARRIED));
    }

    /// Counts a request that is sent.
    pub(crate) fn spend(&mut self) {
        self.requests -= 1.0;
    }

    pub(crate) fn is_left(self) -> bool {
        self.requests > 0.0
    }

    /// Returns the requests that may still be sent; negative if more than the share were sent.
    pub(crate) const fn requests(self) -> f64 {
        self.requests
    }
}
