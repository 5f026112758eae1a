//! Deterministic simulation of the crate under an adversarial network, in virtual time.
//!
//! Entries, slots and callers only carry out the crate's decisions. The network may lose a session
//! at any message, delay messages and requests for a long time, and inject stray frames. A
//! session's messages are numbered; messages of an older session may arrive after those of a newer
//! one. Effects happen at upstreams, which keep running when their slot dies. One seed determines
//! the whole run.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use auburnline_attempt::candidates::Candidates;
use auburnline_attempt::ledger::Bounds;
use auburnline_attempt::ledger::Ledger;
use auburnline_attempt::outcome::Cause;
use auburnline_attempt::outcome::Outcome;
use auburnline_attempt::stream::Sequence;
use auburnline_core::error::Kind;
use auburnline_core::hash::digest;
use auburnline_core::hash::rendezvous_order;
use auburnline_core::id::InstanceId;
use auburnline_core::id::RequestId;
use auburnline_history::record::Answer;
use auburnline_history::record::Call;
use auburnline_history::record::Effect;
use auburnline_history::record::Line;
use auburnline_history::record::Record;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::entry::Entry;
use crate::setting::Report;
use crate::setting::Setting;
use crate::slot::Slot;
use crate::wire::Message;

/// Greatest number of attempts of one request.
const MAX_ATTEMPTS: u32 = 5;

/// A message in transit over a session, with its sequence number.
#[derive(Clone, Debug)]
pub(crate) struct Envelope {
    pub(crate) session: usize,
    pub(crate) to_slot: bool,
    pub(crate) number: u64,
    pub(crate) message: Message,
}

/// A scheduled event.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    NewRequest,
    Send {
        request: usize,
    },
    Arrive {
        call: usize,
        entry: usize,
        sent: u64,
    },
    Deliver(Envelope),
    Closed {
        session: usize,
    },
    CallTimeout {
        call: usize,
    },
    ClaimTimeout {
        call: usize,
        incarnation: u64,
    },
    Start {
        slot: usize,
        incarnation: u64,
        id: RequestId,
    },
    Effect {
        id: RequestId,
        attempt: u32,
        upstream: InstanceId,
        run: u64,
    },
    Finish {
        slot: usize,
        incarnation: u64,
        id: RequestId,
        run: u64,
    },
    Fault(&'static str),
    SlotUp(usize),
    EntryUp(usize),
    Heal,
    View {
        entry: Option<usize>,
        slot: Option<usize>,
        view: Vec<InstanceId>,
        revision: u64,
    },
    Tick,
}

#[derive(Clone, Debug)]
pub(crate) struct Session {
    pub(crate) entry: usize,
    pub(crate) entry_incarnation: u64,
    pub(crate) slot: usize,
    pub(crate) slot_incarnation: u64,
    pub(crate) since: u64,
    pub(crate) broken: bool,
    pub(crate) received: [Sequence; 2],
    pub(crate) sent: [u64; 2],
    pub(crate) due: [u64; 2],
}

#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) id: RequestId,
    pub(crate) numbered: bool,
    pub(crate) idempotent: bool,
    pub(crate) impatient: bool,
    pub(crate) first: u64,
    pub(crate) attempts: u32,
    pub(crate) ended: Option<&'static str>,
}

#[derive(Clone, Debug)]
pub(crate) struct CallState {
    pub(crate) request: usize,
    pub(crate) attempt: Option<u32>,
    pub(crate) answered: bool,
}

pub(crate) struct World {
    pub(crate) setting: Setting,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) now: u64,
    queue: BTreeMap<(u64, u64), Event>,
    count: u64,
    pub(crate) sessions: Vec<Session>,
    pub(crate) slots: Vec<Slot>,
    pub(crate) entries: Vec<Entry>,
    pub(crate) requests: Vec<Request>,
    pub(crate) calls: Vec<CallState>,
    pub(crate) published: Vec<InstanceId>,
    pub(crate) revision: u64,
    pub(crate) is_partitioned: bool,
    pub(crate) strays: Vec<Message>,
    pub(crate) lines: Vec<Line>,
    pub(crate) report: Report,
}

