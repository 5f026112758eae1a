//! Whole fleets that start at once, as after a loss of power, and get the published list.
//!
//! Messages take their time on the link of the gateway that sends them, and reads of the store on
//! the store's link. A message in a hundred is lost.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use auburnline_gateway::Gateway;
use auburnline_gateway::message::Datagram;
use auburnline_gateway::neighbour::Roster;
use auburnline_gateway::route::Kind;
use auburnline_gateway::route::Table;
use auburnline_gateway::spread::Need;
use auburnline_gateway::spread::Update;
use auburnline_gateway::transfer::Query;
use auburnline_gateway::transfer::Reply;
use auburnline_gateway::transfer::Step;
use auburnline_gateway::upstream::State;
use auburnline_gateway::upstream::Upstream;
use googletest::prelude::*;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::gateway::BOUNDS;
use crate::support::configuration;
use crate::support::entry;
use crate::support::millis;
use crate::support::number;
use crate::support::peers;
use crate::support::revision;
use crate::support::route;
use crate::support::upstream;
use crate::support::upstreams;

/// Link of a gateway and of the store, in bytes a microsecond: 40 Mbit/s and 1 Gbit/s.
const GATEWAY_LINK: f64 = 5.0;
const STORE_LINK: f64 = 125.0;
/// Size of an upstream's entry in the store's list, in bytes.
const ENTRY_BYTES: f64 = 880.0;
/// Times of a message, and of an answer of the store.
const MESSAGE_TIME: Duration = Duration::from_millis(1);
const STORE_TIME: Duration = Duration::from_millis(4);
/// Span within which all gateways start.
const START_SPAN_MS: u64 = 300;
/// Time by which the seeds start later than the others.
const SEED_DELAY_MS: u64 = 200;
const LOSS_PERCENT: u32 = 1;
const SEEDS: usize = 3;
const POLL: Duration = Duration::from_millis(25);
const LIST_REVISION: u64 = 9;
/// Time from the first start within which the last gateway has to have the list: requests have to be
/// served again two seconds after all were killed.
const BOUND: Duration = Duration::from_secs(2);
/// The same for fleets of today's size: leaders need the list before their groups have formed, 2.1 s
/// after a loss of power of 0.9 s.
const BOUND_OF_TODAY: Duration = Duration::from_millis(1_200);

enum Event {
    Start,
    Poll,
    Deliver(usize, Box<Datagram>),
    Read,
}

struct Node {
    gateway: Gateway,
    started: Duration,
    is_reading: bool,
    link_free: Duration,
    has_list_at: Option<Duration>,
}

struct World {
    nodes: Vec<Node>,
    list: Vec<Upstream>,
    update: Update,
    dead: Vec<usize>,
    store_free: Duration,
    reads: usize,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, (usize, Event)>,
    rng: ChaCha8Rng,
}

fn node(number: usize) -> Gateway {
    let me = entry(peers(number).port(), 1, 0);
    let roster = Roster::new(me, (0..SEEDS).map(peers).collect());
    Gateway::new("north".into(), BOUNDS, roster, 7)
}

