//! A store that comes back from a copy, before whole fleets.
//!
//! All gateways run their own decisions; messages between them arrive with the next step and are sometimes lost. The store is
//! read as the reader of a platform reads it. Gateways start, freeze and are cut off from the store while it is restored and
//! configurations are written.

use std::net::SocketAddr;
use std::time::Duration;

use auburnline_gateway::Gateway;
use auburnline_gateway::message::Beat;
use auburnline_gateway::message::Entry;
use auburnline_gateway::neighbour::Roster;
use auburnline_gateway::route::Table;
use auburnline_gateway::route::Version;
use auburnline_gateway::spread::Answer;
use auburnline_gateway::spread::Need;
use auburnline_gateway::spread::Published;
use auburnline_gateway::spread::Question;
use auburnline_gateway::spread::Revision;
use auburnline_gateway::spread::Told;
use googletest::prelude::*;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::gateway::BOUNDS;
use crate::support::content;
use crate::support::entry;
use crate::support::millis;

const STEP: Duration = Duration::from_millis(100);
/// Steps between two beats, and between two questions.
const BEAT: u32 = 3;
const QUESTION: u32 = 6;
/// Time within which a configuration is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(3);
/// Time after the end of its trouble from which a gateway is held to that.
const STABILITY: Duration = Duration::from_secs(3);
/// Time after which a key that was taken away works nowhere, whatever happened to a gateway.
const REVOKED: Duration = Duration::from_secs(5);
/// Messages that wait for a gateway that stands still; more are lost.
const MOST_WAITING: usize = 60;
/// Messages that are lost, of 100.
const LOST: u32 = 1;
const DOMAINS: usize = 4;
/// Gateways of each fleet.
const FLEETS: [usize; 3] = [6, 98, 340];

/// The store: each entry of its history is the version of a configuration, or something that no gateway uses.
#[derive(Clone, Default)]
struct Store {
    generation: u64,
    history: Vec<Option<Version>>,
    is_down: bool,
}

impl Store {
    fn revision(&self) -> Revision {
        self.at(self.history.len())
    }

    fn at(&self, number: usize) -> Revision {
        Revision {
            generation: self.generation,
            number: u64::try_from(number).expect("a short history"),
        }
    }

    /// Returns the configuration and the revision at which it was written.
    fn configuration(&self) -> (Revision, Version) {
        let written = self.history.iter().rposition(Option::is_some);
        let written = written.expect("a configuration");
        let version = self.history[written].expect("a version");
        (self.at(written + 1), version)
    }

    fn write(&mut self, version: Version) {
        self.history.push(Some(version));
    }

    fn write_other(&mut self, times: usize) {
        self.history.extend(vec![None; times]);
    }

    /// Comes back as it was after so many writes.
    fn restore(&mut self, number: usize) {
        self.generation += 1;
        self.history.truncate(number);
    }
}

#[derive(Clone)]
enum Message {
    Beat(Beat),
    Introduction(Beat),
    Question(Question),
    Answer(Answer),
    Behind(Option<Version>),
    Configuration(Told),
}

struct Node {
    gateway: Gateway,
    started: Duration,
    frozen_until: Duration,
    /// Until when it does not reach the store.
    cut_until: Duration,
    /// Until when it reaches nobody.
    dark_until: Duration,
    /// End of its last trouble.
    well_since: Duration,
    inbox: Vec<(usize, Message)>,
    next_read: Duration,
}

struct World {
    now: Duration,
    store: Store,
    nodes: Vec<Node>,
    rng: ChaCha8Rng,
    lives: u64,
    /// When each version was written.
    written: Vec<(Version, Duration)>,
    broken: Vec<String>,
}

fn peers(number: usize) -> SocketAddr {
    let port = u16::try_from(number).expect("a small fleet") + 1;
    ([10, 0, 2, 1], port).into()
}

fn number(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}

impl World {
    fn start(count: usize, seed: u64) -> World {
        let mut world = World {
            now: Duration::ZERO,
            store: Store::default(),
            nodes: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            lives: 0,
            written: Vec::new(),
            broken: Vec::new(),
        };
        world.write(3);
        for number in 0..count {
            let node = world.node(number);
            world.nodes.push(node);
        }
        world
    }

