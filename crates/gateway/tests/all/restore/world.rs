//! Course of a simulation: messages, reads of the store, faults, and the check for violations.

use std::time::Duration;

use auburnline_gateway::Gateway;
use auburnline_gateway::message::Entry;
use auburnline_gateway::neighbour::Roster;
use auburnline_gateway::neighbour::reader::Role;
use auburnline_gateway::published::Listed;
use auburnline_gateway::route::Version;
use auburnline_gateway::spread::Change;
use auburnline_gateway::spread::Need;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use super::DOMAINS;
use super::DRAIN;
use super::EVACUATION;
use super::IN_FORCE;
use super::Node;
use super::RECOVERY_TIME;
use super::REVOCATION;
use super::STEP;
use super::Store;
use super::World;
use super::apply_configuration;
use crate::gateway::BOUNDS;
use crate::support::entry;
use crate::support::millis;
use crate::support::peers;

impl World {
    pub(super) fn start(count: usize, seed: u64) -> World {
        let mut world = World {
            now: Duration::ZERO,
            store: Store::default(),
            nodes: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            incarnations: 0,
            written: Vec::new(),
            removed_at: None,
            evacuated_at: None,
            returned_at: None,
            violations: Vec::new(),
            poll: Duration::ZERO,
            reads: 0,
            extra_reads: 0,
        };
        world.write(3);
        for number in 0..count {
            let node = world.node(number);
            world.nodes.push(node);
        }
        world
    }

    pub(super) fn node(&mut self, number: usize) -> Node {
        self.incarnations += 1;
        let me = Entry {
            failure_domain: format!("domain-{}", number % DOMAINS).into(),
            ..entry(peers(number).port(), self.incarnations, 0)
        };
        let roster = Roster::new(me, (0..3).map(peers).collect());
        let seed = self.rng.random();
        Node {
            gateway: Gateway::new("north".into(), BOUNDS, roster, seed),
            started: self.now,
            suspended_until: Duration::ZERO,
            disconnected_until: Duration::ZERO,
            isolated_until: Duration::ZERO,
            healthy_since: self.now,
            inbox: Vec::new(),
            next_read: self.now,
        }
    }

    pub(super) fn write(&mut self, version: Version) {
        self.store.write(version);
        self.written.push((version, self.now));
    }

    pub(super) fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            for number in 0..self.nodes.len() {
                if self.now >= self.nodes[number].suspended_until {
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
            self.receive(number, from, message);
        }
        self.read(number);
        self.send_messages(number);
        let after = self.nodes[number].gateway.version();
        if after < before {
            self.violations.push(format!(
                "gateway {number} went back from version {before:?} to {after:?}"
            ));
        }
    }

    /// Reads what is needed from the store, unless it is unreachable.
    fn read(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        let now = self.now.saturating_sub(node.started);
        let gateway = &mut node.gateway;
        gateway.confirm_pending(now);
        let can_serve = gateway.can_serve(now);
        gateway.roster.set_ready(can_serve);
        let need = gateway.need(now);
        if need == Need::Nothing || self.now < node.next_read {
            return;
        }
        if self.store.is_down || self.now < node.disconnected_until.max(node.isolated_until) {
            node.next_read = self.now + gateway.record_store_failure(now).pause;
            return;
        }
        gateway.roster.set_store_unreachable(false);
        gateway.spread.record_success();
        node.next_read = self.now + self.poll.max(gateway.roster.read_period(now));
        self.reads += 1;
        self.extra_reads += usize::from(gateway.roster.role(now) != Role::Reader);
        let since = gateway.spread.revision().unwrap_or_default();
        let (written, version) = self.store.configuration();
        match need {
            Need::All => {
                apply_configuration(gateway, version, written);
                let listed = Listed {
                    upstreams: self.store.listed(),
                    evacuations: self.store.evacuated().into_iter().collect(),
                };
                gateway.apply_full_read(listed, self.store.revision(), written, now);
                gateway.confirm(now, now);
            }
            Need::Configuration => {
                gateway.spread.set_generation(self.store.generation);
                apply_configuration(gateway, version, written);
            }
            Need::Changes(after) => {
                if gateway.spread.set_generation(self.store.generation) {
                    return;
                }
                if after > self.store.revision() {
                    gateway.spread.require_full_read();
                    return;
                }
                let is_new = written > after;
                if is_new {
                    apply_configuration(gateway, version, written);
                }
                let mut changes: Vec<_> = is_new
                    .then_some((written, Change::Configuration))
                    .into_iter()
                    .collect();
                let removed = self.store.removed.map(|number| self.store.at(number));
                let removed = removed.filter(|removed| *removed > after);
                changes.extend(removed.map(|at| (at, Change::Removed("desk-0".into()))));
                changes.extend(self.store.evacuations_after(after));
                changes.sort_by_key(|(at, _)| *at);
                let new = gateway.spread.take(changes, self.store.revision());
                gateway.apply_changes(new, now);
                gateway.confirm(now.saturating_sub(self.poll), now);
            }
            Need::Nothing => {}
        }
        gateway.expire(now);
        self.push_changes(number, since);
        self.push_configuration(number);
    }

