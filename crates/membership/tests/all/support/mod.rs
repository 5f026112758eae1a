//! Simulation of entries' views and of instances that leave, crash and restart.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::time::Duration;

use auburnline_core::id::Incarnation;
use auburnline_core::id::InstanceId;
use auburnline_core::id::Revision;
use auburnline_core::time::Monotonic;
use auburnline_membership::heartbeat::Heartbeat;
use auburnline_membership::list::List;
use auburnline_membership::neighbour::Place;
use auburnline_membership::neighbour::pick;
use auburnline_membership::pause::PAUSE;
use auburnline_membership::pause::TICK;
use auburnline_membership::view::Action;
use auburnline_membership::view::Event;
use auburnline_membership::view::View;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Simulated time after which no entry sends new work to a leaving or dead instance.
pub(crate) const BOUND: Duration = Duration::from_secs(3);
/// Heartbeat period of each session.
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);

/// View under test: a [`View`], or one with a planted fault.
pub(crate) trait Subject {
    fn handle(&mut self, event: Event, now: Monotonic) -> Vec<Action>;
    fn may_get_work(&self, instance: &str, now: Monotonic) -> bool;
    fn incarnation(&self, instance: &str) -> Option<Incarnation>;
}

impl Subject for View {
    fn handle(&mut self, event: Event, now: Monotonic) -> Vec<Action> {
        View::handle(self, event, now)
    }

    fn may_get_work(&self, instance: &str, now: Monotonic) -> bool {
        View::may_get_work(self, instance, now)
    }

    fn incarnation(&self, instance: &str) -> Option<Incarnation> {
        View::incarnation(self, instance)
    }
}

pub(crate) type Factory = fn(InstanceId, u64) -> Box<dyn Subject>;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum State {
    Serving,
    Leaving(Monotonic),
    Gone(Monotonic),
}

struct Truth {
    incarnation: Incarnation,
    state: State,
    side: usize,
}

struct Viewer {
    subject: Box<dyn Subject>,
    frozen_until: Monotonic,
    has_paused: bool,
    noticed: BTreeSet<(InstanceId, Incarnation)>,
    revision: Revision,
}

struct Link {
    id: u64,
    incarnation: Incarnation,
    is_silent: bool,
}

#[derive(Clone)]
enum Item {
    Tick,
    Direct(Event),
    OverLink(u64, Event),
    Opened(InstanceId),
    Heartbeat(u64, InstanceId),
    ReadList,
    Exit(InstanceId, Incarnation),
}

struct Scheduled {
    at: Monotonic,
    order: u64,
    to: InstanceId,
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

pub(crate) struct Simulation {
    pub(crate) now: Monotonic,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) violations: Vec<String>,
    pub(crate) events: u64,
    pub(crate) list_lag: usize,
    pub(crate) is_list_gone: bool,
    /// Time from leaving to the last new work, for each incarnation that left.
    pub(crate) last_work: BTreeMap<(InstanceId, Incarnation), Duration>,
    factory: Factory,
    truths: BTreeMap<InstanceId, Truth>,
    viewers: BTreeMap<InstanceId, Viewer>,
    links: BTreeMap<(InstanceId, InstanceId), Link>,
    lists: Vec<List>,
    presets: Vec<BTreeSet<InstanceId>>,
    places: BTreeMap<InstanceId, Place>,
    queue: BinaryHeap<Reverse<Scheduled>>,
    order: u64,
}