impl World {
    /// Simulates `setting` with `seed`, then up to 120 s more in which no new requests or faults
    /// occur.
    pub(crate) fn run(setting: Setting, seed: u64) -> World {
        let mut world = World::new(setting, seed);
        let end = setting.seconds * 1_000_000;
        let drain = end + 120_000_000;
        while let Some(((at, _), event)) = world.queue.pop_first() {
            if at > drain {
                break;
            }
            world.now = at;
            world.report.events += 1;
            world.handle(event, at < end);
        }
        world.close();
        world
    }

    fn new(setting: Setting, seed: u64) -> World {
        let names: Vec<InstanceId> = (0..setting.slots).map(slot_name).collect();
        let mut world = World {
            setting,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            queue: BTreeMap::new(),
            count: 0,
            sessions: Vec::new(),
            slots: Vec::new(),
            entries: Vec::new(),
            requests: Vec::new(),
            calls: Vec::new(),
            published: names.clone(),
            revision: 1,
            is_partitioned: false,
            strays: Vec::new(),
            lines: Vec::new(),
            report: Report::default(),
        };
        for name in &names {
            let incarnation = world.rng.random();
            world
                .slots
                .push(Slot::new(name.clone(), incarnation, 0, 1, &names));
        }
        for _ in 0..setting.entries {
            let incarnation = world.rng.random();
            world.entries.push(Entry::new(incarnation, 0, &names, 1));
        }
        world.begin();
        world
    }

    fn begin(&mut self) {
        for entry in 0..self.entries.len() {
            for slot in 0..self.slots.len() {
                self.open(entry, slot);
            }
        }
        self.after(1, Event::NewRequest);
        self.after(200_000, Event::Tick);
        let faults = self.setting.faults;
        for (name, mean) in [
            ("slot_kill", faults.slot_kill),
            ("slot_pause", faults.slot_pause),
            ("entry_kill", faults.entry_kill),
            ("entry_freeze", faults.entry_freeze),
            ("upstream_kill", faults.upstream_kill),
            ("partition", faults.partition),
            ("membership", faults.membership),
        ] {
            self.next_fault(name, mean);
        }
    }

    pub(crate) fn clock(&self) -> Duration {
        clock(self.now)
    }

    pub(crate) fn after(&mut self, delay: u64, event: Event) {
        self.count += 1;
        self.queue.insert((self.now + delay, self.count), event);
    }

    pub(crate) fn chance(&mut self, share: u32, of: u32) -> bool {
        self.rng.random_range(0..of) < share
    }

    pub(crate) fn up_to(&mut self, most: u64) -> u64 {
        self.rng.random_range(0..=most)
    }

    fn next_fault(&mut self, name: &'static str, mean: u64) {
        if mean > 0 {
            let delay = self.up_to(mean * 2_000);
            self.after(delay, Event::Fault(name));
        }
    }

    fn handle(&mut self, event: Event, open: bool) {
        match event {
            Event::NewRequest if open => self.new_request(),
            Event::Send { request } => self.send_call(request),
            Event::Arrive { call, entry, sent } => self.arrive(call, entry, sent),
            Event::Deliver(envelope) => self.deliver(envelope),
            Event::Closed { session } => self.session_closed(session),
            Event::CallTimeout { call } => self.call_timeout(call),
            Event::ClaimTimeout { call, incarnation } => self.claim_timeout(call, incarnation),
            Event::Start {
                slot,
                incarnation,
                id,
            } => self.start(slot, incarnation, &id),
            Event::Effect {
                id,
                attempt,
                upstream,
                run,
            } => {
                self.effect(id, attempt, upstream, run);
            }
            Event::Finish {
                slot,
                incarnation,
                id,
                run,
            } => {
                self.finish(slot, incarnation, &id, run);
            }
            Event::Fault(name) if open => self.fault(name),
            Event::SlotUp(slot) => self.slot_up(slot),
            Event::EntryUp(entry) => self.entry_up(entry),
            Event::Heal => self.is_partitioned = false,
            Event::View {
                entry,
                slot,
                view,
                revision,
            } => {
                self.apply_view(entry, slot, &view, revision);
            }
            Event::Tick => self.tick(open),
            Event::NewRequest | Event::Fault(_) => {}
        }
    }