    fn node(&mut self, number: usize) -> Node {
        self.lives += 1;
        let me = Entry {
            failure_domain: format!("domain-{}", number % DOMAINS).into(),
            ..entry(peers(number).port(), self.lives, 0)
        };
        let roster = Roster::new(me, (0..3).map(peers).collect());
        let seed = self.rng.random();
        Node {
            gateway: Gateway::new("north".into(), BOUNDS, roster, seed),
            started: self.now,
            frozen_until: Duration::ZERO,
            cut_until: Duration::ZERO,
            dark_until: Duration::ZERO,
            well_since: self.now,
            inbox: Vec::new(),
            next_read: self.now,
        }
    }

    fn write(&mut self, version: Version) {
        self.store.write(version);
        self.written.push((version, self.now));
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            for number in 0..self.nodes.len() {
                if self.now >= self.nodes[number].frozen_until {
                    self.step(number);
                }
            }
            self.check();
        }
    }

    fn step(&mut self, number: usize) {
        let before = self.nodes[number].gateway.version();
        let inbox = std::mem::take(&mut self.nodes[number].inbox);
        for (from, message) in inbox {
            self.hear(number, from, message);
        }
        self.read(number);
        self.talk(number);
        let after = self.nodes[number].gateway.version();
        if after < before {
            self.broken
                .push(format!("{number} went back from {before:?} to {after:?}"));
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        let to = number(to);
        let is_dark = self.now < self.nodes[from].dark_until.max(self.nodes[to].dark_until);
        if to == from || self.rng.random_ratio(LOST, 100) || is_dark {
            return;
        }
        let node = &mut self.nodes[to];
        if self.now >= node.frozen_until || node.inbox.len() < MOST_WAITING {
            node.inbox.push((from, message));
        }
    }

    fn hear(&mut self, number: usize, from: usize, message: Message) {
        let node = &mut self.nodes[number];
        let now = self.now.saturating_sub(node.started);
        let gateway = &mut node.gateway;
        let reply = match message {
            Message::Beat(beat) => {
                let is_back = gateway.roster.is_back(&beat, now);
                gateway.roster.hear(&beat, now);
                is_back.then(|| {
                    let mut rng = ChaCha8Rng::from_rng(&mut self.rng);
                    Message::Introduction(gateway.introduction(now, &mut rng))
                })
            }
            Message::Introduction(beat) => {
                gateway.roster.hear(&beat, now);
                None
            }
            Message::Question(question) => {
                gateway.spread.hint(question.revision.generation);
                let age = gateway.knowledge.age(now).unwrap_or_default();
                let answer = gateway.spread.answer(question, age).map(Message::Answer);
                if let Some(told) = gateway.spread.told(question).cloned() {
                    self.send(number, peers(from), Message::Configuration(told));
                }
                answer
            }
            Message::Answer(answer) => {
                gateway.spread.hint(answer.until.generation);
                let (_, known_at) = gateway.spread.hear(answer);
                if let Some(known_at) = known_at {
                    gateway.confirm(known_at, now);
                }
                None
            }
            Message::Behind(version) => {
                let told = gateway.spread.newer(version).cloned();
                told.map(Message::Configuration)
            }
            Message::Configuration(told) => {
                take(gateway, told.content.version, told.revision);
                None
            }
        };
        if let Some(reply) = reply {
            self.send(number, peers(from), reply);
        }
    }

    /// Reads of the store what is needed, if it can be reached.
    fn read(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        let now = self.now.saturating_sub(node.started);
        let gateway = &mut node.gateway;
        gateway.settle(now);
        let is_able = gateway.is_able(now);
        gateway.roster.set_ready(is_able);
        let need = gateway.need(now);
        if need == Need::Nothing || self.now < node.next_read {
            return;
        }
        if self.store.is_down || self.now < node.cut_until.max(node.dark_until) {
            gateway.roster.set_cut(true);
            node.next_read = self.now + gateway.spread.miss(false);
            return;
        }
        gateway.roster.set_cut(false);
        gateway.spread.reach();
        node.next_read = self.now + STEP * 2;
        let (written, version) = self.store.configuration();
        match need {
            Need::All => {
                take(gateway, version, written);
                gateway.read_all(Vec::new(), self.store.revision(), written, now);
                gateway.confirm(now, now);
            }
            Need::Configuration => {
                gateway.spread.enter(self.store.generation);
                take(gateway, version, written);
            }
            Need::Changes(after) => {
                if gateway.spread.enter(self.store.generation) {
                    return;
                }
                if after > self.store.revision() {
                    gateway.spread.forget();
                    return;
                }
                let is_new = written > after;
                if is_new {
                    take(gateway, version, written);
                }
                let changes = is_new.then_some((written, Published::Configuration));
                let changes = changes.into_iter().collect();
                gateway.spread.take(changes, self.store.revision());
                gateway.confirm(now, now);
            }
            Need::Nothing => {}
        }
    }

    fn talk(&mut self, number: usize) {
        let steps = u32::try_from(self.now.as_millis() / STEP.as_millis()).expect("a short run");
        let steps = steps + u32::try_from(number).expect("a small fleet");
        let mut rng = ChaCha8Rng::from_rng(&mut self.rng);
        let node = &mut self.nodes[number];
        let now = self.now.saturating_sub(node.started);
        let mut messages = Vec::new();
        if steps.is_multiple_of(BEAT) {
            let beat = node.gateway.roster.beat(Vec::new(), now, &mut rng);
            let targets = node.gateway.roster.targets(now, &mut rng);
            messages.extend(
                targets
                    .into_iter()
                    .map(|to| (to, Message::Beat(beat.clone()))),
            );
            if let Some(ahead) = node.gateway.catch_up(now) {
                messages.push((ahead, Message::Behind(node.gateway.version())));
            }
        }
        let is_awaiting = node.gateway.spread.awaits_configuration();
        let (readers, is_reader) = node.gateway.roster.readers(now);
        if !is_reader && (steps.is_multiple_of(QUESTION) || is_awaiting) {
            let question = node.gateway.spread.question(now);
            let questions = readers.into_iter().filter_map(|to| Some((to, question?)));
            messages.extend(questions.map(|(to, question)| (to, Message::Question(question))));
        }
        for (to, message) in messages {
            self.send(number, to, message);
        }
    }

    /// Takes down which gateways serve by an older version than they may.
    fn check(&mut self) {
        let due = self.written.iter();
        let due = due.filter(|(_, at)| *at + IN_FORCE <= self.now);
        let least = due.map(|(version, _)| *version).max();
        let old = self.written.iter();
        let old = old.filter(|(_, at)| *at + REVOKED <= self.now);
        let revoked = old.map(|(version, _)| *version).max();
        for (number, node) in self.nodes.iter().enumerate() {
            let trouble = node.frozen_until.max(node.cut_until);
            let is_well = self.now >= trouble.max(node.dark_until).max(node.well_since) + STABILITY;
            let now = self.now.saturating_sub(node.started);
            let version = node.gateway.version();
            let is_able = node.gateway.is_able(now);
            if is_well && !self.store.is_down && is_able && version < least {
                self.broken
                    .push(format!("{number} serves by {version:?} and not {least:?}"));
            }
            let runs = self.now >= node.frozen_until;
            if runs && is_able && version < revoked {
                self.broken.push(format!(
                    "{number} trusts keys by {version:?} and not {revoked:?}"
                ));
            }
        }
    }

    /// Returns how many gateways can serve.
    fn able(&self) -> usize {
        let nodes = self.nodes.iter();
        let able = nodes.filter(|node| {
            let now = self.now.saturating_sub(node.started);
            node.gateway.is_able(now)
        });
        able.count()
    }

    /// Restarts, freezes or cuts off some gateways.
    fn harm(&mut self) {
        for _ in 0..self.nodes.len().div_ceil(10) {
            let number = self.rng.random_range(0..self.nodes.len());
            let time = millis(self.rng.random_range(500..4_000));
            match self.rng.random_range(0..3) {
                0 => {
                    let inbox = Vec::new();
                    self.nodes[number] = Node {
                        inbox,
                        ..self.node(number)
                    };
                }
                1 => self.nodes[number].frozen_until = self.now + time,
                _ => self.nodes[number].cut_until = self.now + time,
            }
        }
    }
}

