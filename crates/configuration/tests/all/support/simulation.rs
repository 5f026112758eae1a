//! Deterministic simulation of many processes that exchange messages, and of one configuration
//! service.
//!
//! Time is simulated and all randomness is seeded. Invariants are checked at every step against the
//! simulation's own records of what was published, asked and installed.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use auburnline_configuration::checked::Checked;
use auburnline_configuration::head::Head;
use auburnline_configuration::parcel::Content;
use auburnline_configuration::parcel::Ticket;
use auburnline_configuration::schedule::Member;
use auburnline_configuration::source::Source;
use auburnline_configuration::source::Value;
use auburnline_configuration::spread::Action;
use auburnline_configuration::spread::Event;
use auburnline_configuration::spread::Spread;
use auburnline_core::id::InstanceId;
use auburnline_core::id::Revision;
use auburnline_core::time::Monotonic;
use auburnline_membership::heartbeat;
use auburnline_membership::pause::PAUSE;
use auburnline_membership::pause::TICK;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Size of a framed head, in bytes.
const HEAD_BYTES: usize = 96;

/// Process under simulation: a [`Spread`], a faulty wrapper of one, or a baseline policy.
pub(crate) trait Process {
    fn handle(&mut self, event: Event, now: Monotonic) -> Vec<Action>;
    fn may_send(&self, now: Monotonic) -> bool;
    fn head(&self) -> Option<Head>;
}

impl Process for Spread {
    fn handle(&mut self, event: Event, now: Monotonic) -> Vec<Action> {
        Spread::handle(self, event, now)
    }

    fn may_send(&self, now: Monotonic) -> bool {
        Spread::may_send(self, now).is_ok()
    }

    fn head(&self) -> Option<Head> {
        self.acceptance().head().cloned()
    }
}

/// Behaviour of the configuration service; an index is that of an old published configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Service {
    Up,
    Down,
    Silent,
    Stale(usize),
    Flapping(usize),
}

pub(crate) struct Published {
    pub(crate) source: Source,
    pub(crate) head: Head,
    pub(crate) is_valid: bool,
}

#[derive(Default)]
pub(crate) struct Traffic {
    pub(crate) messages: u64,
    pub(crate) bytes: usize,
    pub(crate) calls: u64,
}

struct Watch {
    ticket: Ticket,
    known: Option<String>,
    until: Monotonic,
}

pub(crate) struct Node {
    pub(crate) member: Member,
    pub(crate) process: Box<dyn Process>,
    pub(crate) neighbours: Vec<usize>,
    pub(crate) is_cut_from_service: bool,
    pub(crate) side: usize,
    pub(crate) installs: BTreeMap<Revision, Monotonic>,
    pub(crate) traffic: Traffic,
    incarnation: u64,
    frozen_until: Monotonic,
    watch: Option<Watch>,
    asked: BTreeSet<Ticket>,
    is_refreshed: bool,
}

#[derive(Clone)]
enum Item {
    Deliver(Event),
    Tick,
    Heartbeat,
    Read {
        ticket: Ticket,
        known: Option<String>,
        until: Monotonic,
    },
    WatchEnd(Ticket),
    Section(auburnline_core::published::Section, String),
}

struct Scheduled {
    at: Monotonic,
    order: u64,
    to: usize,
    incarnation: u64,
    item: Item,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Makes the process of one member from a seed.
pub(crate) type Maker = fn(&Member, u64, Monotonic) -> Box<dyn Process>;

pub(crate) fn make_spread(member: &Member, seed: u64, now: Monotonic) -> Box<dyn Process> {
    let instance = member.instance.clone();
    let domain = member.failure_domain.clone();
    Box::new(Spread::new(instance, domain, seed, now))
}

pub(crate) struct Simulation {
    pub(crate) now: Monotonic,
    pub(crate) nodes: Vec<Node>,
    pub(crate) published: Vec<Published>,
    pub(crate) service: Service,
    pub(crate) violations: Vec<String>,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) loss: f64,
    pub(crate) events: u64,
    /// Number of calls of the configuration service in each second.
    pub(crate) calls: BTreeMap<u64, u64>,
    /// Calls per second that the service answers; the others fail.
    pub(crate) capacity: u64,
    maker: Maker,
    queue: BinaryHeap<Reverse<Scheduled>>,
    order: u64,
    names: BTreeMap<InstanceId, usize>,
    sections: BTreeMap<String, Value>,
}

