//! Fleets whose readers and relays fail, and what the store is read for.

use std::time::Duration;

use auburnline_gateway::neighbour::reader::Role;
use googletest::prelude::*;
use rand::Rng as _;

use super::DOMAINS;
use super::FLEETS;
use super::World;
use crate::support::millis;

/// Readers of a large fleet; while views differ for a moment there may be one more.
const READERS: usize = 3;
/// Calls of one reader in five seconds, one each 0.2 s, and a few by gateways that lost messages.
const MAX_READS_OF_ONE: usize = 30;
/// One gateway in this many may read for itself once in ten seconds, since messages get lost.
const LOST_PART: usize = 30;

/// Suspends the gateways with the given roles for which `is_hit`, by the fleet's size and their
/// numbers, then removes the upstream, and
/// expects that nobody uses it for longer than it may.
fn depart_without(roles: &[Role], is_hit: impl Fn(usize, usize) -> bool) {
    for (count, seeds) in FLEETS.into_iter().zip([6, 3, 1]) {
        for seed in 1..=seeds {
            let mut world = World::start(count, seed);
            world.run(Duration::from_secs(4));
            let wait = world.rng.random_range(0..600);
            world.run(millis(wait));
            let until = world.now + Duration::from_secs(9);
            for number in 0..count {
                if roles.contains(&world.role(number)) && is_hit(count, number) {
                    world.nodes[number].suspended_until = until;
                }
            }
            world.run(millis(200));
            world.store.remove_upstream();
            world.removed_at = Some(world.now);
            world.run(Duration::from_secs(3));
            expect_that!(
                world.violations,
                is_empty(),
                "{count} gateways, seed {seed}"
            );
        }
    }
}

/// Guards against gateways that learn late of a departure because all readers and relays of their
/// failure domain died just before it.
#[gtest]
fn an_upstream_that_left_gets_nothing_though_the_readers_of_a_domain_died_before() {
    depart_without(&[Role::Reader, Role::Relay], |_, number| {
        number.is_multiple_of(DOMAINS)
    });
}

/// Guards against gateways that serve by old knowledge because all readers of the fleet died. In
/// the smallest fleet all gateways are readers, so one is left.
#[gtest]
fn an_upstream_that_left_gets_nothing_though_all_readers_died_before() {
    depart_without(&[Role::Reader], |count, number| {
        count > FLEETS[0] || number > 0
    });
}

/// Guards against readers, and so calls to the store, that grow with the fleet.
#[gtest]
fn a_few_gateways_read_the_store_for_fleets_of_all_sizes() {
    for count in [98, 340, 640] {
        let mut world = World::start(count, 1);
        world.run(Duration::from_secs(8));
        for _ in 0..4 {
            world.run(millis(500));
            let readers = (0..count).filter(|number| world.role(*number) == Role::Reader);
            expect_that!(readers.count(), le(READERS + 1), "{count} gateways");
        }
        expect_that!(world.able(), eq(count), "{count} gateways");
    }
}

/// Guards against followers that read the store themselves because what they know grew too old on
/// its way over a reader and a relay.
#[gtest]
fn followers_need_not_read_the_store_themselves() {
    for count in [98, 340] {
        let mut world = World::start(count, 1);
        world.run(Duration::from_secs(6));
        world.poll = Duration::from_secs(1);
        world.run(Duration::from_secs(2));
        world.extra_reads = 0;
        world.run(Duration::from_secs(10));
        expect_that!(world.extra_reads, le(count / LOST_PART), "{count} gateways");
        expect_that!(world.able(), eq(count), "{count} gateways");
    }
}

/// Guards against calls to the store that multiply with the readers while its list changes all the
/// time, as when hundreds of upstreams renew their entries.
#[gtest]
fn readers_of_a_list_that_changes_all_the_time_call_the_store_no_more_than_one_would() {
    for count in [98, 340] {
        let mut world = World::start(count, 1);
        world.run(Duration::from_secs(4));
        world.reads = 0;
        world.run(Duration::from_secs(5));
        expect_that!(world.reads, le(MAX_READS_OF_ONE), "{count} gateways");
    }
}
