//! The deciding duty: routing, attempts, claims, configuration.
//!
//! All decisions are made on this thread, one event after the other. [`submit`] takes a request to a
//! slot, [`retry`] to another one, [`claim`] asks the slots about later attempts, [`answer`] takes what comes back and
//! [`resume`] what is cut off,
//! [`search`] finds requests that callers ask about, and [`fleet`] keeps configuration and sessions.

mod answer;
mod claim;
mod discover;
mod ejection;
mod exchange;
mod fleet;
mod glance;
mod limit;
mod resume;
mod retry;
mod search;
mod submit;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use auburnline_attempt::candidates::Candidates;
use auburnline_caller::command::Command;
use auburnline_caller::command::Parts;
use auburnline_core::answer::Failure;
use auburnline_core::answer::Part;
use auburnline_core::error::Kind;
use auburnline_core::id::GroupId;
use auburnline_core::id::Incarnation;
use auburnline_core::id::InstanceId;
use auburnline_core::id::PoolId;
use auburnline_core::time::Monotonic;
use auburnline_duty::clock::Clock;
use auburnline_duty::ring;
use auburnline_peer::node;
use auburnline_peer::node::SessionId;
use auburnline_peer::wire::Frame;
use auburnline_peer::wire::Stream;
use auburnline_process::board::Board;
use auburnline_process::exchange::Exchange as Configurations;
use auburnline_process::fleet::Fleet;
use auburnline_process::reader;
use auburnline_process::stay::Stay;
use auburnline_routing as routing;
use auburnline_routing::Router;
use auburnline_settings::Entry;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::sync::oneshot;

use self::exchange::Exchange;
use self::limit::Limits;
use self::retry::Retries;
use self::search::Search;
use crate::answers::Note;
use crate::event::Event;

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(50);
/// Time between two looks at all instances.
const SURVEY: Duration = Duration::from_millis(200);
/// Least time that an entry which leaves answers callers that still hold its address.
const LINGER: Duration = Duration::from_secs(1);
/// Events taken at once.
const BATCH: usize = 1024;

/// Ways to the other duties.
pub(crate) struct Ways {
    pub(crate) board: Arc<Board>,
    pub(crate) peers: ring::Sender<node::Order<Note>>,
    pub(crate) platform: ring::Sender<reader::Order>,
    pub(crate) close: oneshot::Sender<()>,
    pub(crate) served: oneshot::Receiver<()>,
}

/// State of the deciding duty.
pub(crate) struct State {
    settings: Entry,
    clock: Clock,
    incarnation: Incarnation,
    rng: ChaCha8Rng,
    ways: Ways,
    configurations: Configurations,
    fleet: Fleet,
    /// Entries that this one gossips with.
    gossips: BTreeSet<InstanceId>,
    limits: Limits,
    retries: Retries,
    stay: Stay,
    router: Router,
    /// Groups by the instance that admits for them.
    admits: BTreeMap<InstanceId, GroupId>,
    candidates: BTreeMap<PoolId, Candidates>,
    exchanges: BTreeMap<Stream, Exchange>,
    searches: BTreeMap<Stream, Search>,
    /// Answers that callers read again by key.
    reads: BTreeMap<Stream, Parts>,
    next: Stream,
    next_survey: Monotonic,
}

impl State {
    /// Makes the state of an entry that has just started.
    pub(crate) fn new(
        settings: Entry,
        clock: Clock,
        incarnation: Incarnation,
        ways: Ways,
    ) -> State {
        let now = clock.now();
        let router = routing::Config::builder(settings.failure_domain.clone()).build();
        let configurations = Configurations::new(
            settings.instance.clone(),
            settings.failure_domain.clone(),
            incarnation,
            now,
        );
        let fleet = Fleet::new(
            settings.instance.clone(),
            incarnation,
            settings.seeds.clone(),
        );
        let linger = LINGER.max(2 * settings.timing.heartbeat());
        let stay = Stay::new(linger, settings.timing.drain_deadline());
        let limits = Limits::new(now, settings.instance.clone(), incarnation);
        State {
            clock,
            incarnation,
            rng: ChaCha8Rng::seed_from_u64(incarnation),
            ways,
            configurations,
            fleet,
            gossips: BTreeSet::new(),
            limits,
            retries: Retries::new(now),
            stay,
            router: Router::new(router),
            admits: BTreeMap::new(),
            candidates: BTreeMap::new(),
            exchanges: BTreeMap::new(),
            searches: BTreeMap::new(),
            reads: BTreeMap::new(),
            next: 0,
            next_survey: now,
            settings,
        }
    }