    fn new_request(&mut self) {
        let number = self.requests.len();
        let (numbered, idempotent) = (self.setting.numbered, self.setting.idempotent);
        let request = Request {
            id: Arc::from(format!("r{number}")),
            numbered: self.chance(numbered, 100),
            idempotent: self.chance(idempotent, 100),
            impatient: self.chance(self.setting.impatient, 100),
            first: self.now,
            attempts: 0,
            ended: None,
        };
        self.requests.push(request);
        self.report.requests += 1;
        self.send_call(number);
        let delay = self.up_to(self.setting.request_interval_us * 2);
        self.after(delay, Event::NewRequest);
    }

    /// Sends a caller's next attempt; an impatient caller may send two retries at once.
    fn send_call(&mut self, request: usize) {
        let doubled = self.requests[request].attempts > 0
            && self.requests[request].impatient
            && self.chance(1, 3);
        for _ in 0..=u32::from(doubled) {
            self.send_one(request);
        }
    }

    fn send_one(&mut self, request: usize) {
        let state = &mut self.requests[request];
        if state.attempts >= MAX_ATTEMPTS || state.ended.is_some_and(|end| end == "answered") {
            return;
        }
        state.attempts += 1;
        let call = self.calls.len();
        let attempt = state.numbered.then_some(state.attempts);
        let record = Record::Call(Call {
            call: call as u64,
            id: state.id.clone(),
            attempt,
            idempotent: state.idempotent,
        });
        let impatient = state.impatient;
        self.log(record);
        self.calls.push(CallState {
            request,
            attempt,
            answered: false,
        });
        let entry = self.rng.random_range(0..self.entries.len());
        let delay = self.request_delay();
        let sent = self.now;
        self.after(delay, Event::Arrive { call, entry, sent });
        let timeout = if impatient { 1_000_000 } else { 5_000_000 };
        self.after(timeout, Event::CallTimeout { call });
    }

    fn request_delay(&mut self) -> u64 {
        let late = self.setting.faults.late;
        if self.chance(late, 1000) {
            return self.up_to(60_000_000);
        }
        500 + self.up_to(1_500)
    }

    fn call_timeout(&mut self, call: usize) {
        if !self.calls[call].answered {
            let request = self.calls[call].request;
            self.send_call(request);
        }
    }

    /// Ends a call with its entry's outcome, and schedules the caller's retry if there is to be
    /// one.
    pub(crate) fn answer(&mut self, call: usize, outcome: &Outcome, bytes: &[u8]) {
        assert!(!self.calls[call].answered, "a call ends once");
        self.calls[call].answered = true;
        let whole = matches!(outcome, Outcome::Answered(_));
        let record = Record::Answer(Answer {
            call: call as u64,
            fate: Some(outcome.fate()),
            kind: outcome.kind(),
            digest: whole.then(|| digest(bytes)),
        });
        self.log(record);
        let request = self.calls[call].request;
        let (end, again) = match outcome {
            Outcome::Answered(_) => ("answered", None),
            Outcome::Ran(_) => ("ran", None),
            Outcome::NotRun(not_run) if not_run.kind() == Kind::Fenced => ("not_run", None),
            Outcome::NotRun(_) => ("not_run", Some(Duration::from_millis(200))),
            Outcome::Unknown(unknown) => {
                let cause = cause_name(unknown.cause);
                *self.report.causes.entry(cause).or_default() += 1;
                ("unknown", Some(unknown.retry))
            }
        };
        if self.requests[request].ended != Some("answered") {
            self.requests[request].ended = Some(end);
        }
        if let Some(delay) = again {
            let delay = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
            self.after(delay.max(50_000), Event::Send { request });
        }
    }

