//! Outcomes of the queue's operations.

use std::time::Duration;

use auburnline_core::error::Kind;
use auburnline_core::id::WorkspaceId;

/// Proof that a request left the queue, or was refused, without being started.
///
/// It can't be cloned, and only the queue constructs one.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct NotStarted<K>(K);

impl<K> NotStarted<K> {
    pub(super) fn new(key: K) -> Self {
        NotStarted(key)
    }

    /// Returns the key of the request.
    pub fn key(&self) -> &K {
        &self.0
    }

    /// Consumes the proof and returns the key of the request.
    pub fn into_key(self) -> K {
        self.0
    }
}

/// Why a request was refused or shed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The deadline had passed on arrival.
    DeadlinePassed,
    /// It was predicted to miss its deadline.
    WouldMissDeadline,
    /// The request needs more bytes than are left, or the queue is full and no flow has a large enough backlog to displace a request from it.
    QueueFull,
    /// It was the last request of the flow with the largest backlog, and was shed from a full queue for another
    /// request.
    Displaced,
    /// The upstream is draining and starts no more requests.
    Draining,
}

/// Request that was refused or shed, to be answered at once.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Shed<K> {
    /// Proof that the request wasn't started, with its key.
    pub proof: NotStarted<K>,
    /// Error kind to answer with.
    pub kind: Kind,
    /// Why it was refused or shed.
    pub reason: Reason,
    /// Predicted time until it would have started; zero where none was predicted.
    pub predicted_wait: Duration,
    /// Time after which the caller may retry; zero if the deadline had passed or the upstream is draining.
    pub retry_after: Duration,
}

/// Outcome of [`Queue::push`](super::Queue::push).
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub enum Pushed<K> {
    /// The request was queued.
    Queued {
        /// Predicted time until it starts.
        start_in: Duration,
        /// Request that was shed from a full queue to make room.
        displaced: Option<Shed<K>>,
    },
    /// The request was refused.
    Refused(Shed<K>),
    /// A request with this key is queued or running already; nothing was changed.
    Duplicate,
}

/// Workspace that was next in order after the chosen one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerUp {
    /// Workspace of the flow.
    pub workspace: WorkspaceId,
    /// Tag of the flow's first request, in virtual time.
    pub tag: i64,
}

/// Request to send to the upstream now.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Started<K> {
    /// Key of the request.
    pub key: K,
    /// Workspace to whose flow it belongs.
    pub workspace: WorkspaceId,
    /// Time that it spent in the queue.
    pub waited: Duration,
    /// Tag by which it was chosen, in virtual time: the smallest of all flows.
    pub tag: i64,
    /// Workspaces with the next larger tags, smallest first.
    pub runners_up: Vec<RunnerUp>,
}

/// Outcome of [`Queue::pop`](super::Queue::pop).
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Popped<K> {
    /// Request to start, if any.
    pub started: Option<Started<K>>,
    /// Requests that were shed because they would miss their deadline even if started now.
    pub shed: Vec<Shed<K>>,
}

/// Outcome of [`Queue::cancel`](super::Queue::cancel).
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub enum Cancelled<K> {
    /// The request was queued and will never start.
    Withdrawn(NotStarted<K>),
    /// The request is running; the queue can't stop it.
    Started,
    /// No request with this key is queued or running.
    Absent,
}