impl Simulation {
    /// Returns a fleet whose process `i` is in failure domain `i % domains`.
    pub(crate) fn new(
        seed: u64,
        domains: usize,
        neighbours: Vec<Vec<usize>>,
        maker: Maker,
        first: Source,
    ) -> Self {
        let mut simulation = Self {
            now: Duration::from_secs(1),
            nodes: Vec::new(),
            published: Vec::new(),
            service: Service::Up,
            violations: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss: 0.0,
            events: 0,
            calls: BTreeMap::new(),
            capacity: u64::MAX,
            maker,
            queue: BinaryHeap::new(),
            order: 0,
            names: BTreeMap::new(),
            sections: BTreeMap::new(),
        };
        simulation.publish(first);
        for (index, neighbours) in neighbours.into_iter().enumerate() {
            let member = Member {
                instance: format!("p{index}").into(),
                failure_domain: format!("d{}", index % domains).into(),
            };
            simulation.names.insert(member.instance.clone(), index);
            let now = simulation.now;
            simulation.nodes.push(Node {
                process: maker(&member, seed, now),
                member,
                neighbours,
                is_cut_from_service: false,
                side: 0,
                installs: BTreeMap::new(),
                traffic: Traffic::default(),
                incarnation: 0,
                frozen_until: Duration::ZERO,
                watch: None,
                asked: BTreeSet::new(),
                is_refreshed: false,
            });
        }
        for index in 0..simulation.nodes.len() {
            simulation.start(index);
        }
        simulation
    }

    /// Restarts a process without any of its previous state.
    pub(crate) fn start(&mut self, index: usize) {
        let seed = self.rng.random();
        let live: Vec<Member> = self.nodes.iter().map(|node| node.member.clone()).collect();
        let now = self.now;
        let node = &mut self.nodes[index];
        node.process = (self.maker)(&node.member, seed, now);
        node.incarnation += 1;
        node.installs.clear();
        node.watch = None;
        node.asked.clear();
        node.is_refreshed = false;
        node.frozen_until = now;
        let neighbours = node.neighbours.clone();
        self.later(Duration::ZERO, index, Item::Deliver(Event::Live(live)));
        let phase = self.period(index).mul_f64(self.rng.random());
        self.later(phase, index, Item::Heartbeat);
        let phase = TICK.mul_f64(self.rng.random());
        self.later(phase, index, Item::Tick);
        for other in neighbours {
            let event = Event::SessionUp(self.nodes[other].member.instance.clone());
            self.later(Duration::ZERO, index, Item::Deliver(event));
        }
    }

    /// Delivers a list of live processes in which some live ones are replaced by ones that don't
    /// exist.
    pub(crate) fn deliver_wrong_live_list(&mut self, index: usize) {
        let mut live = Vec::new();
        for other in 0..self.nodes.len() {
            let mut member = self.nodes[other].member.clone();
            if self.rng.random() {
                member.instance = format!("gone{other}").into();
            }
            live.push(member);
        }
        self.later(Duration::ZERO, index, Item::Deliver(Event::Live(live)));
    }

    /// Freezes a process; messages that arrive meanwhile are delivered when it resumes.
    pub(crate) fn freeze(&mut self, index: usize, length: Duration) {
        let node = &mut self.nodes[index];
        node.frozen_until = node.frozen_until.max(self.now + length);
        if length > PAUSE {
            node.asked.clear();
            node.is_refreshed = false;
        }
    }

    pub(crate) fn publish(&mut self, source: Source) {
        let digest = auburnline_core::hash::digest(&source.manifest);
        let manifest: auburnline_core::published::Manifest =
            serde_json::from_slice(&source.manifest).expect("a manifest");
        for (section, bytes) in &source.sections {
            let key = section.key(&manifest.sections[section]);
            self.sections.insert(key, Arc::clone(bytes));
        }
        self.published.push(Published {
            is_valid: Checked::parse(source.clone()).is_ok(),
            head: Head {
                revision: manifest.revision,
                digest,
            },
            source,
        });
        self.wake_watches();
    }

    /// Changes the state of the configuration service.
    pub(crate) fn set_service(&mut self, service: Service) {
        self.service = service;
        self.wake_watches();
    }

    fn wake_watches(&mut self) {
        for index in 0..self.nodes.len() {
            if let Some(watch) = self.nodes[index].watch.take() {
                let item = Item::Read {
                    ticket: watch.ticket,
                    known: watch.known,
                    until: watch.until,
                };
                self.later(Duration::ZERO, index, item);
            }
        }
    }

    fn later(&mut self, delay: Duration, to: usize, item: Item) {
        self.order += 1;
        self.queue.push(Reverse(Scheduled {
            at: self.now + delay,
            order: self.order,
            to,
            incarnation: self.nodes[to].incarnation,
            item,
        }));
    }

    /// Runs until `end`, or until `done` returns `true` after an event.
    pub(crate) fn run(&mut self, end: Monotonic, done: impl Fn(&Self) -> bool) {
        while let Some(Reverse(next)) = self.queue.pop() {
            if next.at > end {
                self.queue.push(Reverse(next));
                break;
            }
            self.now = next.at;
            self.step(next);
            if done(self) {
                return;
            }
        }
        self.now = end;
    }