    /// Takes events until the process may end.
    pub(crate) async fn run(
        mut self,
        mut inbox: ring::Receiver<Event>,
        mut callers: ring::Receiver<Command>,
    ) {
        let mut ticks = tokio::time::interval(TICK);
        let mut events = Vec::with_capacity(BATCH);
        let mut commands = Vec::with_capacity(BATCH);
        while !self.stay.is_over() {
            tokio::select! {
                biased;
                _ = ticks.tick() => self.tick(),
                count = inbox.pop_many(&mut events, BATCH) => {
                    if count == 0 {
                        return;
                    }
                }
                count = callers.pop_many(&mut commands, BATCH) => {
                    if count == 0 {
                        return;
                    }
                }
            }
            for event in events.drain(..) {
                self.take(event);
            }
            for command in commands.drain(..) {
                self.command(command);
            }
        }
        self.fail_all();
        let _ = self.ways.close.send(());
        let bound = self.settings.timing.slow_sender();
        let _ = tokio::time::timeout(bound, self.ways.served).await;
    }

    /// Answers what is still under way: a connection that closes would tell its caller nothing.
    fn fail_all(&mut self) {
        let exchanges = std::mem::take(&mut self.exchanges).into_values();
        let reads = std::mem::take(&mut self.reads).into_values();
        let parts = exchanges.map(|exchange| exchange.parts).chain(reads);
        for parts in parts {
            fail(
                &parts,
                Kind::OutcomeUnknown,
                "this entry ends; ask another one",
            );
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Peer(event) => self.peer(event),
            Event::Answer(stream, answer) => match self.reads.remove(&stream) {
                Some(parts) => self.read(stream, &parts, answer),
                None => self.answer(stream, answer),
            },
            Event::Platform(reading) => self.platform(reading),
            Event::Stop => {
                self.stay.signal(self.clock.now());
                self.beat_now();
            }
            Event::Drain => {
                self.stay.order(self.clock.now());
                self.beat_now();
            }
        }
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::Submit {
                request,
                key,
                parts,
            } => self.submit(request, key, parts),
            Command::Resume { id, offset, parts } => self.resume(id, offset, parts),
            Command::Cancel { id, reply } => self.cancel(id, reply),
            Command::Status { id, reply } => self.status(id, reply),
            Command::Discover { reply } => {
                let _ = reply.send(self.discover());
            }
        }
    }

    fn number(&mut self) -> Stream {
        self.next += 1;
        self.next
    }

    /// Sends a frame; `false` means that it did not leave this thread.
    fn send(&self, session: SessionId, frame: Frame) -> bool {
        self.ways
            .peers
            .push(node::Order::Send(session, frame))
            .is_ok()
    }

    fn note(&self, note: Note) -> bool {
        self.ways.peers.push(node::Order::Note(note)).is_ok()
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        let effects = self.configurations.tick(now);
        self.apply(effects);
        self.tell_live();
        let acts = self
            .fleet
            .tick(now, self.configurations.spread().is_reader());
        self.act(acts);
        self.survey(now);
        self.tick_limits(now);
        self.tick_retries(now);
        self.beat();
        self.expire(now);
        self.expire_searches(now);
        self.publish();
        self.stay.tick(now);
    }

    /// Looks at all instances, which costs too much for every tick; a notice is taken at once.
    fn survey(&mut self, now: Monotonic) {
        if now < self.next_survey {
            return;
        }
        self.next_survey = now + SURVEY;
        self.mark_all(now);
        self.see_entries(now);
    }
}

/// Gives a caller its final answer; one that is gone needs none.
fn fail(parts: &Parts, kind: Kind, detail: impl Into<String>) {
    let _ = parts.push(Part::Failure(Failure::new(kind, detail)));
}
