//! Entries of the simulation.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use auburnline_attempt::attempt::Attempt;
use auburnline_attempt::attempt::Disposition;
use auburnline_attempt::attempt::Fresh;
use auburnline_attempt::attempt::Order;
use auburnline_attempt::attempt::Sent;
use auburnline_attempt::candidates::Candidates;
use auburnline_attempt::claim::Ask;
use auburnline_attempt::claim::Claim;
use auburnline_attempt::claim::Input;
use auburnline_attempt::claim::Mode;
use auburnline_attempt::claim::Query;
use auburnline_attempt::claim::Step;
use auburnline_attempt::fingerprint;
use auburnline_attempt::ledger::Finding;
use auburnline_attempt::ledger::RETRY_WINDOW;
use auburnline_attempt::ledger::Standing;
use auburnline_attempt::ledger::Submission;
use auburnline_attempt::ledger::Verdict;
use auburnline_attempt::outcome::Cause;
use auburnline_attempt::outcome::Outcome;
use auburnline_attempt::outcome::Unknown;
use auburnline_attempt::stream::Progress;
use auburnline_attempt::stream::Receiver;
use auburnline_core::error::Kind;
use auburnline_core::id::InstanceId;
use auburnline_core::request::Priority;
use auburnline_core::request::Request;
use auburnline_core::request::Work;
use rand::Rng;

use crate::setting::Defect;
use crate::wire::Message;
use crate::wire::Owned;
use crate::world::Envelope;
use crate::world::Event;
use crate::world::World;
use crate::world::first_view;
use crate::world::slot_index;
use crate::world::slot_name;

/// Greatest number of slots to which an attempt without a claim is sent, one after the other.
const MAX_TRIES: u32 = 3;
/// Time after which a claim treats a slot that has not responded as unreachable, in microseconds.
const CLAIM_TIMEOUT_US: u64 = 1_000_000;
/// Greatest number of frames kept for injection as stray frames.
const MAX_STRAYS: usize = 256;

pub(crate) struct Entry {
    pub(crate) incarnation: u64,
    pub(crate) up: bool,
    pub(crate) frozen_until: u64,
    pub(crate) revision: u64,
    pub(crate) candidates: Candidates,
    pub(crate) sessions: BTreeMap<usize, usize>,
    pub(crate) ops: BTreeMap<usize, Op>,
}

impl Entry {
    pub(crate) fn new(incarnation: u64, now: u64, view: &[InstanceId], revision: u64) -> Entry {
        Entry {
            incarnation,
            up: true,
            frozen_until: 0,
            revision,
            candidates: first_view(now, revision, view),
            sessions: BTreeMap::new(),
            ops: BTreeMap::new(),
        }
    }
}

/// A request that an entry is handling.
pub(crate) struct Op {
    request: Request,
    /// Earliest possible time of the caller's first send, as far as this entry knows.
    first: Option<u64>,
    arrived: u64,
    tries: u32,
    stage: Stage,
}

/// Stage of an operation; `Detached` while the code that handles it holds the attempt.
enum Stage {
    Detached,
    Claiming(Attempt<Fresh>, Claim),
    Submitted(Attempt<Sent>, usize),
    Streaming(Attempt<Sent>, Box<Receiver>, usize, Vec<u8>),
}

impl World {
    pub(crate) fn arrive(&mut self, call: usize, entry: usize, sent: u64) {
        let entry_state = &self.entries[entry];
        if !entry_state.up {
            return;
        }
        if entry_state.frozen_until > self.now {
            let wait = entry_state.frozen_until - self.now;
            self.after(wait, Event::Arrive { call, entry, sent });
            return;
        }
        let call_state = self.calls[call].clone();
        let caller = self.requests[call_state.request].clone();
        // The entry adds to the stated age how long the connection was silent, which is the
        // request's time in transit here.
        let silence = match self.setting.defect {
            Some(Defect::NoSilence) => 0,
            _ => self.now - sent,
        };
        let age = sent - caller.first + silence;
        let request = Request {
            id: caller.id.clone(),
            attempt: call_state.attempt,
            age: Duration::from_micros(age),
            workspace: Arc::from("desk"),
            priority: Priority::Normal,
            deadline: Duration::from_secs(30),
            idempotent: caller.idempotent,
            work: Work::Call {
                service: Arc::from("dispatch"),
                method: "POST".to_owned(),
                path: format!("/{}", caller.id),
                body: Vec::new(),
            },
        };
        let attempt = Attempt::new(&request);
        let needs_no_claim = request.idempotent
            || attempt.order() == Order::First
            || self.setting.defect == Some(Defect::NoClaim);
        let op = Op {
            first: request.attempt.map(|_| self.now - age),
            request,
            arrived: self.now,
            tries: 0,
            stage: Stage::Detached,
        };
        self.entries[entry].ops.insert(call, op);
        if needs_no_claim {
            self.send_unclaimed(entry, call, attempt, Kind::Unreachable);
        } else {
            self.report.later += 1;
            self.claim(entry, call, attempt);
        }
    }

