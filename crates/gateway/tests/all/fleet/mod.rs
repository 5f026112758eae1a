//! What upstreams say of themselves, heeded by whole fleets.
//!
//! All gateways run their own decisions on their own clocks; messages between them take a few milliseconds and are
//! sometimes lost. Gateways start, stop, freeze and are cut off from each other while callers want far more of a few upstreams
//! than these take. What reaches each upstream is counted.

mod backoff;
mod leaving;
mod limit;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use auburnline_core::time::Monotonic;
use auburnline_gateway::Gateway;
use auburnline_gateway::limit::Consent;
use auburnline_gateway::message::Beat;
use auburnline_gateway::neighbour::PERIOD;
use auburnline_gateway::neighbour::Roster;
use auburnline_gateway::request::Plan;
use auburnline_gateway::upstream::State;
use auburnline_gateway::upstream::Upstream;
use auburnline_gateway::upstream::UpstreamId;
use auburnline_quota::Rate;
use auburnline_quota::book::Notice;
use auburnline_quota::home::Ask;
use auburnline_quota::home::Reply;
use auburnline_quota::loan::Loan;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::seq::IndexedRandom as _;
use rand_chacha::ChaCha8Rng;

use crate::gateway::BOUNDS;
use crate::gateway::ask;
use crate::support::entry;
use crate::support::millis;
use crate::support::table;
use crate::support::upstream;

/// Time on the common clock of a run.
type Time = Duration;

/// Time at which upstreams begin to speak of themselves: all gateways know each other by then.
const NAMED: Time = Duration::from_secs(4);
/// Time after a gateway got an upstream's word from which on its requests count.
const TOLD: Duration = Duration::from_millis(500);
const END: Time = Duration::from_secs(16);
/// Time from a request to its answer's head.
const ANSWER: Duration = Duration::from_millis(25);
/// Messages that are lost, of 100.
const LOST: u32 = 1;
/// Longest time that a message is on its way, in microseconds.
const LATENCY: u64 = 4_000;

/// Message between two gateways.
#[derive(Clone)]
enum Message {
    Beat(Beat),
    Introduction(Beat),
    Limits(Vec<Notice>),
    Loan(Loan),
    Ask(Ask),
    Reply(Reply),
}

/// What happens to a gateway.
enum Event {
    Tick,
    Request,
    Deliver(usize, Message),
    /// The answer of an upstream to a request that was sent at the given time.
    Answer(usize, Time),
    Fault(Fault),
}

/// What goes wrong with a gateway.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// It ends, and starts again after this time.
    Restart(Duration),
    /// It stands still for this time.
    Freeze(Duration),
    /// It reaches no other gateway for this time; requests go on.
    Cut(Duration),
    /// It hears the others, and is not heard by them for this time.
    OneWay(Duration),
}

struct Node {
    gateway: Gateway,
    started: Time,
    /// Number of this start; events of an earlier one are void.
    life: u32,
    plan: Plan,
    frozen_until: Time,
    deaf_until: Time,
    mute_until: Time,
    /// When it first passed on each upstream's limit.
    told: Vec<Option<Time>>,
    /// When each upstream last asked it to back off.
    asked: Vec<Option<Time>>,
    /// Whether it passed on that each upstream leaves.
    knows_leaving: Vec<bool>,
    waiting: BTreeMap<u64, (Ask, usize)>,
}

struct World {
    nodes: Vec<Option<Node>>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, (usize, u32, Event)>,
    number: u64,
    rng: ChaCha8Rng,
    upstreams: Vec<Arc<Upstream>>,
    rate: Rate,
    /// Time for which the limited upstreams ask each gateway to back off with each answer, in place of a limit.
    backoff: Option<Duration>,
    /// When the limited upstreams begin to say in all answers that they leave; the list goes on to have them ready.
    leaving_from: Option<Time>,
    /// Requests sent to an upstream that its gateway knows not to want them.
    unwanted: usize,
    /// Mean time between two requests at one gateway.
    pause: Duration,
    /// Requests that reached each limited upstream, with their gateways.
    arrived: Vec<Vec<(Time, usize)>>,
    lives: u32,
    /// When half of the gateways don't reach the other half.
    split: Range<Time>,
    /// When no caller sends anything.
    quiet: Range<Time>,
    /// Gateways that callers use.
    used: usize,
}

