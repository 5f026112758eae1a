//! Messages between sidecars, and between sidecars and gateways.

use std::net::SocketAddr;

use auburnline_core::id::Expert;
use auburnline_core::id::FailureDomainId;
use serde::Deserialize;
use serde::Serialize;

use crate::change::Order;
use crate::cost::Cost;
use crate::layout::Shape;
use crate::layout::Update;
use crate::rank::Epoch;
use crate::rank::State;
use crate::standby::Notice;

/// Query of a sidecar to a gateway for the members of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersQuery {
    /// Name of the service.
    pub service: String,
}

/// Message to a sidecar.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Answer of a gateway to [`MembersQuery`].
    Members(Members),
    /// Heartbeat of the leader, the sidecar next to rank 0.
    Heartbeat(Heartbeat),
    /// State of a rank, from its sidecar to the leader.
    RankReport(RankReport),
    /// Order of the leader or its standby to the receiver's rank.
    Command(Command),
    /// Notice of the leader to its standby that it is about to order a hold.
    HoldNotice(Notice),
    /// Expert counts of a rank, from its sidecar to the aggregator of several ranks.
    Counts(Counts),
    /// Order of the leader to many ranks, which the receiver forwards.
    Forward(Forward),
}

/// Upstreams of a service, the gateways, and the parameters of its experts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Members {
    /// Name of the service.
    pub service: String,
    /// Addresses of the upstreams.
    pub upstreams: Vec<SocketAddr>,
    /// Addresses at which live gateways receive messages of other processes.
    pub gateways: Vec<SocketAddr>,
    /// Expert dimensions; none if the service has no groups or the gateway does not know it yet.
    pub shape: Option<Shape>,
    /// Cost model of its passes; none if it is not published.
    pub cost: Option<Cost>,
}

impl Members {
    /// Returns whether the gateway that sent this knew the service. After a start it must first read the published
    /// configuration.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.shape.is_some() && !self.upstreams.is_empty()
    }

    /// Returns whether to use this in place of what is known: a gateway that has not read everything yet must not hide
    /// what another one said.
    #[must_use]
    pub fn replaces(&self, known: Option<&Members>) -> bool {
        self.is_complete() || known.is_none_or(|known| !known.is_complete())
    }
}

/// Load and slowdown of one engine of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Requests that run or wait at it.
    pub requests: u32,
    /// Slowdown factor of its part of a pass, in percent; 100 if it is not slow.
    pub slowdown_percent: u16,
}

/// Approximate encoded size of one engine in a digest.
pub const ENGINE_BYTES: usize = 11;

/// Digest of a group's state, from its leader to gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Name of the service.
    pub service: String,
    /// Name of the group.
    pub group: String,
    /// Whether all ranks were seen and the group serves.
    pub is_open: bool,
    /// Engines that run in lock-step in this group.
    pub engines: Vec<EngineLoad>,
}

/// Digest that the receiving gateway forwards to other gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forwarded {
    /// Gateways to forward it to.
    pub to: Vec<SocketAddr>,
    /// Digest, which the receiver applies too.
    pub digest: Digest,
}

/// Heartbeat of a group's leader to the other sidecars.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the group.
    pub group: String,
    /// Current epoch of the leader's rank.
    pub epoch: Epoch,
    /// Whether ranks must report the experts that they hold, because the leader does not know the layout in force.
    pub needs_layout: bool,
    /// Sidecar that aggregates the counts of the receiver's rank; none if they go to the leader.
    pub aggregator: Option<SocketAddr>,
}

/// Report on one rank by its sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankReport {
    /// Start of the rank's engine in Unix milliseconds; none if the engine does not report it.
    pub born: Option<u64>,
    /// Name of the group.
    pub group: String,
    /// State of the rank.
    pub state: State,
    /// Failure domain of its instance.
    pub failure_domain: FailureDomainId,
    /// Expert activations since the last report, layer by layer; empty if there are none.
    pub activations: Vec<u32>,
    /// Experts that the rank holds, by layer; none unless the leader wants them.
    pub held: Option<Vec<Vec<Expert>>>,
}

/// Expert activations at one rank, for the aggregator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Name of the group.
    pub group: String,
    /// Epoch in which they were counted.
    pub epoch: Epoch,
    /// Expert activations since the last report, layer by layer.
    pub activations: Vec<u32>,
}

/// Order for a rank.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Name of the group.
    pub group: String,
    /// Epoch in which the order is valid.
    pub epoch: Epoch,
    /// The order itself.
    pub order: Order,
    /// Layout to prepare; only with [`Order::Prepare`].
    pub layout: Option<Update>,
    /// Sidecar that the rank's state is reported to afterwards; none if that is the sender.
    pub report_to: Option<SocketAddr>,
}

/// Order for many ranks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// Sidecars to forward it to.
    pub to: Vec<SocketAddr>,
    /// Command, which the receiver carries out too.
    pub command: Command,
}