    /// Sends an attempt, without a claim, to a random slot that may get it.
    fn send_unclaimed(&mut self, entry: usize, call: usize, attempt: Attempt<Fresh>, kind: Kind) {
        let op = &self.entries[entry].ops[&call];
        let sessions = self.usable(entry, op);
        let tries = op.tries;
        if sessions.is_empty() || tries >= MAX_TRIES {
            let outcome = attempt.not_sent(kind);
            self.end(entry, call, &outcome, &[]);
            return;
        }
        let session = sessions[self.rng.random_range(0..sessions.len())];
        self.submit(entry, call, attempt, session);
    }

    /// Returns the sessions over which an attempt without a claim may be sent. For non-idempotent
    /// work they must be older than the first send, and their slots must have settled.
    fn usable(&self, entry: usize, op: &Op) -> Vec<usize> {
        let entry_state = &self.entries[entry];
        let all: Vec<InstanceId> = entry_state.candidates.current().cloned().collect();
        let now = self.clock();
        let age = Duration::from_micros(op.first.map_or(0, |first| self.now - first));
        let fits = |name: &InstanceId| {
            let session = *entry_state.sessions.get(&slot_index(name))?;
            let since = self.sessions[session].since;
            let before = since == 0 || op.first.is_some_and(|first| since <= first);
            let settled = entry_state.candidates.allows_first_attempt(now, age, name);
            (op.request.idempotent || (before && settled)).then_some(session)
        };
        let subset = self.subset(&op.request.id, all);
        subset.iter().filter_map(fits).collect()
    }

    fn submit(&mut self, entry: usize, call: usize, attempt: Attempt<Fresh>, session: usize) {
        let target = &self.sessions[session];
        let (slot, incarnation) = (slot_name(target.slot), target.slot_incarnation);
        let wait = self.now - self.entries[entry].ops[&call].arrived;
        self.report.waits.push(wait);
        let sent = attempt.send(slot, incarnation);
        let op = self.op(entry, call);
        op.tries += 1;
        op.stage = Stage::Submitted(sent, session);
        self.post_submission(entry, call);
    }

    fn post_submission(&mut self, entry: usize, call: usize) {
        let now = self.now;
        let revision = self.entries[entry].revision;
        let op = &self.entries[entry].ops[&call];
        let Stage::Submitted(attempt, session) = &op.stage else {
            return;
        };
        let submission = Submission {
            id: op.request.id.clone(),
            attempt: attempt.number(),
            age: op
                .first
                .map_or(RETRY_WINDOW, |first| Duration::from_micros(now - first)),
            idempotent: op.request.idempotent,
            fingerprint: fingerprint::of(&op.request),
            incarnation: attempt.target().1,
            revision,
        };
        let session = *session;
        self.report.messages += 1;
        self.post(session, true, Message::Submit { call, submission });
    }

    fn claim(&mut self, entry: usize, call: usize, attempt: Attempt<Fresh>) {
        let now = self.clock();
        let entry_state = &self.entries[entry];
        let op = &entry_state.ops[&call];
        let id = op.request.id.clone();
        let age = op
            .first
            .map(|first| Duration::from_micros(self.now - first));
        let Some(reachable_slots) = entry_state
            .candidates
            .reachable_slots(now, age.unwrap_or(RETRY_WINDOW))
        else {
            let outcome = Outcome::Unknown(Unknown::new(Cause::UnknownPool));
            self.end(entry, call, &outcome, &[]);
            return;
        };
        let current: Vec<InstanceId> = entry_state.candidates.current().cloned().collect();
        let input = Input {
            id: id.clone(),
            fingerprint: fingerprint::of(&op.request),
            age,
            reachable_slots: self.subset(&id, reachable_slots),
            admitting: self.subset(&id, current),
            known_for: entry_state.candidates.known_for(now),
            revision: entry_state.revision,
            mode: Mode::Run,
        };
        let (claim, step) = Claim::begin(now, input);
        let incarnation = entry_state.incarnation;
        self.op(entry, call).stage = Stage::Claiming(attempt, claim);
        self.after(CLAIM_TIMEOUT_US, Event::ClaimTimeout { call, incarnation });
        self.step(entry, call, step);
    }

