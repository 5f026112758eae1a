//! What sidecars say to each other, and to gateways.

use std::net::SocketAddr;

use auburnline_core::id::Expert;
use auburnline_core::id::FailureDomainId;
use serde::Deserialize;
use serde::Serialize;

use crate::change::Order;
use crate::cost::Cost;
use crate::deputy::Pledge;
use crate::layout::Parcel;
use crate::layout::Shape;
use crate::sight::Epoch;
use crate::sight::Sight;

/// Question of a sidecar to a gateway: who serves this service?
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Service.
    pub service: String,
}

/// Message to a sidecar.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Answer of a gateway.
    Members(Members),
    /// The sidecar beside rank 0 says that it leads.
    Lead(Lead),
    /// A sidecar shows its rank to the one that leads.
    Show(Show),
    /// The one that leads, or its deputy, has an order for the receiver's rank.
    Command(Command),
    /// The one that leads is about to order a hold.
    Pledge(Pledge),
    /// A sidecar gives the counts of its rank to one that adds up those of several.
    Counts(Counts),
    /// The one that leads has an order for many ranks, which the receiver passes on.
    Forward(Forward),
}

/// Upstreams of a service, and how its experts are placed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Members {
    /// Service.
    pub service: String,
    /// Addresses of the upstreams.
    pub upstreams: Vec<SocketAddr>,
    /// Addresses of gateways that live, towards other processes.
    pub gateways: Vec<SocketAddr>,
    /// Shape of the experts, where the service has groups.
    pub shape: Option<Shape>,
    /// Cost of its passes, where that is published.
    pub cost: Option<Cost>,
}

impl Members {
    /// Returns whether the gateway that told this knew the service: after a start it first reads what is
    /// published.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.shape.is_some() && !self.upstreams.is_empty()
    }
}

/// An engine of a group, the requests that run or wait at it, and how slow it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Busy {
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Requests.
    pub requests: u32,
    /// Times that its part of a pass takes longer than it should, in hundredths.
    pub pace: u16,
}

/// Word of a lead to gateways: who runs in lock-step, how much, and whether the group serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Service.
    pub service: String,
    /// Group.
    pub group: String,
    /// Whether it serves.
    pub is_open: bool,
    /// Its engines.
    pub engines: Vec<Busy>,
}

/// Word of a lead that a gateway passes on to others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forwarded {
    /// Gateways to pass it on to.
    pub to: Vec<SocketAddr>,
    /// Word; the receiver takes it too.
    pub digest: Digest,
}

/// Word of the sidecar that leads a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lead {
    /// Group.
    pub group: String,
    /// Epoch.
    pub epoch: Epoch,
    /// Whether the layout in force is not known.
    pub wants_layout: bool,
    /// Sidecar that collects the counts of the receiver's rank; none if they go to the one that leads.
    pub collector: Option<SocketAddr>,
}

/// One rank as its sidecar sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Show {
    /// Unix milliseconds of the rank's start, where it tells.
    pub born: Option<u64>,
    /// Group.
    pub group: String,
    /// State of the rank.
    pub sight: Sight,
    /// Failure domain of its instance.
    pub failure_domain: FailureDomainId,
    /// Choices of experts since the last word, layer by layer; empty if there are none.
    pub choices: Vec<u32>,
    /// Experts that the rank holds by layer, if they were asked for.
    pub held: Option<Vec<Vec<Expert>>>,
}

/// Choices of experts at one rank on their way to the sidecar that adds them up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Group.
    pub group: String,
    /// Epoch in which they were counted.
    pub epoch: Epoch,
    /// Choices since the last word, layer by layer.
    pub choices: Vec<u32>,
}

/// Order for a rank.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Group.
    pub group: String,
    /// Epoch in which the order holds.
    pub epoch: Epoch,
    /// Order.
    pub order: Order,
    /// Layout to prepare.
    pub layout: Option<Parcel>,
    /// Who is shown what came of it; none if that is the sender.
    pub reports_to: Option<SocketAddr>,
}

/// Order that goes to many ranks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// Sidecars to pass it on to.
    pub to: Vec<SocketAddr>,
    /// Order; the receiver follows it too.
    pub command: Command,
}
