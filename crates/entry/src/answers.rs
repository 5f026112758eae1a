//! The node's handler: answers on their way to callers.
//!
//! It runs on the peers' thread. Each exchange has a receiver that drops what is not its own; what
//! passes goes to the caller's ring at once. All else goes on to the deciding duty.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use auburnline_attempt::stream;
use auburnline_attempt::stream::Fault;
use auburnline_attempt::stream::Last;
use auburnline_attempt::stream::Progress;
use auburnline_attempt::stream::Receiver;
use auburnline_caller::command::Parts;
use auburnline_core::answer::Part;
use auburnline_core::id::Offset;
use auburnline_duty::ring;
use auburnline_peer::node;
use auburnline_peer::node::Handler;
use auburnline_peer::node::SessionId;
use auburnline_peer::wire;
use auburnline_peer::wire::Frame;
use auburnline_peer::wire::Stream;

use crate::event::Answer;
use crate::event::Event;

/// What the deciding duty tells the handler.
#[derive(Debug)]
pub(crate) enum Note {
    /// Expect an answer.
    Expect {
        stream: Stream,
        session: SessionId,
        receiver: Box<Receiver>,
        parts: Parts,
    },
    /// Expect the rest of an answer by another session.
    Move { stream: Stream, session: SessionId },
    /// Expect nothing more.
    Forget(Stream),
}

/// One answer that is expected.
struct Live {
    session: SessionId,
    receiver: Box<Receiver>,
    parts: Parts,
}

/// All answers that are expected.
pub(crate) struct Answers {
    told: ring::Sender<Event>,
    live: BTreeMap<Stream, Live>,
    /// Sessions that are up.
    sessions: BTreeSet<SessionId>,
    dropped: u64,
}

impl Answers {
    /// Expects nothing yet.
    pub(crate) fn new(told: ring::Sender<Event>) -> Answers {
        Answers {
            told,
            live: BTreeMap::new(),
            sessions: BTreeSet::new(),
            dropped: 0,
        }
    }

    fn tell(&self, event: Event) {
        if self.told.push(event).is_err() {
            log::error!(target: "entry", ring = "decide"; "ring full");
        }
    }

    fn answer(&mut self, session: SessionId, answer: &wire::Answer) {
        let stream = answer.stream;
        let live = self.live.get_mut(&stream);
        let Some(live) = live.filter(|live| live.session == session) else {
            self.drop_one(answer, "no exchange of this session");
            return;
        };
        let end = match &answer.part {
            Part::Failure(failure) => Some(Answer::Failure {
                failure: failure.clone(),
                incarnation: answer.incarnation,
                attempt: answer.attempt,
                revision: answer.revision,
                offset: live.receiver.offset(),
            }),
            Part::Chunk { .. } | Part::End { .. } => match live.take(answer) {
                Ok(end) => end,
                Err(fault) => {
                    self.drop_one(answer, fault_name(fault));
                    return;
                }
            },
        };
        if let Some(end) = end {
            self.live.remove(&stream);
            self.tell(Event::Answer(stream, end));
        }
    }

    fn drop_one(&mut self, answer: &wire::Answer, reason: &str) {
        self.dropped += 1;
        log::debug!(target: "entry", request = &*answer.id, reason, dropped = self.dropped; "frame dropped");
    }

    /// Tells at once that an answer is cut whose session went down before this note came.
    ///
    /// No event of that session is to come, so nothing else would ever end the exchange.
    fn check(&self, stream: Stream) {
        let Some(live) = self.live.get(&stream) else {
            return;
        };
        if !self.sessions.contains(&live.session) {
            let offset = live.receiver.offset();
            self.tell(Event::Answer(stream, Answer::Cut(offset)));
        }
    }

    /// Tells of every answer that was expected by a session that is gone.
    fn cut(&mut self, session: SessionId) {
        let cut = self.live.iter().filter(|(_, live)| live.session == session);
        let cut: Vec<(Stream, Offset)> = cut
            .map(|(stream, live)| (*stream, live.receiver.offset()))
            .collect();
        for (stream, offset) in cut {
            self.tell(Event::Answer(stream, Answer::Cut(offset)));
        }
    }
}

impl Live {
    /// Takes a frame and passes it on; returns how the answer ended, if it did.
    fn take(&mut self, answer: &wire::Answer) -> Result<Option<Answer>, Fault> {
        let (offset, bytes, last) = match &answer.part {
            Part::Chunk { offset, bytes } => (*offset, &bytes[..], None),
            Part::End { length, checksum } => {
                let last = Last {
                    length: *length,
                    checksum: *checksum,
                };
                (*length, &[][..], Some(last))
            }
            Part::Failure(_) => return Ok(None),
        };
        let frame = stream::Frame {
            incarnation: answer.incarnation,
            id: &answer.id,
            attempt: answer.attempt,
            offset,
            bytes,
            last,
        };
        let progress = match self.receiver.accept(&frame) {
            Ok(progress) => progress,
            Err(Fault::Damaged) => return Ok(Some(Answer::Damaged)),
            Err(fault) => return Err(fault),
        };
        if self.parts.push(answer.part.clone()).is_err() {
            return Ok(Some(Answer::Untaken(self.receiver.offset())));
        }
        Ok(match progress {
            Progress::More => None,
            Progress::Whole(whole) => Some(Answer::Whole(whole)),
        })
    }
}

const fn fault_name(fault: Fault) -> &'static str {
    match fault {
        Fault::Incarnation => "another incarnation",
        Fault::Id => "another request",
        Fault::Attempt => "another attempt",
        Fault::Duplicate => "passed on before",
        Fault::Gap => "bytes before it are missing",
        Fault::Late => "after the end",
        Fault::Damaged => "does not fit",
    }
}

impl Handler for Answers {
    type Note = Note;

    fn handle(&mut self, event: node::Event) -> Option<Frame> {
        match event {
            node::Event::Frame {
                session,
                frame: Frame::Answer(answer),
            } => self.answer(session, &answer),
            node::Event::Up { session, .. } => {
                self.sessions.insert(session);
                self.tell(Event::Peer(event));
            }
            node::Event::Down { session, .. } => {
                self.sessions.remove(&session);
                self.tell(Event::Peer(event));
                self.cut(session);
            }
            other => self.tell(Event::Peer(other)),
        }
        None
    }

    fn note(&mut self, note: Note) {
        match note {
            Note::Expect {
                stream,
                session,
                receiver,
                parts,
            } => {
                let live = Live {
                    session,
                    receiver,
                    parts,
                };
                self.live.insert(stream, live);
                self.check(stream);
            }
            Note::Move { stream, session } => {
                if let Some(live) = self.live.get_mut(&stream) {
                    live.session = session;
                }
                self.check(stream);
            }
            Note::Forget(stream) => {
                self.live.remove(&stream);
            }
        }
    }
}
