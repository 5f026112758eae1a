//! The simulation: requests, messages between gateways, and faults.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use auburnline_core::time::Monotonic;
use auburnline_gateway::Gateway;
use auburnline_gateway::limit::Consent;
use auburnline_gateway::neighbour::HEARTBEAT_PERIOD;
use auburnline_gateway::neighbour::Roster;
use auburnline_gateway::upstream::State;
use auburnline_gateway::upstream::Upstream;
use auburnline_gateway::upstream::UpstreamId;
use auburnline_quota::Rate;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::seq::IndexedRandom as _;
use rand_chacha::ChaCha8Rng;

use super::ANNOUNCED;
use super::END;
use super::Event;
use super::Fault;
use super::GRACE;
use super::LIMITED;
use super::LOSS_PERCENT;
use super::MAX_LATENCY_US;
use super::Message;
use super::Node;
use super::RESPONSE_TIME;
use super::Time;
use super::World;
use crate::gateway::BOUNDS;
use crate::gateway::ask;
use crate::support::entry;
use crate::support::millis;
use crate::support::number;
use crate::support::peers;
use crate::support::table;
use crate::support::upstream;

impl World {
    /// Starts a fleet whose callers request several times more than the limited upstreams accept.
    pub(super) fn start(count: usize, rate: Rate, seed: u64) -> World {
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
            incarnations: 0,
            split: Time::ZERO..Time::ZERO,
            idle: Time::ZERO..Time::ZERO,
            active_gateways: count,
        };
        for node in 0..count {
            world.boot(node, Time::ZERO);
        }
        world
    }

    fn boot(&mut self, node: usize, now: Time) {
        self.incarnations += 1;
        let me = entry(peers(node).port(), u64::from(self.incarnations), 0);
        let roster = Roster::new(me, (0..3).map(peers).collect());
        let seed = self.rng.random();
        let mut gateway = Gateway::new("north".into(), BOUNDS, roster, seed);
        gateway.set_table(table(3));
        for upstream in &self.upstreams {
            gateway.pool.insert(Upstream::clone(upstream));
        }
        let _ = gateway
            .freshness
            .record_success(Monotonic::ZERO, Monotonic::ZERO);
        let plan = ask(&mut gateway, "/desk/a", Some("key-1"), 0).expect("a plan");
        self.nodes[node] = Some(Node {
            gateway,
            started: now,
            incarnation: self.incarnations,
            plan,
            frozen_until: Time::ZERO,
            inbound_cut_until: Time::ZERO,
            outbound_cut_until: Time::ZERO,
            limited_at: vec![None; LIMITED],
            backoff_at: vec![None; LIMITED],
            knows_leaving: vec![false; LIMITED],
            waiting: BTreeMap::new(),
        });
        let first = Duration::from_micros(self.rng.random_range(0..300_000));
        self.schedule(now + first, node, Event::Tick);
        self.next_request(node, now + first);
    }

    pub(super) fn schedule(&mut self, at: Time, node: usize, event: Event) {
        let incarnation = self.nodes[node].as_ref().map_or(0, |node| node.incarnation);
        self.number += 1;
        self.queue.push(Reverse((at, self.number)));
        self.events.insert(self.number, (node, incarnation, event));
    }

    fn next_request(&mut self, node: usize, now: Time) {
        let draw: f64 = self.rng.random_range(1e-9..1.0);
        let pause = self.pause.mul_f64(-draw.ln());
        self.schedule(now + pause, node, Event::Request);
    }

    pub(super) fn run(&mut self) {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > END {
                return;
            }
            let (node, incarnation, event) = self.events.remove(&number).expect("an event");
            if let Event::Fault(fault) = event {
                self.inject(node, fault, at);
                continue;
            }
            let is_message = matches!(event, Event::Deliver(..));
            let Some(of) = &self.nodes[node] else {
                continue;
            };
            if of.incarnation != incarnation && !is_message {
                continue;
            }
            if at < of.frozen_until {
                // The process handles it when it resumes.
                let until = of.frozen_until;
                self.schedule(until, node, event);
                continue;
            }
            match event {
                Event::Tick => self.tick(node, at),
                Event::Request => self.request(node, at),
                Event::Deliver(from, message) => self.receive(node, from, message, at),
                Event::Answer(upstream, sent) => self.answer(node, upstream, sent, at),
                Event::Fault(_) => {}
            }
        }
    }

    fn inject(&mut self, node: usize, fault: Fault, now: Time) {
        match (fault, &mut self.nodes[node]) {
            (Fault::Restart(pause), _) => {
                self.nodes[node] = None;
                self.boot(node, now + pause);
            }
            (Fault::Freeze(time), Some(of)) => of.frozen_until = now + time,
            (Fault::Cut(time), Some(of)) => {
                of.inbound_cut_until = now + time;
                of.outbound_cut_until = now + time;
            }
            (Fault::OneWay(time), Some(of)) => of.outbound_cut_until = now + time,
            (_, None) => {}
        }
    }

    fn at(&mut self, node: usize, now: Time) -> (&mut Node, Monotonic) {
        let node = self.nodes[node].as_mut().expect("a running gateway");
        let local = now.saturating_sub(node.started);
        (node, local)
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message, now: Time) {
        let to = number(to);
        let is_outbound_cut = self.nodes[from]
            .as_ref()
            .is_none_or(|one| now < one.outbound_cut_until);
        let is_cut = self.split.contains(&now) && from % 2 != to % 2;
        let is_inbound_cut = self.nodes[to]
            .as_ref()
            .is_none_or(|one| now < one.inbound_cut_until);
        if is_outbound_cut
            || is_inbound_cut
            || is_cut
            || to == from
            || self.rng.random_ratio(LOSS_PERCENT, 100)
        {
            return;
        }
        let latency = Duration::from_micros(self.rng.random_range(200..MAX_LATENCY_US));
        self.schedule(now + latency, to, Event::Deliver(from, message));
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
        let heartbeat = node
            .gateway
            .roster
            .next_heartbeat(Vec::new(), local, &mut rng);
        let targets = node.gateway.roster.targets(local, &mut rng);
        let size = node.gateway.known_size(local);
        let notices = node.gateway.heartbeat_limits(local);
        let loans = node.gateway.loans(local);
        for target in targets {
            self.send(number, target, Message::Heartbeat(heartbeat.clone()), now);
            if let Some(size) = size {
                self.send(number, target, Message::FleetSize(size), now);
            }
            if !notices.is_empty() {
                self.send(number, target, Message::Limits(notices.clone()), now);
            }
        }
        for (home, loan) in loans {
            self.send(number, home, Message::Loan(loan), now);
        }
        self.schedule(now + HEARTBEAT_PERIOD, number, Event::Tick);
    }

    fn receive(&mut self, number: usize, from: usize, message: Message, now: Time) {
        let (node, local) = self.at(number, now);
        let gateway = &mut node.gateway;
        match message {
            Message::Heartbeat(heartbeat) => {
                let needs_join_reply = gateway.roster.needs_join_reply(&heartbeat, local);
                gateway.roster.receive(&heartbeat, local);
                if needs_join_reply {
                    let mut rng = ChaCha8Rng::from_rng(&mut self.rng);
                    let (node, local) = self.at(number, now);
                    let reply = node.gateway.join_reply(local, &mut rng);
                    self.send(number, peers(from), Message::JoinReply(reply), now);
                }
            }
            Message::JoinReply(heartbeat) => {
                gateway.roster.receive(&heartbeat, local);
            }
            Message::FleetSize(size) => gateway.roster.receive_size(size, local),
            Message::Limits(notices) => {
                gateway.receive_limits(&notices, peers(from), local);
            }
            Message::Loan(loan) => {
                gateway.receive_loan(&loan, peers(from), local);
                let heartbeat = gateway.roster.own_heartbeat(Vec::new(), local);
                self.send(number, peers(from), Message::Heartbeat(heartbeat), now);
            }
            Message::Ask(request) => {
                let reply = gateway.reply(request, local);
                self.send(number, peers(from), Message::Reply(reply), now);
            }
            Message::Reply(reply) => {
                let Some((request, upstream)) = node.waiting.remove(&reply.number) else {
                    return;
                };
                let consent = gateway.apply_reply(request, Some(reply.permit), local);
                let target = Arc::clone(&self.upstreams[upstream]);
                let (node, local) = self.at(number, now);
                if consent == Consent::Granted && node.gateway.accepts_requests(&target, local) {
                    self.forward(number, upstream, now);
                }
            }
        }
    }

    fn request(&mut self, number: usize, now: Time) {
        self.next_request(number, now);
        if self.idle.contains(&now) || number >= self.active_gateways {
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
                Consent::Ask { home, request } => {
                    node.waiting.insert(request.number, (request, upstream));
                    return self.send(number, home, Message::Ask(request), now);
                }
            }
        }
    }

    fn forward(&mut self, node: usize, upstream: usize, now: Time) {
        if upstream < LIMITED {
            self.arrived[upstream].push((now, node));
            let backoff_at = self.nodes[node]
                .as_ref()
                .and_then(|node| node.backoff_at[upstream]);
            let backoff = self.backoff.unwrap_or_default();
            let is_early = backoff_at.is_some_and(|at| (at + GRACE..at + backoff).contains(&now));
            let node = self.nodes[node].as_ref();
            let is_leaving = node.is_some_and(|node| node.knows_leaving[upstream]);
            self.unwanted += usize::from(is_early || is_leaving);
        }
        self.schedule(now + RESPONSE_TIME, node, Event::Answer(upstream, now));
    }

    fn answer(&mut self, number: usize, upstream: usize, sent: Time, now: Time) {
        let speaks = upstream < LIMITED && now >= ANNOUNCED;
        let backoff = self.backoff.filter(|_| speaks);
        let rate = (speaks && backoff.is_none()).then_some(self.rate);
        let is_leaving = speaks && self.leaving_from.is_some_and(|at| now >= at);
        let target = Arc::clone(&self.upstreams[upstream]);
        let (node, local) = self.at(number, now);
        let sent = sent.saturating_sub(node.started);
        node.gateway.record_limit(&target, rate, sent, local);
        if let Some(backoff) = backoff {
            node.gateway.back_off(&target, backoff, local);
            node.backoff_at[upstream] = Some(now);
        }
        if is_leaving {
            node.gateway.pool.mark_draining(&target);
            node.knows_leaving[upstream] = true;
        }
        if rate.is_some() {
            node.limited_at[upstream].get_or_insert(now);
        }
    }

    /// Schedules faults of all kinds at random gateways.
    pub(super) fn add_faults(&mut self, seed: u64) {
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
            self.schedule(at, node, Event::Fault(fault));
        }
    }
}
