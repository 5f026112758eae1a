//! What the queue answers.

use std::time::Duration;

use auburnline_core::error::Kind;
use auburnline_core::id::WorkspaceId;

/// Proof that a request left the queue, or was refused, without being started.
///
/// It can't be copied, and only the queue makes one.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct NotStarted<K>(K);

impl<K> NotStarted<K> {
    pub(super) fn new(key: K) -> Self {
        NotStarted(key)
    }

    /// Returns the request's name.
    pub fn key(&self) -> &K {
        &self.0
    }

    /// Returns the request's name and uses the proof up.
    pub fn into_key(self) -> K {
        self.0
    }
}

/// Why a request was refused or shed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Its deadline had passed on arrival.
    DeadlinePassed,
    /// The backlog before it leaves too little time.
    WouldMissDeadline,
    /// The queue is full and no workspace has more waiting.
    QueueFull,
    /// It was the last of the longest flow when a shorter one needed the place.
    Displaced,
    /// The upstream takes no more work.
    Draining,
}

/// A request that the queue gives up, to be answered at once.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Shed<K> {
    /// Proof that it wasn't started.
    pub proof: NotStarted<K>,
    /// Kind of the answer.
    pub kind: Kind,
    /// Why.
    pub reason: Reason,
    /// Predicted time until it would have started.
    pub predicted_wait: Duration,
    /// When its caller may come back.
    pub retry_after: Duration,
}

/// Answer to a push.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub enum Pushed<K> {
    /// It waits.
    Queued {
        /// Predicted time until it starts.
        start_in: Duration,
        /// Request that gave its place.
        displaced: Option<Shed<K>>,
    },
    /// It was refused.
    Refused(Shed<K>),
    /// A request of this name waits or runs; nothing was changed.
    Present,
}

/// A workspace that was not chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerUp {
    /// Workspace.
    pub workspace: WorkspaceId,
    /// Virtual time at which its head goes.
    pub tag: i64,
}

/// A request that goes to the upstream now.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Started<K> {
    /// The request's name.
    pub key: K,
    /// Workspace that pays.
    pub workspace: WorkspaceId,
    /// Time that it waited.
    pub waited: Duration,
    /// Virtual time by which it was chosen, the least of all.
    pub tag: i64,
    /// Workspaces that come next.
    pub runners_up: Vec<RunnerUp>,
}

/// Answer to a pop.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Popped<K> {
    /// Request to start, if any.
    pub started: Option<Started<K>>,
    /// Requests found to be too late.
    pub shed: Vec<Shed<K>>,
}

/// Answer to a cancellation.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub enum Cancelled<K> {
    /// It waited, and will never start.
    Withdrawn(NotStarted<K>),
    /// It has started; the queue can't stop it.
    Started,
    /// The queue doesn't know it.
    Absent,
}
