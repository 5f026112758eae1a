//! Simulation of whole fleets whose store is restored from a backup.
//!
//! Every gateway runs the real decisions. Messages between gateways arrive with the next step and
//! are sometimes lost. The store is read in the way in which the source of a platform reads it.
//! Gateways start, are suspended and lose the store while it is restored and configurations are
//! written.

mod evacuation;
mod exchange;
mod readers;
mod world;

use std::time::Duration;

use auburnline_core::id::FailureDomainId;
use auburnline_gateway::Gateway;
use auburnline_gateway::message::Datagram;
use auburnline_gateway::message::Entry;
use auburnline_gateway::message::Heartbeat;
use auburnline_gateway::neighbour::news::Record;
use auburnline_gateway::neighbour::news::Tag;
use auburnline_gateway::route::Table;
use auburnline_gateway::route::Version;
use auburnline_gateway::settled;
use auburnline_gateway::spread::Answer;
use auburnline_gateway::spread::Change;
use auburnline_gateway::spread::Query;
use auburnline_gateway::spread::Revision;
use auburnline_gateway::spread::Update;
use auburnline_gateway::transfer;
use auburnline_gateway::upstream::State;
use auburnline_gateway::upstream::Upstream;
use googletest::prelude::*;
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;

use crate::support::configuration;
use crate::support::millis;
use crate::support::upstream;

const STEP: Duration = Duration::from_millis(100);
/// Steps between two heartbeats, and between two queries to the readers.
const BEAT_STEPS: u32 = 3;
const QUERY_STEPS: u32 = 6;
/// Time within which a configuration has to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(3);
/// Time after the end of a gateway's last fault from which it is checked for that.
const RECOVERY_TIME: Duration = Duration::from_secs(3);
/// Time after which a revoked key must not work anywhere, whatever faults a gateway had.
const REVOCATION: Duration = Duration::from_secs(5);
/// Capacity of a suspended gateway's inbox; messages beyond it are lost.
const INBOX_CAPACITY: usize = 60;
/// Lost messages, in percent.
const LOSS_PERCENT: u32 = 1;
const DOMAINS: usize = 4;
/// Time after the removal of an upstream's entry from which on no gateway may use it.
const DRAIN: Duration = Duration::from_secs(2);
/// Time after the write of an evacuation, or of its end, from which on gateways have to follow it.
const EVACUATION: Duration = Duration::from_secs(3);
/// Numbers of gateways for which each test runs.
const FLEETS: [usize; 3] = [6, 98, 340];

/// The store. Each entry of the history is the version of a configuration, or `None` for a write
/// that no gateway uses.
#[derive(Clone, Default)]
struct Store {
    generation: u64,
    history: Vec<Option<Version>>,
    /// Number of the write by which the upstream's entry was removed.
    removed: Option<usize>,
    /// Numbers of the writes by which the upstream's failure domain was evacuated, or no longer.
    evacuations: Vec<(usize, bool)>,
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

    /// Returns the newest configuration with the revision at which it was written.
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

    fn remove_upstream(&mut self) {
        self.write_other(1);
        self.removed = Some(self.history.len());
    }

    /// Returns the list of upstreams.
    fn listed(&self) -> Vec<Upstream> {
        let is_listed = self.removed.is_none();
        let listed = is_listed.then(|| upstream("desk-0", "desk", State::Ready));
        listed.into_iter().collect()
    }

    fn evacuate(&mut self, is_evacuated: bool) {
        self.write_other(1);
        self.evacuations.push((self.history.len(), is_evacuated));
    }

    /// Returns the evacuated failure domain, with the revision at which this was written.
    fn evacuated(&self) -> Option<(FailureDomainId, Revision)> {
        let (number, is_evacuated) = self.evacuations.last()?;
        is_evacuated.then(|| ("north".into(), self.at(*number)))
    }

    /// Returns the changes of evacuations after a revision.
    fn evacuations_after(&self, after: Revision) -> Vec<(Revision, Change)> {
        let all = self.evacuations.iter().map(|(number, is_evacuated)| {
            let change = if *is_evacuated {
                Change::Evacuated("north".into())
            } else {
                Change::Returned("north".into())
            };
            (self.at(*number), change)
        });
        all.filter(|(at, _)| *at > after).collect()
    }

    /// Restores the state after the first `number` writes.
    fn restore(&mut self, number: usize) {
        self.generation += 1;
        self.history.truncate(number);
        self.evacuations.retain(|(written, _)| *written <= number);
    }
}

#[derive(Clone)]
enum Message {
    Heartbeat(Heartbeat, Vec<Record>),
    JoinReply(Heartbeat),
    EntriesQuery(Vec<Tag>),
    Entries(Vec<Entry>),
    Query(Query),
    Answer(Answer),
    ConfigurationQuery(Option<Version>),
    Configuration(Update),
    SettledQuery(settled::Query),
    SettledReply(settled::Reply),
    TransferQuery(transfer::Query),
    TransferReply(transfer::Reply),
}

impl From<Datagram> for Message {
    fn from(message: Datagram) -> Message {
        match message {
            Datagram::Answer(answer) => Message::Answer(answer),
            Datagram::Configuration(update) => Message::Configuration(*update),
            Datagram::TransferReply(reply) => Message::TransferReply(reply),
            other => panic!("a message that is not in the simulation: {other:?}"),
        }
    }
}

struct Node {
    gateway: Gateway,
    started: Duration,
    suspended_until: Duration,
    /// Until when it can't reach the store.
    disconnected_until: Duration,
    /// Until when it can reach neither the store nor other gateways.
    isolated_until: Duration,
    /// When it started; the check of its version begins some time after that.
    healthy_since: Duration,
    inbox: Vec<(usize, Message)>,
    next_read: Duration,
}