    fn effect(&mut self, id: RequestId, attempt: u32, upstream: InstanceId, run: u64) {
        let bytes = answer_bytes(&id, run);
        self.log(Record::Effect(Effect {
            id,
            attempt: (attempt > 0).then_some(attempt),
            upstream,
            digest: digest(&bytes),
        }));
    }

    pub(crate) fn log(&mut self, record: Record) {
        let at = self.now;
        self.lines.push(Line { at, record });
    }

    fn tick(&mut self, open: bool) {
        let now = self.clock();
        for slot in &mut self.slots {
            if slot.up && slot.paused_until <= self.now {
                slot.ledger.tick(now);
                assert!(slot.ledger.invariant_bounds(), "a ledger keeps its bounds");
            }
        }
        if open {
            self.after(500_000, Event::Tick);
        }
    }

    fn close(&mut self) {
        for call in 0..self.calls.len() {
            if !self.calls[call].answered {
                self.log(Record::Answer(Answer {
                    call: call as u64,
                    fate: None,
                    kind: None,
                    digest: None,
                }));
            }
        }
        for request in &self.requests {
            let end = request.ended.unwrap_or("no_answer");
            *self.report.ends.entry(end).or_default() += 1;
        }
    }

    /// Opens a session if the slot is up and reachable.
    pub(crate) fn open(&mut self, entry: usize, slot: usize) -> Option<usize> {
        if !self.slots[slot].up || self.are_partitioned(entry, slot) {
            return None;
        }
        let session = self.sessions.len();
        self.sessions.push(Session {
            entry,
            entry_incarnation: self.entries[entry].incarnation,
            slot,
            slot_incarnation: self.slots[slot].incarnation,
            since: self.now,
            broken: false,
            received: [Sequence::default(); 2],
            sent: [0; 2],
            due: [0; 2],
        });
        self.entries[entry].sessions.insert(slot, session);
        Some(session)
    }

    fn are_partitioned(&self, entry: usize, slot: usize) -> bool {
        self.is_partitioned && entry % 2 != slot % 2
    }

    /// Sends a message over a session. It is delivered in order or reordered, delayed or
    /// duplicated, or lost together with the session.
    pub(crate) fn post(&mut self, session: usize, to_slot: bool, message: Message) {
        let (entry, slot) = (self.sessions[session].entry, self.sessions[session].slot);
        if self.sessions[session].broken {
            return;
        }
        let lost = self.setting.faults.lost;
        if self.are_partitioned(entry, slot) || self.chance(lost, 1000) {
            self.break_session(session);
            return;
        }
        let late = self.setting.faults.late;
        let extra = if self.chance(late, 1000) {
            self.up_to(50_000_000)
        } else {
            0
        };
        let delay = 500 + self.up_to(1_000) + extra;
        let direction = usize::from(to_slot);
        let state = &mut self.sessions[session];
        let number = state.sent[direction];
        state.sent[direction] += 1;
        state.due[direction] = state.due[direction].max(self.now + delay);
        let wait = state.due[direction] - self.now;
        let envelope = Envelope {
            session,
            to_slot,
            number,
            message,
        };
        if self.chance(lost, 1000) {
            let copy = Event::Deliver(envelope.clone());
            let later = wait + self.up_to(5_000_000);
            self.after(later, copy);
        }
        let swapped = self.chance(lost, 1000);
        let wait = if swapped { delay } else { wait };
        self.after(wait, Event::Deliver(envelope));
    }

    /// Breaks a session; its entry detects this within 3 s, the time that heartbeats allow for
    /// silence.
    pub(crate) fn break_session(&mut self, session: usize) {
        self.break_within(session, 3_000_000);
    }

