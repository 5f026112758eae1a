//! Datagrams that gateways exchange with each other and receive from sidecars and group leaders.

use std::net::SocketAddr;

use auburnline_admission::demand;
use auburnline_admission::forecast;
use auburnline_core::id::FailureDomainId;
use auburnline_core::id::Incarnation;
use auburnline_core::id::InstanceId;
use auburnline_lockstep::message::Digest;
use auburnline_lockstep::message::Forwarded;
use auburnline_lockstep::message::MembersQuery;
use auburnline_quota::home;
use auburnline_quota::loan::Loan;
use auburnline_quota::registry::Notice;
use serde::Deserialize;
use serde::Serialize;

use crate::neighbour::news::Record;
use crate::neighbour::news::Tag;
use crate::quarantine::Mark;
use crate::quarantine::part;
use crate::route::Version;
use crate::settled;
use crate::spread;
use crate::transfer;
use crate::unread::Silent;
use crate::upstream::Counts;

/// State of a gateway, as it reports it about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the gateway's instance.
    pub instance: InstanceId,
    /// Random number drawn when the process started.
    pub incarnation: Incarnation,
    /// Heartbeats that the process has sent; increases within an incarnation.
    pub heartbeats: u64,
    /// Failure domain in which the gateway runs.
    pub failure_domain: FailureDomainId,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for datagrams of other gateways and of sidecars.
    pub peers: SocketAddr,
    /// Whether it accepts new requests.
    pub is_ready: bool,
    /// Whether its last call to the store failed.
    pub is_store_unreachable: bool,
    /// Version of the configuration in force there; `None` until it has one.
    pub version: Option<Version>,
}

/// Heartbeat with gossip about other gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// State of the sender.
    pub from: Entry,
    /// Requests that the sender has in flight at upstreams.
    pub counts: Counts,
    /// A sample of the other live gateways that the sender knows.
    pub others: Vec<Entry>,
    /// Gateways that the sender counts as members, including itself.
    pub members: u32,
}

/// Any message that a gateway accepts on its peer address. A packet holds one or more of them, one
/// after the other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// Periodic heartbeat of another gateway.
    Heartbeat(Heartbeat),
    /// Reply to the heartbeat of a gateway that started or came back; never replied to.
    JoinReply(Heartbeat),
    /// Request of a sidecar for the upstreams that serve a service.
    MembersQuery(MembersQuery),
    /// State of a group, from its leader.
    Group(Digest),
    /// State of a group that the receiver forwards to other gateways.
    Forwarded(Forwarded),
    /// Request for the changes of the published state.
    Query(spread::Query),
    /// Changes of the published state.
    Answer(spread::Answer),
    /// Request for a configuration that is newer than this version.
    ConfigurationQuery(Option<Version>),
    /// Configuration that the receiver is waiting for.
    Configuration(Box<spread::Update>),
    /// Requests that were running when an upstream crashed.
    Crashes(Vec<Mark>),
    /// Rate limits that upstreams reported.
    Limits(Vec<Notice>),
    /// Shares of rate limits that the sender lends to the receiver.
    Loan(Loan),
    /// Request for permission to send to an upstream that has a rate limit.
    PermitRequest(home::Request),
    /// Reply to [`Datagram::PermitRequest`].
    PermitReply(home::Reply),
    /// Question up to which revision the receiver's list of upstreams is settled.
    SettledQuery(settled::Query),
    /// Reply to [`Datagram::SettledQuery`].
    SettledReply(settled::Reply),
    /// Compact news of which gateways live.
    News(Vec<Record>),
    /// Request for the entries of these gateways, which a [`Datagram::News`] named.
    EntriesQuery(Vec<Tag>),
    /// Reply to [`Datagram::EntriesQuery`].
    Entries(Vec<Entry>),
    /// Request of a gateway that starts for a page of the published list.
    TransferQuery(transfer::Query),
    /// Reply to [`Datagram::TransferQuery`].
    TransferReply(transfer::Reply),
    /// Demand at the sender, by service.
    Demand(Vec<demand::Report>),
    /// Forward passes of groups that the sender saw.
    Forecasts(Vec<forecast::Record>),
    /// Parts of prompts that were there when an upstream crashed.
    Parts(Vec<part::Mark>),
    /// Number of members of the whole fleet, from a gateway that knows it.
    FleetSize(u32),
    /// Upstreams that the sender finds silent.
    Silent(Silent),
}
