//! Inputs and results of the ledger's operations.

use std::time::Duration;

use auburnline_core::error::Kind;
use auburnline_core::id::Attempt;
use auburnline_core::id::Incarnation;
use auburnline_core::id::InstanceId;
use auburnline_core::id::RequestId;
use auburnline_core::id::Revision;

use crate::fingerprint::Fingerprint;
use crate::stream::Last;

/// A request that an entry submits to a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// Idempotency key.
    pub id: RequestId,
    /// Attempt number, zero if the caller gave none.
    pub attempt: Attempt,
    /// Upper bound of the time since the caller first sent the request.
    pub age: Duration,
    /// Whether the work may run more than once.
    pub idempotent: bool,
    /// Fingerprint of workspace and work, to detect reuse of the key for another request.
    pub fingerprint: Fingerprint,
    /// Slot incarnation that it is addressed to; any other drops it.
    pub incarnation: Incarnation,
    /// Configuration revision that the sender uses.
    pub revision: Revision,
}

/// Request to refuse an id permanently.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fence {
    /// Id to refuse.
    pub id: RequestId,
    /// Slot that is to run the request instead; `None` if it is not to run anywhere.
    pub favoured: Option<InstanceId>,
    /// Configuration revision that the sender uses.
    pub revision: Revision,
}

/// A slot's statement that it did not admit a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Slot incarnation that refused.
    pub incarnation: Incarnation,
    /// Request that was refused.
    pub id: RequestId,
    /// Attempt number that was refused, zero if the caller gave none.
    pub attempt: Attempt,
    /// Reason for the refusal.
    pub kind: Kind,
    /// Lowest configuration revision that the slot accepts from senders.
    pub revision: Revision,
}

/// Progress of a request that the ledger has admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Admitted, not yet passed to the upstream.
    Queued,
    /// Running at the upstream; part of the answer may already be readable.
    Running,
    /// Ended with a complete answer of which at least a part is still held.
    Finished(Last),
    /// Ended with a complete answer that is no longer held.
    Expired,
    /// Ended without a complete answer.
    Failed(Kind),
    /// The upstream was lost during the run.
    Lost,
}

/// Decision on a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// New and now queued: pass it to the upstream once.
    Admitted,
    /// Already known: serve it from the ledger.
    Attached(Standing),
    /// Not admitted.
    Refused(Refusal),
    /// The request may be older than this ledger's record, so its fate is unknown.
    Unsure,
    /// Addressed to another incarnation: drop and count it, and send no reply.
    Dropped,
}

/// What a ledger knows about an id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The id is unknown.
    Absent,
    /// The id is permanently refused, by this fence or an earlier one.
    Fenced {
        /// Slot that the first fence named to run the request; `None` if no slot is to run it.
        favoured: Option<InstanceId>,
    },
    /// The request was admitted.
    Known {
        /// Fingerprint with which it was admitted.
        fingerprint: Fingerprint,
        /// Attempt number with which it was admitted; its frames carry this number.
        attempt: Attempt,
        /// Progress of the request.
        standing: Standing,
    },
    /// The id is unknown, and it can't be fenced: the ledger is full or the id is too long.
    Full,
    /// The sender's revision is older than the contained one, which is the lowest accepted.
    Stale(Revision),
}

/// Response to a locate or a fence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Slot incarnation that responded.
    pub incarnation: Incarnation,
    /// Time since this incarnation of the slot started.
    pub uptime: Duration,
    /// What the slot knows about the id.
    pub presence: Presence,
    /// Other slots that may have run the request. The ledger leaves this empty; the slot fills it
    /// from `Candidates::unknown_to`.
    pub other_candidates: Vec<InstanceId>,
}

/// Result of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancellation {
    /// It was queued and will never run here.
    NotRun,
    /// It is running: cancel it at the upstream, then call `fail` or `mark_lost`.
    Running,
    /// It had already ended or been refused.
    Ended,
    /// The id is unknown.
    Absent,
}

/// Result of reading a part of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Chunk<'a> {
    /// Bytes from the requested offset.
    Bytes {
        /// Empty if no byte at that offset has been produced yet.
        bytes: &'a [u8],
        /// Set if these bytes end the answer.
        last: Option<Last>,
    },
    /// The bytes are no longer held, or the offset is beyond what was produced.
    Expired,
    /// The request failed; there will be no complete answer.
    Failed(Kind),
    /// The upstream was lost during the run; there will be no complete answer.
    Lost,
    /// The id is permanently refused.
    Fenced,
    /// The id is unknown.
    Absent,
}
