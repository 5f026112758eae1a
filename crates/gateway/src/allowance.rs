//! A gateway's share of the headroom that the leader of a group reports.
//!
//! All gateways see the same headroom. If each took it as its own, a wave of callers, as after a
//! power loss, would fill the group once per gateway. So each report grants every gateway its share
//! of the headroom. What is not used is carried over for a while, since callers don't arrive
//! evenly: a gateway that gets three requests between two reports had none between others. A share
//! is mostly a fraction of a request; every gateway starts from a random offset, so that together
//! they send as many requests as there is headroom for.

use std::time::Duration;

use auburnline_admission::reserve::Accounts;
use auburnline_admission::reserve::Reserve;
use auburnline_admission::share::Grounds;
use auburnline_admission::standing::Standing;
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

/// Upper bound of an allowance in requests, unless a single share is larger, that is carried over
/// while this gateway sends nothing for longer than [`MAX_REPORT_GAP`].
const MAX_IDLE: f64 = 1.0;
/// Time beyond which nothing more is carried over: five reports, so that gateways without requests
/// together keep no more than five times what a group had room for.
const MAX_IDLE_TIME: Duration = Duration::from_secs(1);
/// Arrivals of a gateway between two reports for which it carries over, as a multiple of the mean.
const CARRIED_ARRIVALS: f64 = 2.0;

/// What a report of the leader grants to one gateway.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Grant {
    /// What may be sent to the group until the next report, by all gateways.
    pub(crate) headroom: f64,
    pub(crate) gateways: usize,
    /// Demand by which the share is set; without it, shares are equal.
    pub(crate) demand: Option<Grounds>,
    pub(crate) reserve: Reserve,
    /// Whether what was granted while nothing was sent is carried over.
    pub(crate) carries_idle: bool,
}

impl Grant {
    /// Returns the part of this gateway.
    pub(crate) fn part(&self) -> f64 {
        self.demand.map_or(1.0, Grounds::weight) / real(self.gateways.max(1))
    }

    /// Returns the requests that are carried over at most.
    fn max_carried(&self) -> f64 {
        self.demand.map_or(MAX_CARRIED, |demand| {
            let arrivals = demand.own * REPORT_INTERVAL.as_secs_f64();
            (1.0 + arrivals * CARRIED_ARRIVALS).min(MAX_CARRIED)
        })
    }
}

/// What one gateway may send to one group.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Allowance {
    accounts: Accounts,
    reported_at: Option<Monotonic>,
    /// When a report was last heard.
    heard: Option<Monotonic>,
    /// Whether reports were missing, or the group opened or closed, since the last grant.
    is_void: bool,
}

impl Allowance {
    /// Records that a report of the leader was heard.
    pub(crate) fn hear(&mut self, is_changed: bool, now: Monotonic) {
        let gap = self.heard.map(|heard| now.saturating_sub(heard));
        self.is_void |= is_changed || gap.is_none_or(|gap| gap >= MAX_REPORT_GAP);
        self.heard = Some(now);
    }

    /// Returns whether the report of `reported_at` has not granted its share yet.
    pub(crate) fn is_due(&self, reported_at: Monotonic) -> bool {
        self.reported_at != Some(reported_at)
    }

    /// Adds this gateway's share in the headroom that was reported at `reported_at`, once per
    /// report; `offset` is a random number from 0 to 1.
    pub(crate) fn update(&mut self, reported_at: Monotonic, grant: &Grant, offset: f64) {
        if !self.is_due(reported_at) {
            return;
        }
        let elapsed = self
            .reported_at
            .map(|previous| reported_at.saturating_sub(previous));
        self.reported_at = Some(reported_at);
        let is_void = std::mem::take(&mut self.is_void) || !grant.carries_idle;
        let Grant {
            headroom, reserve, ..
        } = grant;
        let carried = elapsed
            .filter(|elapsed| *elapsed < MAX_REPORT_GAP || !is_void)
            .filter(|_| *headroom > 0.0);
        let Some(elapsed) = carried else {
            self.accounts
                .reset(*headroom, grant.part(), reserve, offset);
            return;
        };
        let most = if elapsed < MAX_REPORT_GAP {
            grant.max_carried()
        } else {
            MAX_IDLE
        };
        let elapsed = elapsed.min(MAX_IDLE_TIME).as_secs_f64();
        let reports = (elapsed / REPORT_INTERVAL.as_secs_f64()).round().max(1.0);
        self.accounts
            .grant(*headroom, grant.part(), reserve, reports, most);
    }

    /// Counts a request that is sent.
    pub(crate) fn spend(&mut self, standing: Standing) {
        self.accounts.spend(standing);
    }

    pub(crate) fn is_left(&self, standing: Standing) -> bool {
        self.accounts.is_left(standing)
    }

    /// Returns the requests of this standing that may still be sent; negative if more than the
    /// share were sent.
    pub(crate) fn requests(&self, standing: Standing) -> f64 {
        self.accounts.left(standing)
    }
}