    fn break_within(&mut self, session: usize, detection_us: u64) {
        if self.sessions[session].broken {
            return;
        }
        self.sessions[session].broken = true;
        let delay = self.up_to(detection_us);
        self.after(delay, Event::Closed { session });
    }

    fn deliver(&mut self, envelope: Envelope) {
        let state = self.sessions[envelope.session].clone();
        let until = if envelope.to_slot {
            self.slots[state.slot].paused_until
        } else {
            self.entries[state.entry].frozen_until
        };
        if until > self.now {
            let wait = until - self.now;
            self.after(wait, Event::Deliver(envelope));
            return;
        }
        let direction = usize::from(envelope.to_slot);
        if !self.sessions[envelope.session].received[direction].accept(envelope.number) {
            if envelope.number >= state.received[direction].next() {
                self.break_session(envelope.session);
            }
            return;
        }
        if envelope.to_slot {
            self.slot_receives(&state, envelope);
        } else if self.entries[state.entry].incarnation == state.entry_incarnation {
            self.entry_receives(envelope);
        }
    }

    fn fault(&mut self, name: &'static str) {
        *self.report.faults.entry(name).or_default() += 1;
        let faults = self.setting.faults;
        let slot = self.rng.random_range(0..self.slots.len());
        let entry = self.rng.random_range(0..self.entries.len());
        let mean = match name {
            "slot_kill" => {
                self.kill_slot(slot);
                faults.slot_kill
            }
            "slot_pause" => {
                self.slots[slot].paused_until = self.now + self.rng.random_range(0..30_000_000);
                faults.slot_pause
            }
            "entry_kill" => {
                self.kill_entry(entry);
                faults.entry_kill
            }
            "entry_freeze" => {
                let length = self.up_to(60_000_000);
                self.entries[entry].frozen_until = self.now + length;
                faults.entry_freeze
            }
            "upstream_kill" => {
                self.kill_upstream(slot);
                faults.upstream_kill
            }
            "partition" => {
                self.partition();
                faults.partition
            }
            _ => {
                self.change_membership();
                faults.membership
            }
        };
        self.next_fault(name, mean);
    }

    fn kill_slot(&mut self, slot: usize) {
        if !self.slots[slot].up {
            return;
        }
        self.slots[slot].up = false;
        for session in 0..self.sessions.len() {
            if self.sessions[session].slot == slot {
                self.break_within(session, self.setting.detection_ms * 1_000);
            }
        }
        let delay = 100_000 + self.up_to(self.setting.downtime_ms * 1_000);
        self.after(delay, Event::SlotUp(slot));
    }

    fn slot_up(&mut self, slot: usize) {
        let incarnation = self.rng.random();
        let name = self.slots[slot].name.clone();
        let revision = self.revision;
        let view = self.published.clone();
        let mut restarted = Slot::new(name, incarnation, self.now, revision, &view);
        restarted.ledger = Ledger::new(self.clock(), incarnation, Bounds::default());
        restarted.ledger.raise_min_revision(revision);
        restarted.run = self.slots[slot].run;
        self.slots[slot] = restarted;
        for entry in 0..self.entries.len() {
            if self.entries[entry].up {
                self.open(entry, slot);
            }
        }
    }

    fn kill_entry(&mut self, entry: usize) {
        if !self.entries[entry].up {
            return;
        }
        self.entries[entry].up = false;
        self.entries[entry].ops.clear();
        for session in 0..self.sessions.len() {
            if self.sessions[session].entry == entry {
                self.sessions[session].broken = true;
            }
        }
        let delay = 100_000 + self.up_to(self.setting.downtime_ms * 1_000);
        self.after(delay, Event::EntryUp(entry));
    }