/// Upstreams that name a limit or ask for backoff; one more takes everything.
const LIMITED: usize = 2;

fn peers(number: usize) -> SocketAddr {
    let port = u16::try_from(number).expect("a small fleet") + 1;
    ([10, 0, 2, 1], port).into()
}

fn number(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}

impl World {
    /// Starts a fleet in which callers want some times more of the limited upstreams than these take.
    fn start(count: usize, rate: Rate, seed: u64) -> World {
        let upstreams = (0..=LIMITED).map(|number| {
            let id = format!("desk-{number}");
            Arc::new(Upstream {
                address: ([10, 0, 0, 1], u16::try_from(number).expect("few") + 1).into(),
                ..upstream(&id, "desk", State::Ready)
            })
        });
        let gateways = u32::try_from(count).expect("a small fleet");
        let mut world = World {
            nodes: (0..count).map(|_| None).collect(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            number: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            upstreams: upstreams.collect(),
            rate,
            backoff: None,
            leaving_from: None,
            unwanted: 0,
            pause: Duration::from_secs_f64(f64::from(gateways) / (rate * 40.0).max(60.0)),
            arrived: vec![Vec::new(); LIMITED],
            lives: 0,
            split: Time::ZERO..Time::ZERO,
            quiet: Time::ZERO..Time::ZERO,
            used: count,
        };
        for node in 0..count {
            world.boot(node, Time::ZERO);
        }
        world
    }

    fn boot(&mut self, node: usize, now: Time) {
        self.lives += 1;
        let me = entry(peers(node).port(), u64::from(self.lives), 0);
        let roster = Roster::new(me, (0..3).map(peers).collect());
        let seed = self.rng.random();
        let mut gateway = Gateway::new("north".into(), BOUNDS, roster, seed);
        gateway.set_table(table(3));
        for upstream in &self.upstreams {
            gateway.pool.insert(Upstream::clone(upstream));
        }
        let _ = gateway.knowledge.confirm(Monotonic::ZERO, Monotonic::ZERO);
        let plan = ask(&mut gateway, "/desk/a", Some("key-1"), 0).expect("a plan");
        self.nodes[node] = Some(Node {
            gateway,
            started: now,
            life: self.lives,
            plan,
            frozen_until: Time::ZERO,
            deaf_until: Time::ZERO,
            mute_until: Time::ZERO,
            told: vec![None; LIMITED],
            asked: vec![None; LIMITED],
            knows_leaving: vec![false; LIMITED],
            waiting: BTreeMap::new(),
        });
        let first = Duration::from_micros(self.rng.random_range(0..300_000));
        self.put(now + first, node, Event::Tick);
        self.next_request(node, now + first);
    }

    fn put(&mut self, at: Time, node: usize, event: Event) {
        let life = self.nodes[node].as_ref().map_or(0, |node| node.life);
        self.number += 1;
        self.queue.push(Reverse((at, self.number)));
        self.events.insert(self.number, (node, life, event));
    }

    fn next_request(&mut self, node: usize, now: Time) {
        let draw: f64 = self.rng.random_range(1e-9..1.0);
        let pause = self.pause.mul_f64(-draw.ln());
        self.put(now + pause, node, Event::Request);
    }

    fn run(&mut self) {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > END {
                return;
            }
            let (node, life, event) = self.events.remove(&number).expect("an event");
            if let Event::Fault(fault) = event {
                self.harm(node, fault, at);
                continue;
            }
            let is_message = matches!(event, Event::Deliver(..));
            let Some(of) = &self.nodes[node] else {
                continue;
            };
            if of.life != life && !is_message {
                continue;
            }
            if at < of.frozen_until {
                // What comes in meanwhile is found when the process goes on.
                let until = of.frozen_until;
                self.put(until, node, event);
                continue;
            }
            match event {
                Event::Tick => self.tick(node, at),
                Event::Request => self.request(node, at),
                Event::Deliver(from, message) => self.hear(node, from, message, at),
                Event::Answer(upstream, sent) => self.answer(node, upstream, sent, at),
                Event::Fault(_) => {}
            }
        }
    }

