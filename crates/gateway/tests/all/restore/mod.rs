//! A store that comes back from a copy, before whole fleets.
//!
//! All gateways run their own decisions; messages between them arrive with the next step and are sometimes lost. The store is
//! read as the reader of a platform reads it. Gateways start, freeze and are cut off from the store while it is restored and
//! configurations are written.

mod world;

use std::time::Duration;

use auburnline_gateway::Gateway;
use auburnline_gateway::message::Beat;
use auburnline_gateway::route::Table;
use auburnline_gateway::route::Version;
use auburnline_gateway::spread::Answer;
use auburnline_gateway::spread::Question;
use auburnline_gateway::spread::Revision;
use auburnline_gateway::spread::Told;
use googletest::prelude::*;
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;

use crate::support::content;
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