    fn step(&mut self, mut next: Scheduled) {
        let node = &self.nodes[next.to];
        if next.incarnation != node.incarnation {
            return;
        }
        if node.frozen_until > self.now {
            next.at = node.frozen_until;
            self.queue.push(Reverse(next));
            return;
        }
        let to = next.to;
        match next.item {
            Item::Deliver(event) => self.deliver(to, event),
            Item::Tick => {
                self.deliver(to, Event::Tick);
                self.later(TICK, to, Item::Tick);
            }
            Item::Heartbeat => self.heartbeat(to),
            Item::Read {
                ticket,
                known,
                until,
            } => self.read(to, ticket, known, until),
            Item::WatchEnd(ticket) => {
                let watch = self.nodes[to].watch.take_if(|watch| watch.ticket == ticket);
                if let Some(watch) = watch {
                    self.read(to, ticket, watch.known, Duration::ZERO);
                }
            }
            Item::Section(section, key) => self.read_section(to, section, &key),
        }
    }

    fn heartbeat(&mut self, index: usize) {
        let head = self.nodes[index].process.head();
        let head = head.map(|head| head.short());
        let peers = self.nodes[index].neighbours.clone();
        for peer in peers {
            let event = Event::Heard(self.nodes[index].member.instance.clone(), head.clone());
            self.send(index, peer, event, None);
        }
        self.later(self.period(index), index, Item::Heartbeat);
    }

    /// Returns the period of a process's heartbeats if all its sessions are idle.
    pub(crate) fn period(&self, index: usize) -> Duration {
        heartbeat::period(false, self.nodes[index].neighbours.len())
    }

    /// Sends a message; `bytes` is `None` for heartbeats, which sessions send anyway and which
    /// aren't counted as traffic.
    fn send(&mut self, from: usize, to: usize, event: Event, bytes: Option<usize>) {
        if let Some(bytes) = bytes {
            self.nodes[from].traffic.messages += 1;
            self.nodes[from].traffic.bytes += bytes;
        }
        let is_cut = self.nodes[from].side != self.nodes[to].side;
        if is_cut || self.rng.random_bool(self.loss) {
            return;
        }
        let micros = self.rng.random_range(1_000..2_500);
        self.later(Duration::from_micros(micros), to, Item::Deliver(event));
    }

    fn current(&mut self) -> Option<usize> {
        let last = self.published.len() - 1;
        match self.service {
            Service::Up => Some(last),
            Service::Down | Service::Silent => None,
            Service::Stale(index) => Some(index),
            Service::Flapping(index) => Some(if self.rng.random() { index } else { last }),
        }
    }

    fn read(&mut self, to: usize, ticket: Ticket, known: Option<String>, until: Monotonic) {
        let is_cut = self.nodes[to].is_cut_from_service;
        if is_cut || matches!(self.service, Service::Silent) {
            return;
        }
        let Some(current) = self.current() else {
            self.deliver(to, Event::ManifestFailed(ticket));
            return;
        };
        let published = &self.published[current];
        if known.as_ref() == Some(&published.head.digest) && until > self.now {
            let wait = until.saturating_sub(self.now);
            self.nodes[to].watch = Some(Watch {
                ticket,
                known,
                until,
            });
            self.later(wait, to, Item::WatchEnd(ticket));
            return;
        }
        let bytes = Arc::clone(&published.source.manifest);
        self.deliver(to, Event::Manifest(ticket, bytes));
    }

    fn read_section(&mut self, to: usize, section: auburnline_core::published::Section, key: &str) {
        if self.nodes[to].is_cut_from_service || matches!(self.service, Service::Silent) {
            return;
        }
        let is_up = !matches!(self.service, Service::Down);
        let event = match self.sections.get(key).filter(|_| is_up) {
            Some(bytes) => Event::Section(section, Arc::clone(bytes)),
            None => Event::SectionFailed(section),
        };
        self.deliver(to, event);
    }

    fn deliver(&mut self, to: usize, event: Event) {
        self.events += 1;
        self.check_sending(to);
        let node = &mut self.nodes[to];
        match &event {
            Event::Answered(_, parcel) if node.asked.contains(&parcel.ticket) => {
                node.is_refreshed |= parcel.head.is_some();
                if let Content::Newer { .. } = parcel.content {
                    node.is_refreshed = true;
                }
            }
            Event::Manifest(ticket, _) => node.is_refreshed |= node.asked.contains(ticket),
            _ => {}
        }
        let actions = node.process.handle(event, self.now);
        for action in actions {
            self.act(to, action);
        }
        self.check_sending(to);
    }