    /// Carries out a claim's next step.
    fn step(&mut self, entry: usize, call: usize, step: Step) {
        let name = match &step {
            Step::Ask(_) => "asked",
            Step::Serve { .. } => "served",
            Step::Run { .. } => "run",
            Step::NotRun(_) => "not_run",
            Step::Unknown(_) => "unknown",
        };
        *self.report.claims.entry(name).or_default() += 1;
        match step {
            Step::Ask(asks) => {
                for ask in asks {
                    self.ask(entry, call, ask);
                }
            }
            Step::Serve {
                slot,
                incarnation,
                attempt,
                standing,
            } => {
                self.serve(entry, call, &slot, incarnation, attempt, standing);
            }
            Step::Run { slot, incarnation } => self.run_at(entry, call, &slot, incarnation),
            Step::NotRun(not_run) => {
                self.end(entry, call, &Outcome::NotRun(not_run), &[]);
            }
            Step::Unknown(unknown) => {
                self.end(entry, call, &Outcome::Unknown(unknown), &[]);
            }
        }
    }

    fn ask(&mut self, entry: usize, call: usize, ask: Ask) {
        let Some(session) = self.session(entry, slot_index(&ask.slot)) else {
            self.mark_unreachable(entry, call, &ask.slot);
            return;
        };
        self.report.messages += 1;
        let message = match ask.query {
            Query::Locate { id, revision } => Message::Locate { call, id, revision },
            Query::Fence(fence) => Message::Fence { call, fence },
        };
        self.post(session, true, message);
    }

    fn mark_unreachable(&mut self, entry: usize, call: usize, slot: &InstanceId) {
        let Some(op) = self.entries[entry].ops.get_mut(&call) else {
            return;
        };
        if let Stage::Claiming(_, claim) = &mut op.stage {
            let step = claim.unreachable(slot);
            self.step(entry, call, step);
        }
    }

    fn session(&mut self, entry: usize, slot: usize) -> Option<usize> {
        let known = self.entries[entry].sessions.get(&slot).copied();
        known.or_else(|| self.open(entry, slot))
    }

    fn take_fresh(&mut self, entry: usize, call: usize) -> Attempt<Fresh> {
        match std::mem::replace(&mut self.op(entry, call).stage, Stage::Detached) {
            Stage::Claiming(attempt, _) => attempt,
            _ => panic!("a claim holds its attempt"),
        }
    }

    fn run_at(&mut self, entry: usize, call: usize, slot: &InstanceId, incarnation: u64) {
        let attempt = self.take_fresh(entry, call);
        let session = self.session(entry, slot_index(slot));
        let same = |session: &usize| self.sessions[*session].slot_incarnation == incarnation;
        if let Some(session) = session.filter(same) {
            self.submit(entry, call, attempt, session);
            return;
        }
        let outcome = attempt.not_sent(Kind::Unreachable);
        self.end(entry, call, &outcome, &[]);
    }

    fn serve(
        &mut self,
        entry: usize,
        call: usize,
        slot: &InstanceId,
        incarnation: u64,
        number: u32,
        standing: Standing,
    ) {
        let attempt = self.take_fresh(entry, call).send(slot.clone(), incarnation);
        match standing {
            Standing::Lost => self.lose(entry, call, attempt, Cause::UpstreamLost),
            Standing::Expired => self.end(entry, call, &attempt.failed(Kind::Expired), &[]),
            Standing::Failed(kind) => self.end(entry, call, &attempt.failed(kind), &[]),
            Standing::Queued | Standing::Running | Standing::Finished(_) => {
                let Some(session) = self.session(entry, slot_index(slot)) else {
                    return self.lose(entry, call, attempt, Cause::Unreachable);
                };
                self.read(entry, call, attempt, number, session);
            }
        }
    }

    fn read(&mut self, entry: usize, call: usize, sent: Attempt<Sent>, number: u32, from: usize) {
        let incarnation = sent.target().1;
        let id = sent.id().clone();
        let receiver = Box::new(Receiver::new(incarnation, id.clone(), number));
        self.op(entry, call).stage = Stage::Streaming(sent, receiver, from, Vec::new());
        let message = Message::Resume {
            call,
            id,
            incarnation,
            offset: 0,
        };
        self.post(from, true, message);
    }

