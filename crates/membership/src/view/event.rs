//! Events that a view handles and actions that it requests.

use std::collections::BTreeSet;

use auburnline_core::id::Incarnation;
use auburnline_core::id::InstanceId;
use auburnline_core::id::Revision;

use crate::heartbeat::Heartbeat;
use crate::list::List;
use crate::mark::Cause;
use crate::mark::Rumour;
use crate::note::Note;

/// Input to a view.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed; due every [`crate::pause::TICK`].
    Tick,
    /// The platform returned a list. Without this event the last list stays in use.
    List(List),
    /// A configuration came into force.
    Fleet {
        /// Revision of the configuration; one below the revision in force is ignored.
        revision: Revision,
        /// All instances of the configuration.
        instances: BTreeSet<InstanceId>,
        /// Instances that the preset in force drains.
        drains: BTreeSet<InstanceId>,
    },
    /// Instances to which this process keeps sessions, for work and for gossip.
    Wanted(BTreeSet<InstanceId>),
    /// Entries to gossip with, as [`crate::neighbour::pick`] chooses them.
    Neighbours(BTreeSet<InstanceId>),
    /// A session came up, and the instance sent its incarnation.
    SessionUp(InstanceId, Incarnation),
    /// A session was lost or could not be opened.
    SessionDown(InstanceId),
    /// A heartbeat arrived over a session.
    Heartbeat(InstanceId, Heartbeat),
    /// An instance announced over its session that it leaves.
    Notice(InstanceId, Incarnation),
    /// Another entry sent rumours.
    Rumours(InstanceId, Vec<Rumour>),
    /// This process paused, so its knowledge of sessions is out of date.
    Paused,
}

/// Output of a view, which its owner carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Open a session.
    Open(InstanceId),
    /// Close a session; requests that wait on it fail and may resume elsewhere.
    Close(InstanceId),
    /// Stop sending new work to an instance.
    Stop(InstanceId, Cause),
    /// Send rumours to a neighbour.
    Send(InstanceId, Vec<Rumour>),
    /// Write a log entry.
    Log(Note),
}
