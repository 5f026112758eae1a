//! Slots of the simulation and their upstreams.

use std::collections::BTreeMap;

use auburnline_attempt::candidates::Candidates;
use auburnline_attempt::ledger::Bounds;
use auburnline_attempt::ledger::Chunk;
use auburnline_attempt::ledger::Finding;
use auburnline_attempt::ledger::Ledger;
use auburnline_attempt::ledger::Verdict;
use auburnline_core::error::Kind;
use auburnline_core::id::InstanceId;
use auburnline_core::id::RequestId;

use crate::wire::Message;
use crate::wire::Owned;
use crate::world::Envelope;
use crate::world::Event;
use crate::world::Session;
use crate::world::World;
use crate::world::answer_bytes;
use crate::world::first_view;

pub(crate) struct Slot {
    pub(crate) name: InstanceId,
    pub(crate) incarnation: u64,
    pub(crate) up: bool,
    pub(crate) paused_until: u64,
    pub(crate) ledger: Ledger,
    pub(crate) candidates: Candidates,
    pub(crate) revision: u64,
    /// Readers that wait for an id's answer, as session, call and next offset.
    pub(crate) readers: BTreeMap<RequestId, Vec<(usize, usize, u64)>>,
    /// Number of runs that the upstream has started, carried over to the slot's next incarnation.
    pub(crate) run: u64,
}

impl Slot {
    pub(crate) fn new(
        name: InstanceId,
        incarnation: u64,
        now: u64,
        revision: u64,
        view: &[InstanceId],
    ) -> Slot {
        Slot {
            name,
            incarnation,
            up: true,
            paused_until: 0,
            ledger: Ledger::new(std::time::Duration::ZERO, incarnation, Bounds::default()),
            candidates: first_view(now, revision, view),
            revision,
            readers: BTreeMap::new(),
            run: 0,
        }
    }
}

impl World {
    pub(crate) fn slot_receives(&mut self, session: &Session, envelope: Envelope) {
        let (index, from) = (session.slot, envelope.session);
        let slot = &self.slots[index];
        if !slot.up || slot.incarnation != session.slot_incarnation {
            return;
        }
        let now = self.clock();
        match envelope.message {
            Message::Submit { call, submission } => {
                let verdict = self.slots[index].ledger.submit(now, &submission);
                let attempt = self.slots[index]
                    .ledger
                    .attempt(&submission.id)
                    .unwrap_or(0);
                if verdict == Verdict::Admitted {
                    self.queue_start(index, &submission.id);
                }
                if verdict != Verdict::Dropped {
                    let message = Message::Verdict {
                        call,
                        verdict,
                        attempt,
                    };
                    self.post(from, false, message);
                }
            }
            Message::Locate { call, id, revision } => {
                let finding = self.slots[index].ledger.locate(now, &id);
                self.send_finding(index, from, call, revision, finding);
            }
            Message::Fence { call, fence } => {
                let finding = self.slots[index].ledger.fence(now, &fence);
                self.send_finding(index, from, call, fence.revision, finding);
            }
            Message::Resume {
                call,
                id,
                incarnation,
                offset,
            } if incarnation == self.slots[index].incarnation => {
                let readers = self.slots[index].readers.entry(id.clone()).or_default();
                readers.push((from, call, offset));
                self.stream(index, &id);
            }
            _ => {}
        }
    }

    fn send_finding(
        &mut self,
        index: usize,
        session: usize,
        call: usize,
        asker: u64,
        mut finding: Finding,
    ) {
        let now = self.clock();
        finding.other_candidates = self.slots[index].candidates.unknown_to(now, asker);
        self.post(session, false, Message::Finding { call, finding });
    }

    fn queue_start(&mut self, slot: usize, id: &RequestId) {
        let delay = self.up_to(self.setting.service_ms * 200);
        let incarnation = self.slots[slot].incarnation;
        let id = id.clone();
        self.after(
            delay,
            Event::Start {
                slot,
                incarnation,
                id,
            },
        );
    }

    pub(crate) fn start(&mut self, slot: usize, incarnation: u64, id: &RequestId) {
        let now = self.clock();
        let state = &mut self.slots[slot];
        if !state.up || state.incarnation != incarnation || !state.ledger.start(now, id) {
            return;
        }
        state.run += 1;
        let (run, upstream) = (state.run, state.name.clone());
        let attempt = state.ledger.attempt(id).unwrap_or(0);
        let id = id.clone();
        let service_us = self.setting.service_ms * 1_000;
        let at = self.up_to(service_us);
        let rest = self.up_to(service_us);
        let effect = Event::Effect {
            id: id.clone(),
            attempt,
            upstream,
            run,
        };
        self.after(at, effect);
        self.after(
            at + rest,
            Event::Finish {
                slot,
                incarnation,
                id,
                run,
            },
        );
    }

    pub(crate) fn finish(&mut self, slot: usize, incarnation: u64, id: &RequestId, run: u64) {
        let now = self.clock();
        let state = &mut self.slots[slot];
        if !state.up || state.incarnation != incarnation {
            return;
        }
        let bytes = answer_bytes(id, run);
        if state.ledger.append(now, id, &bytes) {
            state.ledger.finish(now, id);
        }
        self.stream(slot, id);
    }

    /// Kills the upstream. The slot loses its running requests, whose effects may still happen.
    pub(crate) fn kill_upstream(&mut self, slot: usize) {
        let now = self.clock();
        let ids: Vec<RequestId> = self.slots[slot].readers.keys().cloned().collect();
        for id in ids {
            self.slots[slot].ledger.mark_lost(now, &id);
            self.stream(slot, &id);
        }
    }

    /// Sends the available part of an answer to all of its readers.
    fn stream(&mut self, slot: usize, id: &RequestId) {
        let readers = self.slots[slot].readers.remove(id).unwrap_or_default();
        for (session, call, offset) in readers {
            let (messages, ended) = self.messages(slot, id, call, offset);
            if !ended {
                let again = self.slots[slot].readers.entry(id.clone()).or_default();
                again.push((session, call, offset));
            }
            for message in messages {
                self.post(session, false, message);
            }
        }
    }

    fn messages(
        &self,
        slot: usize,
        id: &RequestId,
        call: usize,
        offset: u64,
    ) -> (Vec<Message>, bool) {
        let state = &self.slots[slot];
        let incarnation = state.incarnation;
        let end = |kind| vec![Message::End { call, kind }];
        let mut messages = Vec::new();
        let mut offset = offset;
        loop {
            match state.ledger.read(id, offset, 8) {
                Chunk::Bytes { bytes, last } if last.is_some() || !bytes.is_empty() => {
                    let frame = Owned {
                        incarnation,
                        id: id.clone(),
                        attempt: state.ledger.attempt(id).unwrap_or(0),
                        offset,
                        bytes: bytes.to_vec(),
                        last,
                    };
                    offset += bytes.len() as u64;
                    messages.push(Message::Frame { call, frame });
                    if last.is_some() {
                        return (messages, true);
                    }
                }
                Chunk::Bytes { .. } => return (messages, false),
                Chunk::Expired => return (end(Some(Kind::Expired)), true),
                Chunk::Failed(kind) => return (end(Some(kind)), true),
                Chunk::Lost | Chunk::Fenced | Chunk::Absent => return (end(None), true),
            }
        }
    }
}