    /// Handles the loss of a sent attempt: repeats idempotent work, otherwise ends it as unknown.
    fn lose(&mut self, entry: usize, call: usize, attempt: Attempt<Sent>, cause: Cause) {
        if self.setting.defect == Some(Defect::FalseNotRun) {
            let request = Request {
                attempt: Some(1),
                ..self.entries[entry].ops[&call].request.clone()
            };
            let outcome = Attempt::new(&request).not_sent(Kind::Unreachable);
            return self.end(entry, call, &outcome, &[]);
        }
        match attempt.repeat() {
            Ok(fresh) => self.send_unclaimed(entry, call, fresh, Kind::Unreachable),
            Err(attempt) => self.end(entry, call, &attempt.lost(cause), &[]),
        }
    }

    fn end(&mut self, entry: usize, call: usize, outcome: &Outcome, bytes: &[u8]) {
        if let Some(op) = self.entries[entry].ops.remove(&call) {
            if let Stage::Streaming(_, receiver, _, _) = &op.stage {
                self.report.dropped += receiver.dropped().total();
            }
            self.answer(call, outcome, bytes);
        }
    }

    fn op(&mut self, entry: usize, call: usize) -> &mut Op {
        self.entries[entry]
            .ops
            .get_mut(&call)
            .expect("an open request")
    }

    pub(crate) fn claim_timeout(&mut self, call: usize, incarnation: u64) {
        let holds =
            |entry: &Entry| entry.incarnation == incarnation && entry.ops.contains_key(&call);
        let Some(entry) = self.entries.iter().position(holds) else {
            return;
        };
        let frozen = self.entries[entry].frozen_until;
        if frozen > self.now {
            self.after(frozen - self.now, Event::ClaimTimeout { call, incarnation });
            return;
        }
        let Stage::Claiming(_, claim) = &self.op(entry, call).stage else {
            return;
        };
        let silent: Vec<InstanceId> = claim.awaited().cloned().collect();
        for slot in silent {
            self.mark_unreachable(entry, call, &slot);
        }
    }

    pub(crate) fn entry_receives(&mut self, envelope: Envelope) {
        let session = envelope.session;
        let entry = self.sessions[session].entry;
        let slot = slot_name(self.sessions[session].slot);
        let incarnation = self.sessions[session].slot_incarnation;
        match envelope.message {
            Message::Finding { call, finding } => self.on_finding(entry, call, &slot, &finding),
            Message::Verdict {
                call,
                verdict,
                attempt,
            } => {
                self.on_verdict(entry, call, &slot, session, verdict, attempt);
            }
            Message::Frame { call, frame } => self.on_frame(entry, call, &frame),
            Message::End { call, kind, .. } => self.on_end(entry, call, &slot, incarnation, kind),
            _ => {}
        }
    }

    fn on_finding(&mut self, entry: usize, call: usize, slot: &InstanceId, finding: &Finding) {
        let now = self.clock();
        let Some(op) = self.entries[entry].ops.get_mut(&call) else {
            return;
        };
        if let Stage::Claiming(_, claim) = &mut op.stage {
            let step = claim.answer(now, slot, finding);
            self.step(entry, call, step);
        }
    }

    fn on_verdict(
        &mut self,
        entry: usize,
        call: usize,
        slot: &InstanceId,
        session: usize,
        verdict: Verdict,
        number: u32,
    ) {
        let Some(op) = self.entries[entry].ops.get_mut(&call) else {
            return;
        };
        let stage = std::mem::replace(&mut op.stage, Stage::Detached);
        let Stage::Submitted(attempt, at) = stage else {
            op.stage = stage;
            return;
        };
        let target = (slot, self.sessions[session].slot_incarnation);
        if attempt.target() != target {
            self.op(entry, call).stage = Stage::Submitted(attempt, at);
            return;
        }
        match verdict {
            Verdict::Admitted | Verdict::Attached(_) => {
                self.read(entry, call, attempt, number, session);
            }
            Verdict::Unsure => self.lose(entry, call, attempt, Cause::Restarted),
            Verdict::Dropped => {}
            Verdict::Refused(refusal) => match attempt.refused(slot, &refusal) {
                Disposition::Resendable(fresh) => {
                    self.send_unclaimed(entry, call, fresh, refusal.kind);
                }
                Disposition::Ended(outcome) => self.end(entry, call, &outcome, &[]),
                Disposition::Unmatched(attempt) => {
                    self.op(entry, call).stage = Stage::Submitted(attempt, at);
                }
            },
        }
    }

