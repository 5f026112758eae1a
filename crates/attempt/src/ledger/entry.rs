//! What the ledger stores for one request id.

use std::time::Duration;

use auburnline_core::error::Kind;
use auburnline_core::id::Attempt;
use auburnline_core::id::InstanceId;
use auburnline_core::id::Offset;

use super::answer::Answer;
use super::report::Chunk;
use super::report::Presence;
use super::report::Standing;
use super::report::Submission;
use crate::fingerprint::Fingerprint;
use crate::stream::Last;

/// State of an id. A state is only ever replaced by one further down this list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// Admitted, not yet passed to the upstream.
    Queued,
    /// Passed to the upstream.
    Running,
    /// Ended with a complete answer.
    Finished(Last),
    /// Ended without a complete answer.
    Failed(Kind),
    /// The connection to the upstream was lost, so the request may have run or not.
    Lost,
    /// Permanently refused; holds the slot that is to run it instead, if any.
    Fenced(Option<InstanceId>),
}

impl State {
    pub(super) const fn is_live(&self) -> bool {
        matches!(self, State::Queued | State::Running)
    }
}

/// A request id's state and answer; `created` and `ended` are in ledger time.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) state: State,
    pub(super) fingerprint: Fingerprint,
    pub(super) attempt: Attempt,
    pub(super) idempotent: bool,
    pub(super) runs: u32,
    pub(super) answer: Answer,
    pub(super) created: Duration,
    pub(super) ended: Duration,
}

impl Entry {
    pub(super) fn queued(submission: &Submission, created: Duration) -> Self {
        Entry {
            state: State::Queued,
            fingerprint: submission.fingerprint,
            attempt: submission.attempt,
            idempotent: submission.idempotent,
            runs: 0,
            answer: Answer::default(),
            created,
            ended: created,
        }
    }

    pub(super) fn fenced(favoured: Option<InstanceId>, created: Duration) -> Self {
        Entry {
            state: State::Fenced(favoured),
            fingerprint: 0,
            attempt: 0,
            idempotent: false,
            runs: 0,
            answer: Answer::default(),
            created,
            ended: created,
        }
    }

    /// Whether the complete answer can no longer be served from here.
    pub(super) fn is_not_replayable(&self) -> bool {
        match self.state {
            State::Queued | State::Running => false,
            State::Finished(last) => !self.answer.holds_all(last.length),
            State::Failed(_) | State::Lost | State::Fenced(_) => true,
        }
    }

    pub(super) fn standing(&self) -> Standing {
        match self.state {
            State::Queued => Standing::Queued,
            State::Running => Standing::Running,
            State::Finished(last) if self.answer.holds_some(last.length) => {
                Standing::Finished(last)
            }
            State::Finished(_) => Standing::Expired,
            State::Failed(kind) => Standing::Failed(kind),
            State::Lost => Standing::Lost,
            State::Fenced(_) => Standing::Failed(Kind::Fenced),
        }
    }

    pub(super) fn presence(&self) -> Presence {
        if let State::Fenced(favoured) = &self.state {
            return Presence::Fenced {
                favoured: favoured.clone(),
            };
        }
        Presence::Known {
            fingerprint: self.fingerprint,
            attempt: self.attempt,
            standing: self.standing(),
        }
    }

    pub(super) fn read(&self, offset: Offset, max: usize) -> Chunk<'_> {
        match self.state {
            State::Fenced(_) => Chunk::Fenced,
            State::Queued | State::Running => self.chunk(offset, max, None),
            State::Finished(last) => self.chunk(offset, max, Some(last)),
            State::Failed(kind) => Chunk::Failed(kind),
            State::Lost => Chunk::Lost,
        }
    }

    fn chunk(&self, offset: Offset, max: usize, last: Option<Last>) -> Chunk<'_> {
        let Some(bytes) = self.answer.read(offset, max) else {
            return Chunk::Expired;
        };
        let end = offset + bytes.len() as Offset;
        Chunk::Bytes {
            bytes,
            last: last.filter(|last| last.length == end),
        }
    }
}