fn take(gateway: &mut Gateway, version: Version, written: Revision) {
    let content = content(version, Vec::new());
    gateway.spread.keep(Told {
        revision: written,
        content: content.clone(),
    });
    gateway.set_table(Table::new(content));
    gateway.spread.read_configuration(written);
}

/// Guards against gateways that stay behind, for seconds or until the next change, once the store gives out revisions again.
#[gtest]
fn configurations_written_after_a_restore_are_in_force_in_fleets_of_all_sizes() {
    for count in FLEETS {
        let mut world = World::start(count, 1);
        world.run(Duration::from_secs(4));
        world.write(5);
        world.store.write_other(30);
        world.run(Duration::from_secs(4));
        world.store.is_down = true;
        world.run(Duration::from_secs(1));
        world.store.restore(1);
        world.store.is_down = false;
        world.run(Duration::from_secs(2));
        world.write(5);
        world.write(8);
        world.run(Duration::from_secs(4));
        expect_that!(world.broken, is_empty(), "{count} gateways");
        expect_that!(world.able(), eq(count), "{count} gateways");
    }
}

/// Guards against gateways that don't notice a restore since the store has caught up with them by their next question.
#[gtest]
fn a_restore_is_noticed_though_the_revisions_have_passed_the_known_ones() {
    for count in FLEETS {
        let mut world = World::start(count, 1);
        world.store.write_other(9);
        world.run(Duration::from_secs(4));
        world.store.restore(1);
        world.write(6);
        world.store.write_other(40);
        world.run(Duration::from_secs(4));
        expect_that!(world.broken, is_empty(), "{count} gateways");
    }
}

