//! How much room a group of ranks has, as this gateway sees it.
//!
//! A group whose lead tells its load has room for what passes bear beyond that, of which this gateway has its part. Without
//! a word the load is put together from what gateways say of themselves.

use std::time::Duration;

use auburnline_core::id::GroupId;

use crate::allowance::Allowance;
use crate::pace::Load;
use crate::pace::Prediction;
use crate::real;
use crate::request::Basis;

/// Streams that a gateway may have in flight, in parts of its share of what a group carries, while no lead tells
/// the group's load: callers spread unevenly, and what neighbours say is partly missing.
const UNTOLD_PART: f64 = 1.5;
/// What runs at a group.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Traffic {
    pub(crate) load: Load,
    /// Requests in flight of this gateway.
    pub(crate) own: u32,
    /// Age of the word of its lead that tells the load; none if there is none that is fresh.
    pub(crate) report_age: Option<Duration>,
    /// Whether a rank is below the limit that it named, or named none, and did not ask for backoff.
    pub(crate) has_open_rank: bool,
}

impl Traffic {
    /// Takes gateways that were not heard to have as much in flight as those that were; `share` is how many others live for each
    /// one that was heard. In a fleet of hundreds a gateway hears few of the others within the age of a count.
    pub(crate) fn add_unreported(&mut self, share: f64) {
        let others = f64::from(self.load.in_flight.saturating_sub(self.own)) * share;
        self.load.in_flight = self.own.saturating_add(whole(others));
    }
}

/// Room of one group.
pub(crate) struct Headroom {
    pub(crate) group: GroupId,
    pub(crate) traffic: Traffic,
    pub(crate) prediction: Prediction,
    /// This gateway's part of the room, where the lead tells it.
    pub(crate) allowance: Option<Allowance>,
    /// Part of its streams that end between two words of the lead.
    pub(crate) turnover: f64,
    /// Requests that its ranks run at once.
    pub(crate) slots: f64,
    pub(crate) gateways: usize,
    /// Whether the group is filled for the passes after a shift of demand.
    pub(crate) is_cautious: bool,
}

impl Headroom {
    /// Returns the streams that the group can carry beyond those in flight; below zero if it is over full.
    pub(crate) fn capacity_left(&self) -> f64 {
        self.prediction.most - f64::from(self.traffic.load.in_flight)
    }

    /// Returns the streams that may be sent there until the lead's next word: its places, and those of the streams
    /// that end by then; none where they would only wait for a slot.
    pub(crate) fn sendable(&self) -> f64 {
        let in_flight = f64::from(self.traffic.load.in_flight);
        let room = self.capacity_left() + in_flight * self.turnover;
        room.min(self.slots - in_flight)
    }

    /// Returns the streams that this gateway may weigh the group by when it draws one.
    pub(crate) fn weight(&self) -> f64 {
        if self.is_free() { self.sendable() } else { 0.0 }
    }

    /// Returns whether one stream more may go there from this gateway.
    pub(crate) fn is_free(&self) -> bool {
        if let Some(allowance) = self.allowance {
            return self.sendable() > 0.0 && allowance.is_left();
        }
        let own = f64::from(self.traffic.own);
        self.capacity_left() > 0.0 && own < self.untold_share().max(1.0)
    }

    /// Returns the streams that this gateway may have in flight while no lead tells the load.
    fn untold_share(&self) -> f64 {
        self.prediction.most * UNTOLD_PART / real(self.gateways)
    }

    pub(crate) fn basis(&self) -> Basis {
        Basis {
            prediction: self.prediction,
            in_flight: self.traffic.load.in_flight,
            own: self.traffic.own,
            gateways: u32::try_from(self.gateways).unwrap_or(u32::MAX),
            is_cautious: self.is_cautious,
            told: self.traffic.report_age,
            allowance: self.allowance.map(Allowance::requests),
        }
    }

    /// Returns why no stream more may go there.
    pub(crate) fn reason(&self) -> &'static str {
        if self.sendable() > 0.0 {
            "this gateway's share of the group is taken"
        } else {
            "the group is full"
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "some thousand requests at most, rounded"
)]
fn whole(requests: f64) -> u32 {
    requests.round() as u32
}