struct World {
    now: Duration,
    store: Store,
    nodes: Vec<Node>,
    rng: ChaCha8Rng,
    incarnations: u64,
    /// When each version was written.
    written: Vec<(Version, Duration)>,
    /// When the upstream's entry was removed.
    removed_at: Option<Duration>,
    /// When the evacuation of the upstream's failure domain was written, if it is in force.
    evacuated_at: Option<Duration>,
    /// When the evacuation was removed, unless another one is in force.
    returned_at: Option<Duration>,
    violations: Vec<String>,
    /// Time for which each read of changes waits, so that its result is that old.
    poll: Duration,
    /// Calls to the store.
    reads: usize,
    /// Reads by gateways that are not readers.
    extra_reads: usize,
}

fn apply_configuration(gateway: &mut Gateway, version: Version, written: Revision) {
    let configuration = configuration(version, Vec::new());
    gateway.spread.keep_configuration(Update {
        revision: written,
        configuration: configuration.clone(),
    });
    gateway.set_table(Table::new(configuration));
    gateway.spread.record_configuration(written);
}

/// Guards against gateways that stay behind, for seconds or until the next change, because the
/// restored store assigns the same revision numbers again.
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
        expect_that!(world.violations, is_empty(), "{count} gateways");
        expect_that!(world.able(), eq(count), "{count} gateways");
    }
}

/// Guards against gateways that miss a restore because the store has passed their known revision by
/// their next query.
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
        expect_that!(world.violations, is_empty(), "{count} gateways");
    }
}

/// Guards against configurations that go back, or never arrive, while gateways start, are suspended
/// and lose the store around restores.
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
                    world.inject_faults();
                    world.run(millis(700));
                }
                world.store.restore(saved);
                world.run(millis(500));
                world.inject_faults();
                world.run(millis(500));
                // The operator's last write is repeated, and a newer one follows.
                world.store.write(version);
                version += 2;
                world.write(version);
                world.run(Duration::from_secs(3));
            }
            world.run(Duration::from_secs(8));
            expect_that!(
                world.violations,
                is_empty(),
                "{count} gateways, seed {seed}"
            );
            expect_that!(world.able(), eq(count), "{count} gateways, seed {seed}");
        }
    }
}

/// Guards against gateways that keep an upstream that left, because they lost the store alone, were
/// suspended or restarted shortly before.
#[gtest]
fn an_upstream_that_left_gets_nothing_where_gateways_freeze_start_and_lose_the_store() {
    for (count, seeds) in FLEETS.into_iter().zip([6, 3, 1]) {
        for seed in 1..=seeds {
            let mut world = World::start(count, seed);
            world.run(Duration::from_secs(4));
            for number in 0..count.div_ceil(4) {
                let until = world.now + millis(world.rng.random_range(500..5_000));
                let node = &mut world.nodes[number];
                match number % 3 {
                    0 => node.suspended_until = until,
                    1 => node.disconnected_until = until,
                    _ => node.isolated_until = until,
                }
            }
            let wait = world.rng.random_range(3_000..6_500);
            world.run(millis(wait));
            world.store.remove_upstream();
            world.removed_at = Some(world.now);
            world.run(Duration::from_secs(5));
            expect_that!(
                world.violations,
                is_empty(),
                "{count} gateways, seed {seed}"
            );
            let users = world.nodes.iter();
            let users = users.filter(|node| node.gateway.pool.ready("desk") > 0);
            expect_that!(users.count(), eq(0), "{count} gateways, seed {seed}");
        }
    }
}

/// Revokes a key while some gateways can't hear of it, restores the store from a backup that still
/// contains it, and restarts gateways in series until the revocation is written again.
fn restart_after_a_restore(count: usize, seed: u64) -> World {
    let mut world = World::start(count, seed);
    world.run(Duration::from_secs(4));
    let faulty = count.div_ceil(5);
    for number in 0..faulty {
        let until = world.now + millis(5_300 + world.rng.random_range(0..2_000));
        match number % 2 {
            0 => world.nodes[number].suspended_until = until,
            _ => world.nodes[number].isolated_until = until,
        }
    }
    world.run(millis(100));
    world.write(5);
    world.run(millis(5_100));
    world.store.restore(1);
    for _ in 0..10 {
        let number = world.rng.random_range(faulty..count);
        world.nodes[number] = world.node(number);
        world.run(millis(250));
    }
    world.store.write(5);
    world.run(Duration::from_secs(6));
    world
}

/// Guards against revoked keys that work again at gateways that start, resume or reconnect, because
/// the store they read was restored from a backup that still contains the keys.
#[gtest]
fn keys_that_a_restored_store_has_again_work_at_no_gateway_that_comes_back() {
    for count in FLEETS {
        let seeds = if count < 300 { 6 } else { 1 };
        for seed in 1..=seeds {
            let world = restart_after_a_restore(count, seed);
            expect_that!(
                world.violations,
                is_empty(),
                "{count} gateways, seed {seed}"
            );
            expect_that!(world.able(), eq(count), "{count} gateways, seed {seed}");
        }
    }
}

/// Guards against a revocation that is lost because a small fleet restarts in series, each gateway
/// before it has the list and with it the configuration of the others.
#[gtest]
fn a_revocation_survives_restarts_in_series() {
    for seed in 1..=200 {
        let world = restart_after_a_restore(6, seed);
        expect_that!(world.violations, is_empty(), "seed {seed}");
    }
}
