//! What gateways say to each other, and hear from sidecars.

use std::net::SocketAddr;

use auburnline_core::id::FailureDomainId;
use auburnline_core::id::Incarnation;
use auburnline_core::id::InstanceId;
use auburnline_lockstep::message::Ask;
use auburnline_lockstep::message::Digest;
use auburnline_lockstep::message::Forwarded;
use auburnline_quota::book::Notice;
use auburnline_quota::home;
use auburnline_quota::loan::Loan;
use serde::Deserialize;
use serde::Serialize;

use crate::quarantine::Mark;
use crate::route::Version;
use crate::spread;
use crate::upstream::Counts;

/// A gateway, as it tells of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of its instance.
    pub instance: InstanceId,
    /// Number drawn at its start.
    pub incarnation: Incarnation,
    /// Beats since its start.
    pub beat: u64,
    /// Failure domain.
    pub failure_domain: FailureDomainId,
    /// Address towards callers.
    pub callers: SocketAddr,
    /// Address towards other gateways.
    pub peers: SocketAddr,
    /// Whether it takes new requests.
    pub is_ready: bool,
    /// Whether the store does not answer it.
    pub is_cut: bool,
    /// Version of the configuration that it serves by; none before it has one.
    pub version: Option<Version>,
}

/// What a gateway sends to others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// Sender.
    pub from: Entry,
    /// What the sender has in flight.
    pub counts: Counts,
    /// Others that the sender heard of.
    pub others: Vec<Entry>,
    /// Gateways that the sender counts as members, itself included.
    pub members: u32,
}

/// Message to a gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// Beat of another gateway.
    Beat(Beat),
    /// Reply to the beat of another gateway that is back; it is not replied to.
    Introduction(Beat),
    /// Question of a sidecar.
    Ask(Ask),
    /// Word of a lead about its group.
    Group(Digest),
    /// The same, to be passed on.
    Forwarded(Forwarded),
    /// Question for what changed at the store.
    Question(spread::Question),
    /// What changed at the store.
    Answer(spread::Answer),
    /// Question for a configuration that is newer than this version.
    Behind(Option<Version>),
    /// A configuration that the receiver waits for.
    Configuration(Box<spread::Told>),
    /// Requests that ran at a crash.
    Crashes(Vec<Mark>),
    /// Rate limits that upstreams named.
    Limits(Vec<Notice>),
    /// Shares of limits that the sender lends the receiver.
    Loan(Loan),
    /// Question whether a request may be sent to an upstream with a limit.
    LimitAsk(home::Ask),
    /// Reply to it.
    LimitReply(home::Reply),
}