impl Simulation {
    pub(crate) fn new(seed: u64, entries: usize, slots: usize, factory: Factory) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let entry = |index: usize| -> InstanceId { format!("e{index}").into() };
        let names: Vec<InstanceId> = (0..entries).map(entry).collect();
        let slots = (0..slots).map(|index| InstanceId::from(format!("s{index}")));
        let places = names.iter().enumerate().map(|(index, name)| {
            let failure_domain = format!("d{}", index % 3).into();
            let region = "r".into();
            (
                name.clone(),
                Place {
                    failure_domain,
                    region,
                },
            )
        });
        let places: BTreeMap<InstanceId, Place> = places.collect();
        let all = names.iter().cloned().chain(slots);
        let truths = all.map(|name| {
            let truth = Truth {
                incarnation: rng.random(),
                state: State::Serving,
                side: 0,
            };
            (name, truth)
        });
        let mut run = Self {
            now: Duration::from_secs(1),
            truths: truths.collect(),
            rng,
            violations: Vec::new(),
            events: 0,
            list_lag: 0,
            is_list_gone: false,
            last_work: BTreeMap::new(),
            factory,
            viewers: BTreeMap::new(),
            links: BTreeMap::new(),
            lists: Vec::new(),
            presets: vec![BTreeSet::new()],
            places,
            queue: BinaryHeap::new(),
            order: 0,
        };
        run.publish_list(false);
        for name in names {
            run.start_viewer(&name);
            run.schedule(Duration::ZERO, &name, Item::Tick);
            run.schedule(Duration::ZERO, &name, Item::ReadList);
        }
        run
    }

    pub(crate) fn instances(&self) -> Vec<InstanceId> {
        self.truths.keys().cloned().collect()
    }

    pub(crate) fn state(&self, name: &str) -> State {
        self.truths[name].state
    }

    /// Starts an entry's view without any earlier state.
    fn start_viewer(&mut self, name: &InstanceId) {
        let picked = self.places.keys().map(|other| {
            let picks = pick(other, &self.places);
            (other.clone(), picks)
        });
        let picked: BTreeMap<_, _> = picked.collect();
        let mut neighbours = picked[name].clone();
        for (other, picks) in &picked {
            if picks.contains(name) {
                neighbours.insert(other.clone());
            }
        }
        self.links.retain(|(from, _), _| from != name);
        let viewer = Viewer {
            subject: (self.factory)(name.clone(), self.rng.random()),
            frozen_until: Duration::ZERO,
            has_paused: false,
            noticed: BTreeSet::new(),
            revision: 0,
        };
        self.viewers.insert(name.clone(), viewer);
        let is_wanted = |other: &InstanceId| other.starts_with('s') || neighbours.contains(other);
        let wanted = self.truths.keys().filter(|other| is_wanted(other)).cloned();
        let wanted = wanted.collect();
        let last = self.presets.len() - 1;
        let fleet = self.fleet_event(last);
        self.handle(name, fleet);
        self.handle(name, Event::Neighbours(neighbours));
        self.handle(name, Event::Wanted(wanted));
    }

    fn fleet_event(&self, index: usize) -> Event {
        Event::Fleet {
            revision: index as Revision + 1,
            instances: self.truths.keys().cloned().collect(),
            drains: self.presets[index].clone(),
        }
    }

    fn schedule(&mut self, delay: Duration, to: &InstanceId, item: Item) {
        self.order += 1;
        self.queue.push(Reverse(Scheduled {
            at: self.now + delay,
            order: self.order,
            to: to.clone(),
            item,
        }));
    }

    fn latency(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(1_000..3_000))
    }

    pub(crate) fn run(&mut self, end: Monotonic) {
        while let Some(Reverse(mut next)) = self.queue.pop() {
            if next.at > end {
                self.queue.push(Reverse(next));
                break;
            }
            self.now = next.at;
            let frozen_until = self.viewers.get(&next.to).map(|viewer| viewer.frozen_until);
            if let Some(until) = frozen_until.filter(|&until| until > self.now) {
                next.at = until;
                self.queue.push(Reverse(next));
                continue;
            }
            self.step(&next.to, next.item);
        }
        self.now = end;
    }

    fn step(&mut self, to: &InstanceId, item: Item) {
        let has_paused = self
            .viewers
            .get_mut(to)
            .map(|viewer| &mut viewer.has_paused);
        if has_paused.is_some_and(std::mem::take) {
            self.handle(to, Event::Paused);
        }
        match item {
            Item::Tick => {
                self.handle(to, Event::Tick);
                self.check_work(to);
                self.schedule(TICK, to, Item::Tick);
            }
            Item::Direct(event) => self.handle(to, event),
            Item::OverLink(id, event) => {
                let from = source(&event);
                let link = self.links.get(&(to.clone(), from));
                if link.is_some_and(|link| link.id == id) {
                    self.handle(to, event);
                }
            }
            Item::Opened(instance) => self.opened(to, &instance),
            Item::Heartbeat(id, instance) => self.heartbeat(to, id, &instance),
            Item::ReadList => self.read_list(to),
            Item::Exit(name, incarnation) => {
                if self.truths[&name].incarnation == incarnation {
                    self.crash(&name);
                }
            }
        }
    }

    fn is_partitioned(&self, a: &str, b: &str) -> bool {
        self.truths[a].side != self.truths[b].side
    }

    fn opened(&mut self, to: &InstanceId, instance: &InstanceId) {
        let truth = &self.truths[instance];
        let incarnation = truth.incarnation;
        let state = truth.state;
        if matches!(state, State::Gone(_)) || self.is_partitioned(to, instance) {
            self.handle(to, Event::SessionDown(instance.clone()));
            return;
        }
        self.order += 1;
        let id = self.order;
        let link = Link {
            id,
            incarnation,
            is_silent: false,
        };
        self.links.insert((to.clone(), instance.clone()), link);
        self.handle(to, Event::SessionUp(instance.clone(), incarnation));
        if let State::Leaving(_) = state {
            self.handle(to, Event::Notice(instance.clone(), incarnation));
        }
        self.schedule(HEARTBEAT_PERIOD, to, Item::Heartbeat(id, instance.clone()));
    }

    fn heartbeat(&mut self, to: &InstanceId, id: u64, instance: &InstanceId) {
        let key = (to.clone(), instance.clone());
        let Some(link) = self.links.get(&key).filter(|link| link.id == id) else {
            return;
        };
        let truth = &self.truths[instance];
        let is_same = truth.incarnation == link.incarnation;
        let is_dead = matches!(truth.state, State::Gone(_)) || !is_same;
        if !(link.is_silent || is_dead || self.is_partitioned(to, instance)) {
            let heartbeat = Heartbeat {
                next: HEARTBEAT_PERIOD,
                is_leaving: matches!(truth.state, State::Leaving(_)),
            };
            self.handle(to, Event::Heartbeat(instance.clone(), heartbeat));
        }
        self.schedule(HEARTBEAT_PERIOD, to, Item::Heartbeat(id, instance.clone()));
    }

    fn read_list(&mut self, to: &InstanceId) {
        let delay = Duration::from_millis(self.rng.random_range(500..3_000));
        self.schedule(delay, to, Item::ReadList);
        if self.is_list_gone {
            return;
        }
        let lag = self.rng.random_range(0..=self.list_lag);
        let list = self.lists[(self.lists.len() - 1).saturating_sub(lag)].clone();
        self.handle(to, Event::List(list));
    }

    fn handle(&mut self, to: &InstanceId, event: Event) {
        self.events += 1;
        let viewer = self.viewers.get_mut(to).expect("an entry");
        match &event {
            Event::Notice(instance, incarnation) => {
                viewer.noticed.insert((instance.clone(), *incarnation));
            }
            Event::Fleet { revision, .. } => viewer.revision = viewer.revision.max(*revision),
            _ => {}
        }
        let actions = viewer.subject.handle(event, self.now);
        for action in actions {
            self.act(to, action);
        }
    }

    fn act(&mut self, from: &InstanceId, action: Action) {
        match action {
            Action::Open(instance) => {
                let delay = self.latency();
                self.schedule(delay, from, Item::Opened(instance));
            }
            Action::Close(instance) => {
                self.links.remove(&(from.clone(), instance));
            }
            Action::Send(to, rumours) => {
                let link = self.links.get(&(from.clone(), to.clone()));
                let is_lost = link.is_none_or(|link| link.is_silent);
                if !is_lost && !self.is_partitioned(from, &to) {
                    let delay = self.latency();
                    let event = Event::Rumours(from.clone(), rumours);
                    self.schedule(delay, &to, Item::Direct(event));
                }
            }
            Action::Stop(..) | Action::Log(_) => {}
        }
    }

    /// Checks each instance to which an entry may send work now.
    fn check_work(&mut self, from: &InstanceId) {
        let viewer = &self.viewers[from];
        let drains = match viewer.revision {
            0 => BTreeSet::new(),
            revision => {
                let index = usize::try_from(revision - 1).expect("a small number");
                self.presets[index].clone()
            }
        };
        let mut found = Vec::new();
        for (name, truth) in &self.truths {
            if !viewer.subject.may_get_work(name, self.now) {
                continue;
            }
            let (State::Leaving(since) | State::Gone(since)) = truth.state else {
                if drains.contains(name) {
                    found.push(format!("work to {name}, which the preset drains"));
                }
                continue;
            };
            if let State::Leaving(since) = truth.state {
                let key = (name.clone(), truth.incarnation);
                self.last_work.insert(key, self.now.saturating_sub(since));
            }
            if self.now > since + BOUND {
                found.push(format!("work to {name}, {:?} since {since:?}", truth.state));
            }
            let known = viewer.subject.incarnation(name);
            let key = known.map(|known| (name.clone(), known));
            if key.is_some_and(|key| viewer.noticed.contains(&key)) {
                found.push(format!("work to {name} after its notice"));
            }
        }
        let at = self.now;
        let found = found.iter().map(|what| format!("{at:?}: {from}: {what}"));
        self.violations.extend(found);
    }

    /// Publishes a correct list, or one with random errors both ways.
    pub(crate) fn publish_list(&mut self, is_wrong: bool) {
        let version = self.lists.len() as u64 + 1;
        let mut list = List {
            version,
            ..List::default()
        };
        for (name, truth) in &self.truths {
            let error = is_wrong && self.rng.random_bool(0.2);
            let is_leaving = match truth.state {
                State::Leaving(_) => !error,
                State::Serving => error && self.rng.random(),
                State::Gone(_) => false,
            };
            let is_live = match truth.state {
                State::Leaving(_) | State::Gone(_) => error,
                State::Serving => !error,
            };
            if is_leaving {
                list.leaving.insert(name.clone());
            } else if is_live {
                list.live.insert(name.clone());
            }
        }
        self.lists.push(list);
    }

    /// Makes an instance leave: it sends a notice over every session and exits later.
    pub(crate) fn leave(&mut self, name: &InstanceId) {
        let now = self.now;
        let truth = self.truths.get_mut(name).expect("an instance");
        if truth.state != State::Serving {
            return;
        }
        truth.state = State::Leaving(now);
        let incarnation = truth.incarnation;
        let key = (name.clone(), incarnation);
        self.last_work.insert(key, Duration::ZERO);
        for viewer in self.viewers.keys().cloned().collect::<Vec<_>>() {
            let link = self.links.get(&(viewer.clone(), name.clone()));
            let id = link.filter(|link| !link.is_silent).map(|link| link.id);
            if let Some(id) = id.filter(|_| !self.is_partitioned(&viewer, name)) {
                let delay = self.latency();
                let event = Event::Notice(name.clone(), incarnation);
                self.schedule(delay, &viewer, Item::OverLink(id, event));
            }
        }
        let delay = Duration::from_millis(self.rng.random_range(1_000..20_000));
        let first = self.viewers.keys().next().expect("an entry").clone();
        self.schedule(delay, &first, Item::Exit(name.clone(), incarnation));
    }

    /// Ends an instance without a notice; some of its sessions close, the others go silent.
    pub(crate) fn crash(&mut self, name: &InstanceId) {
        let now = self.now;
        let truth = self.truths.get_mut(name).expect("an instance");
        if !matches!(truth.state, State::Gone(_)) {
            truth.state = State::Gone(now);
        }
        for viewer in self.viewers.keys().cloned().collect::<Vec<_>>() {
            let link = self.links.get(&(viewer.clone(), name.clone()));
            if let Some(id) = link.map(|link| link.id).filter(|_| self.rng.random()) {
                let delay = self.latency();
                let event = Event::SessionDown(name.clone());
                self.schedule(delay, &viewer, Item::OverLink(id, event));
            }
        }
    }

    /// Replaces an instance by a new incarnation.
    pub(crate) fn restart(&mut self, name: &InstanceId) {
        self.crash(name);
        let incarnation = self.rng.random();
        let truth = self.truths.get_mut(name).expect("an instance");
        truth.incarnation = incarnation;
        truth.state = State::Serving;
        if self.viewers.contains_key(name) {
            self.start_viewer(name);
        }
    }

    /// Publishes the next preset, and sends it and a random one to all entries in random order.
    pub(crate) fn publish_preset(&mut self, drains: BTreeSet<InstanceId>) {
        self.presets.push(drains);
        let last = self.presets.len() - 1;
        for viewer in self.viewers.keys().cloned().collect::<Vec<_>>() {
            for index in [last, self.rng.random_range(0..=last)] {
                let delay = Duration::from_millis(self.rng.random_range(1..1_000));
                let event = self.fleet_event(index);
                self.schedule(delay, &viewer, Item::Direct(event));
            }
        }
    }

    pub(crate) fn freeze(&mut self, name: &InstanceId, length: Duration) {
        let until = self.now + length;
        if let Some(viewer) = self.viewers.get_mut(name) {
            viewer.frozen_until = viewer.frozen_until.max(until);
            viewer.has_paused |= length > PAUSE;
        }
    }

    /// Makes some open sessions permanently silent.
    pub(crate) fn silence_links(&mut self) {
        for link in self.links.values_mut() {
            link.is_silent |= self.rng.random_bool(0.3);
        }
    }

    pub(crate) fn partition(&mut self, sides: usize) {
        for truth in self.truths.values_mut() {
            truth.side = self.rng.random_range(0..sides);
        }
    }

    /// Adds a violation for each slot that an entry wrongly gives or refuses work.
    pub(crate) fn check_service(&mut self) {
        let last = self.presets.last().expect("a preset");
        for (from, viewer) in &self.viewers {
            for (name, truth) in self.truths.iter().filter(|(name, _)| name.starts_with('s')) {
                let should = truth.state == State::Serving && !last.contains(name);
                let may = viewer.subject.may_get_work(name, self.now);
                if should != may {
                    let state = truth.state;
                    let violation = format!("{from}: {name} is {state:?}, may get work: {may}");
                    self.violations.push(violation);
                }
            }
        }
    }
}

/// Returns the instance that sent an event over its link.
fn source(event: &Event) -> InstanceId {
    match event {
        Event::Notice(instance, _) | Event::SessionDown(instance) => instance.clone(),
        other => unreachable!("not over a link: {other:?}"),
    }
}