impl World {
    fn start(gateways: usize, upstreams: usize, seed: u64) -> World {
        let list = (0..upstreams).map(|number| Upstream {
            address: ([10, 1, 0, 0], u16::try_from(number).expect("a port")).into(),
            ..upstream(&format!("i-{number:010x}"), "desk", State::Ready)
        });
        let routes = (0..150).map(|number| route(&format!("/r{number}/"), "desk", Kind::Safe));
        let mut world = World {
            nodes: Vec::new(),
            list: list.collect(),
            update: Update {
                revision: revision(1),
                configuration: configuration(3, routes.collect()),
            },
            dead: Vec::new(),
            store_free: Duration::ZERO,
            reads: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for number in 0..gateways {
            let delay = if number < SEEDS { SEED_DELAY_MS } else { 0 };
            let started = millis(delay + world.rng.random_range(0..START_SPAN_MS));
            world.nodes.push(Node {
                gateway: node(number),
                started,
                is_reading: false,
                link_free: Duration::ZERO,
                has_list_at: None,
            });
            world.schedule(started, number, Event::Start);
        }
        world
    }

    fn schedule(&mut self, at: Duration, node: usize, event: Event) {
        let next = self.events.last_key_value().map_or(0, |(last, _)| last + 1);
        self.events.insert(next, (node, event));
        self.queue.push(Reverse((at, next)));
    }

    fn run(&mut self) {
        while let Some(Reverse((now, next))) = self.queue.pop() {
            let (node, event) = self.events.remove(&next).expect("an event");
            let is_up = now >= self.nodes[node].started && !self.dead.contains(&node);
            if is_up {
                self.handle(node, event, now);
            }
        }
    }

    fn handle(&mut self, number: usize, event: Event, now: Duration) {
        let node = &mut self.nodes[number];
        let local = now.saturating_sub(node.started);
        match event {
            Event::Start | Event::Poll => {
                if let Some((query, to)) = node.gateway.next_transfer_query(local) {
                    self.send(number, to, Datagram::TransferQuery(query), now);
                }
                let node = &mut self.nodes[number];
                if node.gateway.spread.revision().is_none() {
                    self.schedule(now + POLL, number, Event::Poll);
                }
                let node = &mut self.nodes[number];
                if node.gateway.need(local) == Need::All && !node.is_reading {
                    node.is_reading = true;
                    self.read(number, now);
                }
            }
            Event::Read => {
                if node.gateway.spread.revision().is_some() {
                    return;
                }
                apply(&mut node.gateway, &self.update);
                let listed = upstreams(self.list.clone());
                let written = self.update.revision;
                node.gateway
                    .apply_full_read(listed, revision(LIST_REVISION), written, local);
                node.gateway.confirm(local, local);
                node.has_list_at.get_or_insert(now);
            }
            Event::Deliver(from, message) => self.receive(number, from, *message, now),
        }
    }

    fn receive(&mut self, number: usize, from: usize, message: Datagram, now: Duration) {
        let node = &mut self.nodes[number];
        let local = now.saturating_sub(node.started);
        match message {
            Datagram::TransferQuery(query) => {
                let replies = node.gateway.answer_transfer(&query, peers(from), local);
                for reply in replies {
                    self.send(number, peers(from), reply, now);
                }
            }
            Datagram::TransferReply(reply) => {
                match node.gateway.apply_transfer(reply, peers(from), local) {
                    Step::Ignore => {}
                    Step::Request(query, to) => {
                        self.send(number, to, Datagram::TransferQuery(query), now);
                    }
                    Step::Done(done) => {
                        node.gateway.confirm(done.known_at, local);
                        node.has_list_at.get_or_insert(now);
                    }
                }
            }
            Datagram::Configuration(update) => apply(&mut node.gateway, &update),
            _ => {}
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Datagram, now: Duration) {
        let bytes = postcard::to_stdvec(&message).expect("bytes").len();
        assert_that!(bytes, le(60 << 10));
        let free = self.nodes[from].link_free.max(now);
        let sent = free + on_link(bytes, GATEWAY_LINK);
        self.nodes[from].link_free = sent;
        if !self.rng.random_ratio(LOSS_PERCENT, 100) {
            let event = Event::Deliver(from, Box::new(message));
            self.schedule(sent + MESSAGE_TIME, number(to), event);
        }
    }

    fn read(&mut self, number: usize, now: Duration) {
        self.reads += 1;
        let entries = f64::from(u32::try_from(self.list.len()).expect("a list"));
        let time = Duration::from_secs_f64(entries * ENTRY_BYTES / STORE_LINK / 1e6);
        self.store_free = self.store_free.max(now) + time;
        self.schedule(self.store_free + STORE_TIME, number, Event::Read);
    }

    fn last(&self) -> Option<Duration> {
        let alive = self.nodes.iter().enumerate();
        let alive = alive.filter(|(number, _)| !self.dead.contains(number));
        let times: Option<Vec<_>> = alive.map(|(_, node)| node.has_list_at).collect();
        times?.into_iter().max()
    }
}

fn on_link(bytes: usize, bytes_per_microsecond: f64) -> Duration {
    let bytes = f64::from(u32::try_from(bytes).expect("a datagram"));
    Duration::from_secs_f64(bytes / bytes_per_microsecond / 1e6)
}

fn apply(gateway: &mut Gateway, update: &Update) {
    gateway.spread.keep_configuration(update.clone());
    gateway.set_table(Table::new(update.configuration.clone()));
    gateway.spread.record_configuration(update.revision);
}

/// Sizes of fleets: gateways and upstreams.
const FLEETS: [(usize, usize); 4] = [(6, 15), (253, 396), (340, 720), (1_000, 3_000)];

/// Guards against gateways that all read the whole list from the store when they start at once, for
/// which its link takes as long as there are gateways times upstreams.
#[gtest]
fn fleets_of_all_sizes_have_the_list_soon_after_all_lost_power() {
    for (gateways, listed) in FLEETS {
        let seeds = if gateways < 1_000 { 3 } else { 1 };
        for seed in 1..=seeds {
            let mut world = World::start(gateways, listed, seed);
            world.run();
            let bound = if gateways < 1_000 {
                BOUND_OF_TODAY
            } else {
                BOUND
            };
            let what = format!("{gateways} gateways, {listed} upstreams, seed {seed}");
            expect_that!(world.last(), some(le(bound)), "{what}");
            expect_that!(world.reads, le(SEEDS + gateways / 2), "{what}");
            for node in &world.nodes {
                assert_that!(node.gateway.pool.ready("desk"), eq(listed), "{what}");
                // A gateway that lost the configuration knows that it lacks one.
                let is_awaiting = node.gateway.spread.awaits_configuration();
                assert_that!(
                    node.gateway.version() == Some(3),
                    eq(!is_awaiting),
                    "{what}"
                );
            }
        }
    }
}

/// Guards against a seed whose link is flooded by gateways that lost their source amid a transfer
/// and go on at the seed.
#[gtest]
fn a_gateway_passes_further_pages_to_its_few_receivers_only() {
    let mut world = World::start(4, 400, 1);
    world.run();
    let seed = &mut world.nodes[0].gateway;
    let first = |number: usize| world.list[number].id.clone();
    let pages = (10..60).flat_map(|number| {
        let after = Some(first(number));
        seed.answer_transfer(&Query { after }, peers(number), millis(900))
    });
    let is_page = |reply: &Datagram| matches!(reply, Datagram::TransferReply(Reply::Page(_)));
    expect_that!(pages.filter(is_page).count(), le(6));
}

/// Guards against gateways that wait for seeds that are gone.
#[gtest]
fn a_gateway_whose_seeds_are_gone_reads_the_store() {
    let mut world = World::start(6, 15, 1);
    world.dead = (0..SEEDS).collect();
    world.run();
    expect_that!(world.last(), some(le(BOUND)));
    expect_that!(world.reads, eq(3));
}

/// Guards against one seed that is gone and delays the others' starts.
#[gtest]
fn a_fleet_with_a_seed_that_is_gone_gets_the_list_from_the_others() {
    let mut world = World::start(253, 396, 1);
    world.dead = vec![1];
    world.run();
    expect_that!(world.last(), some(le(BOUND_OF_TODAY)));
    expect_that!(world.reads, le(SEEDS + 253 / 2));
}

/// Guards against a list that a gateway passes on although it doubts a part of it.
#[gtest]
fn a_gateway_that_lost_the_store_passes_no_list_on() {
    let mut world = World::start(4, 15, 1);
    world.run();
    let seed = &mut world.nodes[0].gateway;
    let asked = Duration::from_secs(20);
    let replies = seed.answer_transfer(&Query { after: None }, peers(3), asked);
    let waits = vec![Datagram::TransferReply(Reply::Wait)];
    expect_that!(replies, eq(&waits));
}

/// Guards against a gateway that keeps others waiting because it began a transfer and then read the
/// store.
#[gtest]
fn a_gateway_that_read_the_store_amid_a_transfer_passes_the_whole_list_on() {
    let mut world = World::start(5, 400, 1);
    world.run();
    let Some(Datagram::TransferReply(first)) = world.nodes[0]
        .gateway
        .answer_transfer(&Query { after: None }, peers(3), millis(900))
        .pop()
    else {
        panic!("a page");
    };
    let mut gateway = node(3);
    let (_, seed) = gateway.next_transfer_query(millis(0)).expect("a query");
    let step = gateway.apply_transfer(first, seed, millis(10));
    assert_that!(
        step,
        matches_pattern!(Step::Request(anything(), anything()))
    );
    apply(&mut gateway, &world.update);
    let listed = upstreams(world.list.clone());
    let written = world.update.revision;
    gateway.apply_full_read(listed, revision(LIST_REVISION), written, millis(20));
    gateway.confirm(millis(20), millis(20));
    let last = world.list.last().map(|last| last.id.clone());
    let replies = gateway.answer_transfer(&Query { after: last }, peers(4), millis(30));
    let Some(Datagram::TransferReply(Reply::Page(page))) = replies.first() else {
        panic!("a page, not {replies:?}");
    };
    expect_that!(page.is_last, eq(true));
}
