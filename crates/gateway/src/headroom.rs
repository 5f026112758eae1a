//! Headroom of a group of ranks, as this gateway sees it.
//!
//! Where the leader of a group reports its load, the headroom is what forward passes can carry
//! beyond that, and this gateway has a share of it. Without a report the load is estimated from the
//! counts that gateways report about themselves.

use std::time::Duration;

use auburnline_admission::reserve::Reserve;
use auburnline_admission::standing::Standing;
use auburnline_core::id::GroupId;

use crate::allowance::Allowance;
use crate::pace::Load;
use crate::pace::Prediction;
use crate::real;
use crate::request::Basis;

/// Streams that a gateway may have in flight while no leader reports the group's load, relative to
/// its share of what the group can carry: callers are spread unevenly, and the counts of other
/// gateways are partly missing.
const UNREPORTED_SHARE_FACTOR: f64 = 1.5;

/// Load of a group and this gateway's part of it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Traffic {
    pub(crate) load: Load,
    /// Requests in flight from this gateway.
    pub(crate) own: u32,
    /// Age of the leader's report that tells the load; none without a fresh one.
    pub(crate) report_age: Option<Duration>,
    /// Whether a rank is below its rate limit, or has none, and did not ask for backoff.
    pub(crate) has_open_rank: bool,
}

impl Traffic {
    /// Scales the load of other gateways up to those whose counts were not received; `scale` is the
    /// number of other live gateways per gateway that reported. In a fleet of hundreds, a gateway
    /// receives the counts of few others within the lifetime of a count.
    pub(crate) fn add_unreported(&mut self, scale: f64) {
        let others = f64::from(self.load.in_flight.saturating_sub(self.own)) * scale;
        self.load.in_flight = self.own.saturating_add(rounded(others));
    }
}

/// Headroom of one group.
pub(crate) struct Headroom {
    pub(crate) group: GroupId,
    pub(crate) traffic: Traffic,
    pub(crate) prediction: Prediction,
    /// This gateway's share of the headroom, where the leader reports the load.
    pub(crate) allowance: Option<Allowance>,
    /// What is withheld for requests that go first.
    pub(crate) reserve: Reserve,
    /// Standing of the request that is decided on.
    pub(crate) standing: Standing,
    /// Fraction of its streams that end between two reports of the leader.
    pub(crate) turnover: f64,
    /// Requests that its ranks run at once.
    pub(crate) slots: f64,
    pub(crate) gateways: usize,
    /// Whether the group is filled only as far as passes right after a shift of demand allow.
    pub(crate) is_cautious: bool,
}

impl Headroom {
    /// Returns the streams that the group can carry beyond those in flight; negative if it is
    /// overloaded.
    pub(crate) fn capacity_left(&self) -> f64 {
        self.prediction.most - f64::from(self.traffic.load.in_flight)
    }

    /// Returns the streams that may be sent there until the leader's next report: the capacity
    /// left, plus the streams that end by then, but no more than would find a free slot.
    pub(crate) fn sendable(&self) -> f64 {
        let in_flight = f64::from(self.traffic.load.in_flight);
        let sendable = self.capacity_left() + in_flight * self.turnover;
        sendable.min(self.slots - in_flight)
    }

    /// Returns the weight of the group in a random choice among groups, in streams.
    pub(crate) fn weight(&self, standing: Standing) -> f64 {
        if self.is_free(standing) {
            self.sendable() - self.withheld(standing)
        } else {
            0.0
        }
    }

    /// Returns whether this gateway may send one more stream of this standing there.
    pub(crate) fn is_free(&self, standing: Standing) -> bool {
        let withheld = self.withheld(standing);
        if let Some(allowance) = self.allowance {
            return self.sendable() > withheld && allowance.is_left(standing);
        }
        let own = f64::from(self.traffic.own);
        self.capacity_left() > withheld && own < self.unreported_share().max(1.0)
    }

    /// Returns the capacity that the group must keep beyond a request. Of requests in time, the
    /// less urgent ones leave theirs by their allowance alone, so that each keeps a part.
    fn withheld(&self, standing: Standing) -> f64 {
        if standing.is_late {
            self.reserve.withheld(standing)
        } else {
            0.0
        }
    }

    /// Returns the streams that this gateway may have in flight while no leader reports the load.
    fn unreported_share(&self) -> f64 {
        self.prediction.most * UNREPORTED_SHARE_FACTOR / real(self.gateways)
    }

    pub(crate) fn basis(&self) -> Basis {
        Basis {
            prediction: self.prediction,
            in_flight: self.traffic.load.in_flight,
            own: self.traffic.own,
            gateways: u32::try_from(self.gateways).unwrap_or(u32::MAX),
            is_cautious: self.is_cautious,
            told: self.traffic.report_age,
            withheld: u16::try_from(rounded(self.reserve.withheld(self.standing)))
                .unwrap_or(u16::MAX),
            allowance: self
                .allowance
                .map(|allowance| allowance.requests(self.standing)),
        }
    }

    /// Returns why no more streams may be sent there.
    pub(crate) fn reason(&self) -> &'static str {
        if self.sendable() > 0.0 {
            "this gateway's share of the group's capacity is used up"
        } else {
            "the group is full"
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a few thousand requests at most, rounded"
)]
fn rounded(requests: f64) -> u32 {
    requests.round() as u32
}