    fn entry_up(&mut self, entry: usize) {
        let incarnation = self.rng.random();
        let view = self.published.clone();
        self.entries[entry] = Entry::new(incarnation, self.now, &view, self.revision);
        for slot in 0..self.slots.len() {
            self.open(entry, slot);
        }
    }

    fn partition(&mut self) {
        self.is_partitioned = true;
        for session in 0..self.sessions.len() {
            let state = &self.sessions[session];
            if self.are_partitioned(state.entry, state.slot) {
                self.break_session(session);
            }
        }
        let delay = self.up_to(20_000_000);
        self.after(delay, Event::Heal);
    }

    /// Publishes a list with one slot removed or one removed slot added back. Each process applies
    /// it after a random lag.
    fn change_membership(&mut self) {
        let missing: Vec<InstanceId> = self
            .slots
            .iter()
            .map(|slot| slot.name.clone())
            .filter(|name| !self.published.contains(name))
            .collect();
        if self.published.len() > 2 && (missing.is_empty() || self.chance(1, 2)) {
            let gone = self.rng.random_range(0..self.published.len());
            self.published.remove(gone);
        } else if let Some(back) = missing.first() {
            self.published.push(back.clone());
        }
        self.revision += 1;
        let (view, revision) = (self.published.clone(), self.revision);
        for entry in 0..self.entries.len() {
            let lag = self.up_to(self.setting.lag_ms * 1_000);
            let view = view.clone();
            self.after(
                lag,
                Event::View {
                    entry: Some(entry),
                    slot: None,
                    view,
                    revision,
                },
            );
        }
        for slot in 0..self.slots.len() {
            let lag = self.up_to(self.setting.lag_ms * 1_000);
            let view = view.clone();
            self.after(
                lag,
                Event::View {
                    entry: None,
                    slot: Some(slot),
                    view,
                    revision,
                },
            );
        }
    }

    fn apply_view(
        &mut self,
        entry: Option<usize>,
        slot: Option<usize>,
        view: &[InstanceId],
        new: u64,
    ) {
        let now = self.clock();
        if let Some(entry) = entry.map(|entry| &mut self.entries[entry])
            && entry.revision < new
        {
            entry.revision = new;
            entry.candidates.observe(now, new, view);
        }
        if let Some(slot) = slot.map(|slot| &mut self.slots[slot])
            && slot.revision < new
        {
            slot.revision = new;
            slot.ledger.raise_min_revision(new);
            slot.candidates.observe(now, new, view);
        }
    }

    /// Returns the slots of `all` that may get `id`: all of them if the setting sets no number,
    /// otherwise the first ones in rendezvous order, at most one of each of three failure domains.
    pub(crate) fn subset(&self, id: &str, mut all: Vec<InstanceId>) -> Vec<InstanceId> {
        let count = self.setting.candidates;
        if count == 0 {
            return all;
        }
        rendezvous_order(id, &mut all);
        let mut domains = BTreeSet::new();
        all.retain(|name| domains.insert(slot_index(name) % 3));
        all.truncate(count);
        all
    }
}

pub(crate) fn clock(micros: u64) -> Duration {
    // Processes have been up for ten minutes at the start of a run.
    Duration::from_micros(micros) + Duration::from_mins(10)
}

pub(crate) fn slot_name(index: usize) -> InstanceId {
    Arc::from(format!("s{index}"))
}

pub(crate) fn slot_index(name: &str) -> usize {
    name[1..].parse().expect("a slot's name")
}

pub(crate) fn answer_bytes(id: &str, run: u64) -> Vec<u8> {
    format!("answer to {id} by run {run}").into_bytes()
}

fn cause_name(cause: Cause) -> String {
    let text = format!("{cause:?}");
    text.split('(').next().unwrap_or_default().to_owned()
}

/// Returns the pool as known to a process that starts at `now`.
pub(crate) fn first_view(now: u64, revision: u64, view: &[InstanceId]) -> Candidates {
    let mut candidates = Candidates::new();
    candidates.observe(clock(now), revision, view);
    candidates
}