/// Guards against configurations that go back, or never arrive, while gateways start, freeze and are cut off around restores.
#[gtest]
fn no_configuration_goes_back_or_is_kept_out_while_gateways_start_freeze_and_are_cut() {
    for count in FLEETS {
        let seeds = if count < 300 { 3 } else { 1 };
        for seed in 1..=seeds {
            let mut world = World::start(count, seed);
            world.run(Duration::from_secs(4));
            let mut version = 3;
            for _ in 0..4 {
                let saved = world.store.history.len();
                for _ in 0..3 {
                    version += 2;
                    world.write(version);
                    world.harm();
                    world.run(millis(700));
                }
                world.store.restore(saved);
                world.run(millis(500));
                world.harm();
                world.run(millis(500));
                // What the operator wrote is written again, and then more.
                world.store.write(version);
                version += 2;
                world.write(version);
                world.run(Duration::from_secs(3));
            }
            world.run(Duration::from_secs(8));
            expect_that!(world.broken, is_empty(), "{count} gateways, seed {seed}");
            expect_that!(world.able(), eq(count), "{count} gateways, seed {seed}");
        }
    }
}

/// Guards against keys that were taken away and work again at gateways that start, wake or are no longer cut off, since the store that
/// they read was restored from a copy which still has them.
#[gtest]
fn keys_that_a_restored_store_has_again_work_at_no_gateway_that_comes_back() {
    for count in FLEETS {
        let seeds = if count < 300 { 6 } else { 1 };
        for seed in 1..=seeds {
            let mut world = World::start(count, seed);
            world.run(Duration::from_secs(4));
            let harmed = count.div_ceil(5);
            for number in 0..harmed {
                let until = world.now + millis(5_300 + world.rng.random_range(0..2_000));
                match number % 2 {
                    0 => world.nodes[number].frozen_until = until,
                    _ => world.nodes[number].dark_until = until,
                }
            }
            world.run(millis(100));
            world.write(5);
            world.run(millis(5_100));
            world.store.restore(1);
            for _ in 0..10 {
                let number = world.rng.random_range(harmed..count);
                world.nodes[number] = world.node(number);
                world.run(millis(250));
            }
            world.store.write(5);
            world.run(Duration::from_secs(6));
            expect_that!(world.broken, is_empty(), "{count} gateways, seed {seed}");
            expect_that!(world.able(), eq(count), "{count} gateways, seed {seed}");
        }
    }
}