    fn harm(&mut self, node: usize, fault: Fault, now: Time) {
        match (fault, &mut self.nodes[node]) {
            (Fault::Restart(pause), _) => {
                self.nodes[node] = None;
                self.boot(node, now + pause);
            }
            (Fault::Freeze(time), Some(of)) => of.frozen_until = now + time,
            (Fault::Cut(time), Some(of)) => {
                of.deaf_until = now + time;
                of.mute_until = now + time;
            }
            (Fault::OneWay(time), Some(of)) => of.mute_until = now + time,
            (_, None) => {}
        }
    }

    fn at(&mut self, node: usize, now: Time) -> (&mut Node, Monotonic) {
        let node = self.nodes[node].as_mut().expect("a gateway that lives");
        let local = now.saturating_sub(node.started);
        (node, local)
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message, now: Time) {
        let to = number(to);
        let is_mute = self.nodes[from]
            .as_ref()
            .is_none_or(|one| now < one.mute_until);
        let is_cut = self.split.contains(&now) && from % 2 != to % 2;
        let is_deaf = self.nodes[to]
            .as_ref()
            .is_none_or(|one| now < one.deaf_until);
        if is_mute || is_deaf || is_cut || to == from || self.rng.random_ratio(LOST, 100) {
            return;
        }
        let latency = Duration::from_micros(self.rng.random_range(200..LATENCY));
        self.put(now + latency, to, Event::Deliver(from, message));
    }

    fn tick(&mut self, number: usize, now: Time) {
        let mut rng = ChaCha8Rng::from_rng(&mut self.rng);
        let written = self.leaving_from.and_then(|_| {
            let one = self.upstreams.choose(&mut rng)?;
            Some(Upstream::clone(one))
        });
        let (node, local) = self.at(number, now);
        if let Some(written) = written {
            node.gateway.pool.insert(written);
        }
        let beat = node.gateway.roster.beat(Vec::new(), local, &mut rng);
        let targets = node.gateway.roster.targets(local, &mut rng);
        let notices = node.gateway.beat_limits(local);
        let loans = node.gateway.loans(local);
        for target in targets {
            self.send(number, target, Message::Beat(beat.clone()), now);
            if !notices.is_empty() {
                self.send(number, target, Message::Limits(notices.clone()), now);
            }
        }
        for (home, loan) in loans {
            self.send(number, home, Message::Loan(loan), now);
        }
        self.put(now + PERIOD, number, Event::Tick);
    }

    fn hear(&mut self, number: usize, from: usize, message: Message, now: Time) {
        let (node, local) = self.at(number, now);
        let gateway = &mut node.gateway;
        match message {
            Message::Beat(beat) => {
                let is_back = gateway.roster.is_back(&beat, local);
                gateway.roster.hear(&beat, local);
                if is_back {
                    let mut rng = ChaCha8Rng::from_rng(&mut self.rng);
                    let (node, local) = self.at(number, now);
                    let word = node.gateway.introduction(local, &mut rng);
                    self.send(number, peers(from), Message::Introduction(word), now);
                }
            }
            Message::Introduction(beat) => {
                gateway.roster.hear(&beat, local);
            }
            Message::Limits(notices) => {
                gateway.hear_limits(&notices, peers(from), local);
            }
            Message::Loan(loan) => {
                gateway.hear_loan(&loan, peers(from), local);
                let word = gateway.roster.word(Vec::new(), local);
                self.send(number, peers(from), Message::Beat(word), now);
            }
            Message::Ask(ask) => {
                let reply = gateway.reply(ask, local);
                self.send(number, peers(from), Message::Reply(reply), now);
            }
            Message::Reply(reply) => {
                let Some((ask, upstream)) = node.waiting.remove(&reply.number) else {
                    return;
                };
                let consent = gateway.take_reply(ask, Some(reply.permit), local);
                let target = Arc::clone(&self.upstreams[upstream]);
                let (node, local) = self.at(number, now);
                if consent == Consent::Granted && node.gateway.wants_work(&target, local) {
                    self.forward(number, upstream, now);
                }
            }
        }
    }

