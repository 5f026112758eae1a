//! Answers to whoever asks for them.
//!
//! An answer's bytes stand in the ledger. A subscriber is one exchange of one session with the
//! offset up to which it was sent; any number may read one answer, each from its own offset.

use auburnline_attempt::ledger::Chunk;
use auburnline_core::answer::Failure;
use auburnline_core::answer::Part;
use auburnline_core::error::Kind;
use auburnline_core::id::Attempt;
use auburnline_core::id::Offset;
use auburnline_core::id::RequestId;
use auburnline_peer::node::SessionId;
use auburnline_peer::wire::Answer;
use auburnline_peer::wire::Attach;
use auburnline_peer::wire::Frame;
use auburnline_peer::wire::Stream;
use bytes::Bytes;

use crate::state::State;

/// Most bytes of an answer in one frame.
const CHUNK_BYTES: usize = 64 * 1024;
/// Most exchanges that read one answer.
const MAX_SUBSCRIBERS: usize = 16;

/// One exchange that reads an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Subscriber {
    session: SessionId,
    stream: Stream,
    attempt: Attempt,
    offset: Offset,
}

impl State {
    /// Adds a subscriber; the oldest leaves if there are too many.
    pub(crate) fn subscribe(
        &mut self,
        session: SessionId,
        id: &RequestId,
        stream: Stream,
        attempt: Attempt,
        offset: Offset,
    ) {
        let all = self.subscribers.entry(id.clone()).or_default();
        if all.len() >= MAX_SUBSCRIBERS {
            all.remove(0);
        }
        all.push(Subscriber {
            session,
            stream,
            attempt,
            offset,
        });
    }

    /// Removes the subscribers of a session that is gone; what they read runs on.
    pub(crate) fn unsubscribe(&mut self, session: SessionId) {
        self.subscribers.retain(|_, all| {
            all.retain(|subscriber| subscriber.session != session);
            !all.is_empty()
        });
    }

    /// Sends an answer from an offset.
    pub(crate) fn attach(&mut self, session: SessionId, attach: &Attach) {
        let attempt = self.ledger.attempt(&attach.id).unwrap_or_default();
        self.subscribe(session, &attach.id, attach.stream, attempt, attach.offset);
        self.feed(&attach.id);
    }

    /// Sends each subscriber what it has not been sent.
    pub(crate) fn feed(&mut self, id: &RequestId) {
        let Some(mut all) = self.subscribers.remove(id) else {
            return;
        };
        all.retain_mut(|subscriber| self.advance(id, subscriber));
        if !all.is_empty() {
            self.subscribers.insert(id.clone(), all);
        }
    }

    /// Sends one subscriber what is there; returns whether more is to come.
    fn advance(&self, id: &RequestId, subscriber: &mut Subscriber) -> bool {
        loop {
            let (part, more) = match self.ledger.read(id, subscriber.offset, CHUNK_BYTES) {
                Chunk::Bytes { bytes: [], last } => match last {
                    None => return true,
                    Some(last) => {
                        let part = Part::End {
                            length: last.length,
                            checksum: last.checksum,
                        };
                        (part, false)
                    }
                },
                Chunk::Bytes { bytes, .. } => {
                    let part = Part::Chunk {
                        offset: subscriber.offset,
                        bytes: Bytes::copy_from_slice(bytes),
                    };
                    subscriber.offset += bytes.len() as Offset;
                    (part, true)
                }
                Chunk::Expired => (
                    failure(Kind::Expired, "the answer is kept no longer"),
                    false,
                ),
                Chunk::Failed(kind) => (failure(kind, "the request failed"), false),
                Chunk::Lost => (
                    failure(Kind::OutcomeUnknown, "the upstream was lost"),
                    false,
                ),
                Chunk::Fenced => (failure(Kind::Fenced, "the request was refused"), false),
                Chunk::Absent => (failure(Kind::UnknownRequest, "not known here"), false),
            };
            self.part(id, *subscriber, part);
            if !more {
                return false;
            }
        }
    }

    /// Ends the answer of all subscribers.
    pub(crate) fn end_all(&mut self, id: &RequestId, failure: &Failure) {
        for subscriber in self.subscribers.remove(id).unwrap_or_default() {
            self.part(id, subscriber, Part::Failure(failure.clone()));
        }
    }

    fn part(&self, id: &RequestId, subscriber: Subscriber, part: Part) {
        let answer = Answer {
            id: id.clone(),
            stream: subscriber.stream,
            incarnation: self.incarnation,
            attempt: subscriber.attempt,
            part,
            revision: self.revision(),
        };
        self.send(subscriber.session, Frame::Answer(answer));
    }
}

fn failure(kind: Kind, detail: &str) -> Part {
    Part::Failure(Failure::new(kind, detail))
}