    fn on_frame(&mut self, entry: usize, call: usize, frame: &Owned) {
        let stray = self.setting.faults.stray;
        if !self.strays.is_empty() && self.chance(stray, 1000) {
            let index = self.rng.random_range(0..self.strays.len());
            if let Message::Frame { frame, .. } = self.strays[index].clone() {
                self.take_frame(entry, call, &frame);
            }
        }
        if stray > 0 && self.strays.len() < MAX_STRAYS {
            let copy = frame.clone();
            self.strays.push(Message::Frame { call, frame: copy });
        }
        self.take_frame(entry, call, frame);
    }

    fn take_frame(&mut self, entry: usize, call: usize, frame: &Owned) {
        let unchecked = self.setting.defect == Some(Defect::NoFrameCheck);
        let Some(op) = self.entries[entry].ops.get_mut(&call) else {
            return;
        };
        let Stage::Streaming(attempt, receiver, _, bytes) = &mut op.stage else {
            return;
        };
        if unchecked {
            **receiver = Receiver::from_offset(
                frame.incarnation,
                frame.id.clone(),
                frame.attempt,
                frame.offset,
            );
        }
        let Ok(progress) = receiver.accept(&frame.frame()) else {
            return;
        };
        bytes.extend_from_slice(&frame.bytes);
        if let Progress::Whole(whole) = progress {
            let outcome = attempt.clone().answered(whole);
            let bytes = std::mem::take(bytes);
            self.end(entry, call, &outcome, &bytes);
        }
    }

    fn on_end(
        &mut self,
        entry: usize,
        call: usize,
        slot: &InstanceId,
        incarnation: u64,
        kind: Option<Kind>,
    ) {
        let Some(op) = self.entries[entry].ops.get_mut(&call) else {
            return;
        };
        let Stage::Streaming(attempt, ..) = &op.stage else {
            return;
        };
        if attempt.target() != (slot, incarnation) {
            return;
        }
        let attempt = attempt.clone();
        match kind {
            Some(kind) => self.end(entry, call, &attempt.failed(kind), &[]),
            None => self.lose(entry, call, attempt, Cause::UpstreamLost),
        }
    }

    /// Handles the detected loss of a session: resumes its requests at the same slot incarnation,
    /// or treats them as lost.
    pub(crate) fn session_closed(&mut self, session: usize) {
        let lost = self.sessions[session].clone();
        let entry = lost.entry;
        let entry_state = &mut self.entries[entry];
        if entry_state.incarnation != lost.entry_incarnation || !entry_state.up {
            return;
        }
        if entry_state.frozen_until > self.now {
            let wait = entry_state.frozen_until - self.now;
            self.after(wait, Event::Closed { session });
            return;
        }
        if entry_state.sessions.get(&lost.slot) == Some(&session) {
            entry_state.sessions.remove(&lost.slot);
        }
        let uses = |(call, op): (&usize, &Op)| match &op.stage {
            Stage::Submitted(_, at) | Stage::Streaming(_, _, at, _) => {
                (*at == session).then_some(*call)
            }
            _ => None,
        };
        let waiting: Vec<usize> = entry_state.ops.iter().filter_map(uses).collect();
        let Some(newer) = self.session(entry, lost.slot) else {
            self.after(500_000, Event::Closed { session });
            return;
        };
        for call in waiting {
            self.resume(entry, call, newer);
        }
    }

    fn resume(&mut self, entry: usize, call: usize, session: usize) {
        let incarnation = self.sessions[session].slot_incarnation;
        let stage = std::mem::replace(&mut self.op(entry, call).stage, Stage::Detached);
        match stage {
            Stage::Submitted(mut attempt, _) if attempt.target().1 == incarnation => {
                attempt.record_resend();
                self.op(entry, call).stage = Stage::Submitted(attempt, session);
                self.post_submission(entry, call);
            }
            Stage::Streaming(attempt, receiver, _, bytes) if receiver.resumable(incarnation) => {
                let offset = receiver.offset();
                let id = attempt.id().clone();
                self.op(entry, call).stage = Stage::Streaming(attempt, receiver, session, bytes);
                let message = Message::Resume {
                    call,
                    id,
                    incarnation,
                    offset,
                };
                self.post(session, true, message);
            }
            Stage::Submitted(attempt, _) => self.lose(entry, call, attempt, Cause::SessionLost),
            Stage::Streaming(attempt, ..) => self.lose(entry, call, attempt, Cause::Incomplete),
            Stage::Detached | Stage::Claiming(..) => {}
        }
    }
}