    fn request(&mut self, number: usize, now: Time) {
        self.next_request(number, now);
        if self.quiet.contains(&now) || number >= self.used {
            return;
        }
        let (node, local) = self.at(number, now);
        let mut denied: Vec<UpstreamId> = Vec::new();
        loop {
            let gateway = &mut node.gateway;
            let Ok(choice) = gateway.choose_within(None, &node.plan, &[], &denied, local) else {
                return;
            };
            let upstream = usize::from(choice.upstream.address.port()) - 1;
            match gateway.consent(&choice.upstream, local) {
                Consent::Granted => return self.forward(number, upstream, now),
                Consent::Denied => denied.push(choice.upstream.id.clone()),
                Consent::Ask { home, ask } => {
                    node.waiting.insert(ask.number, (ask, upstream));
                    return self.send(number, home, Message::Ask(ask), now);
                }
            }
        }
    }

    fn forward(&mut self, node: usize, upstream: usize, now: Time) {
        if upstream < LIMITED {
            self.arrived[upstream].push((now, node));
            let asked = self.nodes[node]
                .as_ref()
                .and_then(|node| node.asked[upstream]);
            let backoff = self.backoff.unwrap_or_default();
            let is_early = asked.is_some_and(|at| (at + TOLD..at + backoff).contains(&now));
            let node = self.nodes[node].as_ref();
            let is_leaving = node.is_some_and(|node| node.knows_leaving[upstream]);
            self.unwanted += usize::from(is_early || is_leaving);
        }
        self.put(now + ANSWER, node, Event::Answer(upstream, now));
    }

    fn answer(&mut self, number: usize, upstream: usize, sent: Time, now: Time) {
        let speaks = upstream < LIMITED && now >= NAMED;
        let backoff = self.backoff.filter(|_| speaks);
        let rate = (speaks && backoff.is_none()).then_some(self.rate);
        let is_leaving = speaks && self.leaving_from.is_some_and(|at| now >= at);
        let target = Arc::clone(&self.upstreams[upstream]);
        let (node, local) = self.at(number, now);
        let sent = sent.saturating_sub(node.started);
        node.gateway.take_limit(&target, rate, sent, local);
        if let Some(backoff) = backoff {
            node.gateway.back_off(&target, backoff, local);
            node.asked[upstream] = Some(now);
        }
        if is_leaving {
            node.gateway.pool.leave(&target);
            node.knows_leaving[upstream] = true;
        }
        if rate.is_some() {
            node.told[upstream].get_or_insert(now);
        }
    }

    /// Adds faults of all kinds at gateways drawn by chance.
    fn add_faults(&mut self, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = self.nodes.len();
        for _ in 0..count.min(40) {
            let at = Duration::from_millis(rng.random_range(4_000..14_000));
            let time = Duration::from_millis(rng.random_range(300..5_000));
            let fault = match rng.random_range(0..4) {
                0 => Fault::Restart(millis(200)),
                1 => Fault::Freeze(time),
                2 => Fault::Cut(time),
                _ => Fault::OneWay(time),
            };
            let node = rng.random_range(0..count);
            self.put(at, node, Event::Fault(fault));
        }
    }
}