    /// Checks that a process sends new work only after an answer to a request that it made after
    /// its start or its last pause.
    fn check_sending(&mut self, index: usize) {
        let node = &self.nodes[index];
        if node.process.may_send(self.now) && !node.is_refreshed {
            let name = &node.member.instance;
            let violation = format!("{:?}: {name} sends before its refresh", self.now);
            self.violations.push(violation);
        }
    }

    fn act(&mut self, index: usize, action: Action) {
        let me = self.nodes[index].member.instance.clone();
        match action {
            Action::ReadManifest {
                ticket,
                known,
                wait,
            } => {
                self.nodes[index].watch = None;
                self.nodes[index].asked.insert(ticket);
                let until = self.now + wait;
                if !self.call(index) {
                    let failed = Event::ManifestFailed(ticket);
                    return self.service_later(index, Item::Deliver(failed));
                }
                let item = Item::Read {
                    ticket,
                    known,
                    until,
                };
                self.service_later(index, item);
            }
            Action::ReadSection(section, key) => {
                let item = if self.call(index) {
                    Item::Section(section, key)
                } else {
                    Item::Deliver(Event::SectionFailed(section))
                };
                self.service_later(index, item);
            }
            Action::Announce(peers, head) => {
                for peer in peers {
                    let event = Event::Heard(me.clone(), Some(head.clone()));
                    self.send(index, self.names[&peer], event, Some(HEAD_BYTES));
                }
            }
            Action::Ask(peer, ask) => {
                self.nodes[index].asked.insert(ask.ticket);
                let bytes = ask.len();
                let event = Event::Asked(me, ask);
                self.send(index, self.names[&peer], event, Some(bytes));
            }
            Action::Answer(peer, parcel) => {
                let bytes = parcel.len();
                let event = Event::Answered(me, parcel);
                self.send(index, self.names[&peer], event, Some(bytes));
            }
            Action::Install(checked) => self.install(index, &checked),
            Action::Log(_) => {}
        }
    }

    /// Counts a call; returns whether it is within the service's capacity in this second.
    fn call(&mut self, index: usize) -> bool {
        self.nodes[index].traffic.calls += 1;
        let calls = self.calls.entry(self.now.as_secs()).or_default();
        *calls += 1;
        *calls <= self.capacity
    }

    fn service_later(&mut self, index: usize, item: Item) {
        let delay = Duration::from_micros(self.rng.random_range(2_000..5_000));
        self.later(delay, index, item);
    }

    fn install(&mut self, index: usize, checked: &Checked) {
        let head = Head::of(checked);
        let name = &self.nodes[index].member.instance;
        let is_valid_published =
            |published: &Published| published.is_valid && published.head == head;
        if !self.published.iter().any(is_valid_published) {
            let violation = format!("{:?}: {name} installs unsound {head}", self.now);
            self.violations.push(violation);
        }
        let last = self.nodes[index].installs.last_key_value();
        if last.is_some_and(|(&before, _)| before >= head.revision) {
            let violation = format!("{:?}: {name} goes back to {head}", self.now);
            self.violations.push(violation);
        }
        let now = self.now;
        self.nodes[index].installs.insert(head.revision, now);
    }

    /// Returns the highest valid revision published.
    pub(crate) fn highest(&self) -> Revision {
        let valid = self.published.iter().filter(|published| published.is_valid);
        valid
            .map(|published| published.head.revision)
            .max()
            .unwrap_or(0)
    }

    /// Returns the highest revision that any process has put in force.
    pub(crate) fn highest_accepted(&self) -> Revision {
        let accepted = self.nodes.iter().flat_map(|node| node.installs.keys());
        accepted.copied().max().unwrap_or(0)
    }

    /// Returns whether every process has put the highest valid revision in force.
    pub(crate) fn is_spread(&self) -> bool {
        let highest = self.highest();
        self.nodes
            .iter()
            .all(|node| node.installs.contains_key(&highest))
    }

    /// Adds a violation for each process that hasn't put `revision` in force.
    pub(crate) fn check_spread(&mut self, revision: Revision) {
        for node in &self.nodes {
            if !node.installs.contains_key(&revision) {
                let name = &node.member.instance;
                let violation = format!("{:?}: {name} lacks {revision}", self.now);
                self.violations.push(violation);
            }
        }
    }
}

/// Returns a connected sparse graph: a ring with `extra` random links added per process.
pub(crate) fn links(count: usize, extra: usize, rng: &mut impl Rng) -> Vec<Vec<usize>> {
    let mut sets = vec![BTreeSet::new(); count];
    let mut join = |a: usize, b: usize| {
        if a != b {
            sets[a].insert(b);
            sets[b].insert(a);
        }
    };
    for index in 0..count {
        join(index, (index + 1) % count);
        for _ in 0..extra {
            join(index, rng.random_range(0..count));
        }
    }
    sets.into_iter()
        .map(|set| set.into_iter().collect())
        .collect()
}
