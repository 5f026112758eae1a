//! Requests that callers ask about by key: resume, status, cancel.
//!
//! Only slots know requests, so all admitting slots that can be asked are asked at once.

use std::collections::BTreeSet;
use std::time::Duration;

use auburnline_attempt::ledger::Presence;
use auburnline_attempt::ledger::Standing;
use auburnline_attempt::stream::Receiver;
use auburnline_caller::State as RequestState;
use auburnline_caller::Status;
use auburnline_caller::command::Parts;
use auburnline_core::answer::Failure;
use auburnline_core::answer::Part;
use auburnline_core::error::Fate;
use auburnline_core::error::Kind;
use auburnline_core::id::Attempt;
use auburnline_core::id::InstanceId;
use auburnline_core::id::Offset;
use auburnline_core::id::RequestId;
use auburnline_core::time::Monotonic;
use auburnline_peer::wire::Attach;
use auburnline_peer::wire::Found;
use auburnline_peer::wire::Frame;
use auburnline_peer::wire::Reference;
use auburnline_peer::wire::Stream;
use auburnline_process::link::Link;
use tokio::sync::oneshot;

use crate::answers::Note;
use crate::event::Answer;
use crate::state::State;
use crate::state::fail;

/// Longest wait for slots' answers.
const SEARCH_WAIT: Duration = Duration::from_millis(800);

/// A question of a caller under way.
pub(crate) struct Search {
    id: RequestId,
    awaited: BTreeSet<InstanceId>,
    best: RequestState,
    until: Monotonic,
    wish: Wish,
}

/// What a caller wants to know.
enum Wish {
    Resume { offset: Offset, parts: Parts },
    Tell(oneshot::Sender<Status>),
}

impl State {
    /// Sends an answer again from an offset.
    pub(crate) fn resume(&mut self, id: RequestId, offset: Offset, parts: Parts) {
        self.search(id, Wish::Resume { offset, parts }, Frame::Locate);
    }

    /// Tells what is known of a request.
    pub(crate) fn status(&mut self, id: RequestId, reply: oneshot::Sender<Status>) {
        self.search(id, Wish::Tell(reply), Frame::Locate);
    }

    /// Stops a request, and tells what is known of it then.
    pub(crate) fn cancel(&mut self, id: RequestId, reply: oneshot::Sender<Status>) {
        self.search(id, Wish::Tell(reply), Frame::Cancel);
    }

    fn search(&mut self, id: RequestId, wish: Wish, ask: impl Fn(Reference) -> Frame) {
        let stream = self.number();
        let mut awaited = BTreeSet::new();
        for link in self.fleet.links().iter() {
            if !self.admits.contains_key(&link.instance) {
                continue;
            }
            let reference = Reference {
                id: id.clone(),
                stream,
                revision: self.revision(),
            };
            if self.send(link.session, ask(reference)) {
                awaited.insert(link.instance.clone());
            }
        }
        let search = Search {
            id,
            awaited,
            best: RequestState::NotFound,
            until: self.clock.now() + SEARCH_WAIT,
            wish,
        };
        if search.awaited.is_empty() {
            return search.end();
        }
        self.searches.insert(stream, search);
    }

    /// Takes a slot's answer; `false` if no search asked for it.
    pub(crate) fn search_found(&mut self, stream: Stream, link: &Link, found: &Found) -> bool {
        let Some(mut search) = self.searches.remove(&stream) else {
            return false;
        };
        search.awaited.remove(&link.instance);
        // The word of a slot that did not run it speaks for that slot only; another may have.
        match &found.finding.presence {
            Presence::Known {
                attempt, standing, ..
            } if state(*standing) != RequestState::Refused => {
                search.best = state(*standing);
                self.known(stream, search, link, found.finding.incarnation, *attempt);
                return true;
            }
            Presence::Known { .. } | Presence::Fenced { .. } => {
                search.best = RequestState::Refused;
            }
            _ => {}
        }
        if search.awaited.is_empty() {
            search.end();
        } else {
            self.searches.insert(stream, search);
        }
        true
    }

    fn known(
        &mut self,
        stream: Stream,
        search: Search,
        link: &Link,
        incarnation: u64,
        attempt: Attempt,
    ) {
        match search.wish {
            Wish::Tell(_) => search.end(),
            Wish::Resume { parts, .. } if !self.stay.admit(self.clock.now()) => {
                let detail = "this entry is leaving; resume through another";
                fail(&parts, Kind::OutcomeUnknown, detail);
            }
            Wish::Resume { offset, parts } => {
                let receiver =
                    Receiver::from_offset(incarnation, search.id.clone(), attempt, offset);
                self.expect(stream, link, receiver, parts.clone());
                self.reads.insert(stream, parts);
                let attach = Attach {
                    id: search.id,
                    stream,
                    offset,
                };
                self.send(link.session, Frame::Attach(attach));
            }
        }
    }

    /// Takes the end or the stop of an answer that is read again.
    pub(crate) fn read(&mut self, stream: Stream, parts: &Parts, answer: Answer) {
        self.stay.finish();
        match answer {
            Answer::Whole(_) | Answer::Untaken(_) => {}
            Answer::Failure { failure, .. } => {
                let _ = parts.push(Part::Failure(open(failure)));
            }
            Answer::Cut(_) | Answer::Damaged => {
                self.note(Note::Forget(stream));
                fail(
                    parts,
                    Kind::Incomplete,
                    "the stream broke; resume from the last offset",
                );
            }
        }
    }

    /// Ends the searches that have waited long enough.
    pub(crate) fn expire_searches(&mut self, now: Monotonic) {
        let late = self
            .searches
            .iter()
            .filter(|(_, search)| now >= search.until);
        let late: Vec<Stream> = late.map(|(stream, _)| *stream).collect();
        for stream in late {
            if let Some(search) = self.searches.remove(&stream) {
                search.end();
            }
        }
    }
}

impl Search {
    fn end(self) {
        let none = matches!(self.best, RequestState::NotFound | RequestState::Refused);
        let unheard = !self.awaited.is_empty() && none;
        match self.wish {
            Wish::Tell(reply) => {
                let state = if unheard {
                    RequestState::Unknown
                } else {
                    self.best
                };
                let key = self.id.split_once('/').map_or(&*self.id, |(_, key)| key);
                let _ = reply.send(Status {
                    request_id: key.to_owned(),
                    state,
                });
            }
            Wish::Resume { parts, .. } if self.best == RequestState::Refused => {
                let detail = "a slot refused it; ask with the key and the next attempt";
                fail(&parts, Kind::OutcomeUnknown, detail);
            }
            Wish::Resume { parts, .. } => {
                fail(
                    &parts,
                    Kind::UnknownRequest,
                    "no slot that could be asked knows it",
                );
            }
        }
    }
}

/// Takes from a failure what it says of the whole request: a read again proves nothing of it.
fn open(failure: Failure) -> Failure {
    match failure.kind.fate() {
        Fate::NotRun => Failure::new(Kind::OutcomeUnknown, failure.detail),
        Fate::Ran | Fate::Unknown => failure,
    }
}

fn state(standing: Standing) -> RequestState {
    match standing {
        Standing::Queued | Standing::Running => RequestState::Running,
        Standing::Finished(_) | Standing::Expired => RequestState::Finished,
        Standing::Failed(kind) if kind.fate() == Fate::NotRun => RequestState::Refused,
        Standing::Failed(_) => RequestState::Failed,
        Standing::Lost => RequestState::Unknown,
    }
}