    /// Records the gateways that serve with an older version than they may.
    fn check(&mut self) {
        let due = self.written.iter();
        let due = due.filter(|(_, at)| *at + IN_FORCE <= self.now);
        let least = due.map(|(version, _)| *version).max();
        let old = self.written.iter();
        let old = old.filter(|(_, at)| *at + REVOCATION <= self.now);
        let revoked = old.map(|(version, _)| *version).max();
        for (number, node) in self.nodes.iter().enumerate() {
            let last_fault = node.suspended_until.max(node.disconnected_until);
            let is_healthy = self.now
                >= last_fault.max(node.isolated_until).max(node.healthy_since) + RECOVERY_TIME;
            let now = self.now.saturating_sub(node.started);
            let version = node.gateway.version();
            let can_serve = node.gateway.can_serve(now);
            if is_healthy && !self.store.is_down && can_serve && version < least {
                self.violations.push(format!(
                    "gateway {number} serves with version {version:?}, not {least:?}"
                ));
            }
            let removed_at = self.removed_at;
            let is_late = removed_at.is_some_and(|at| self.now > at + DRAIN);
            if is_healthy && is_late && node.gateway.pool.ready("desk") > 0 {
                self.violations.push(format!(
                    "gateway {number} uses an upstream that left at {removed_at:?}, at {:?}",
                    self.now
                ));
            }
            if is_healthy && can_serve {
                self.violations.extend(self.check_evacuation(number));
            }
            let runs = self.now >= node.suspended_until;
            if runs && can_serve && version < revoked {
                self.violations.push(format!(
                    "gateway {number} trusts keys of version {version:?}, not {revoked:?}"
                ));
            }
        }
    }

    /// Returns the violation of a gateway that sends to an evacuated failure domain, or sends to one
    /// no longer although its evacuation has ended.
    fn check_evacuation(&self, number: usize) -> Option<String> {
        let gateway = &self.nodes[number].gateway;
        let is_due = |at: Duration| self.now > at + EVACUATION;
        let uses = gateway.pool.ready("desk") > 0;
        if uses && self.evacuated_at.is_some_and(is_due) {
            return Some(format!(
                "gateway {number} uses an evacuated domain at {:?}",
                self.now
            ));
        }
        if !uses && self.returned_at.is_some_and(is_due) {
            return Some(format!(
                "gateway {number} leaves out a domain that is back at {:?}",
                self.now
            ));
        }
        None
    }

    /// Writes or removes the evacuation of the upstream's failure domain.
    pub(super) fn evacuate(&mut self, is_evacuated: bool) {
        self.store.evacuate(is_evacuated);
        self.evacuated_at = is_evacuated.then_some(self.now);
        self.returned_at = (!is_evacuated).then_some(self.now);
    }

    /// Returns a gateway's role.
    pub(super) fn role(&self, number: usize) -> Role {
        let node = &self.nodes[number];
        let now = self.now.saturating_sub(node.started);
        node.gateway.roster.role(now)
    }

    /// Returns the number of gateways that can serve.
    pub(super) fn able(&self) -> usize {
        let nodes = self.nodes.iter();
        let able = nodes.filter(|node| {
            let now = self.now.saturating_sub(node.started);
            node.gateway.can_serve(now)
        });
        able.count()
    }

    /// Restarts a tenth of the gateways, suspends them or disconnects them from the store, at
    /// random.
    pub(super) fn inject_faults(&mut self) {
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
                1 => self.nodes[number].suspended_until = self.now + time,
                _ => self.nodes[number].disconnected_until = self.now + time,
            }
        }
    }
}
