//! Shares that gateways take of what their whole fleet shares, while some of them know little of it.

use std::ops::Range;
use std::time::Duration;

use googletest::prelude::*;

use crate::membership::World;

/// Numbers of gateways for which each test runs.
const FLEETS: [usize; 3] = [6, 98, 340];
/// Number of gateways of the largest fleet, for which one test runs.
const LARGEST: usize = 1_000;
/// Number of gateways that all others know from their settings.
const SEEDS: usize = 3;
/// Largest sum of the shares, with what random draws add.
const MOST: f64 = 1.05;
/// Least sum of the shares once the whole fleet is known.
const LEAST: f64 = 0.9;
/// Interval at which the sum is checked.
const CHECK: Duration = Duration::from_millis(300);
/// Time in which a fleet learns its size.
const KNOWN_WITHIN: Duration = Duration::from_secs(12);

/// Returns for how many variants of a fault a fleet is run.
fn variants(count: usize) -> usize {
    if count == FLEETS[0] { 3 } else { 1 }
}

/// Starts a fleet and waits until it knows its size.
fn settled(count: usize) -> World {
    let mut world = World::start(count);
    world.run(KNOWN_WITHIN);
    expect_that!(world.shares(), all![ge(LEAST), le(MOST)], "of {count}");
    world
}

/// Runs a fleet, and expects at all times that its shares add up to no more than the whole.
fn run(world: &mut World, time: Duration, what: &str) {
    let mut left = time;
    let mut most: f64 = 0.0;
    while !left.is_zero() {
        world.run(CHECK);
        most = most.max(world.shares());
        left = left.saturating_sub(CHECK);
    }
    expect_that!(most, le(MOST), "{what}, {} gateways", world.rosters.len());
}

fn stop(world: &mut World, gateways: Range<usize>) {
    for number in gateways {
        world.rosters[number] = None;
    }
}

fn restart(world: &mut World, gateways: Range<usize>) {
    for number in gateways {
        world.restart(number);
    }
}

/// Expects that nothing of what the fleet shares is left unused.
fn expect_whole(world: &mut World, what: &str) {
    run(world, KNOWN_WITHIN, what);
    let count = world.rosters.len();
    expect_that!(world.shares(), ge(LEAST), "{what}, {count} gateways");
}

/// Guards against gateways that each take the whole, because they started while they could reach nobody.
#[gtest]
fn gateways_that_start_while_the_seeds_are_away_take_no_more_than_the_whole() {
    for count in FLEETS.into_iter().chain([LARGEST]) {
        let mut world = if count == LARGEST {
            World::start(count)
        } else {
            settled(count)
        };
        stop(&mut world, 0..count);
        restart(&mut world, SEEDS..count);
        run(&mut world, Duration::from_secs(6), "seeds away");
        for seed in 0..SEEDS {
            restart(&mut world, seed..seed + 1);
            run(
                &mut world,
                Duration::from_secs(3),
                "seeds back one after the other",
            );
        }
        expect_whole(&mut world, "seeds back");
    }
}

/// Guards against shares that grow or are lost as gateways restart one after the other, with and without seeds.
#[gtest]
fn restarts_in_series_change_nothing_in_the_sum_of_the_shares() {
    for count in FLEETS {
        let mut world = settled(count);
        for number in 0..count.min(12) {
            restart(&mut world, number..number + 1);
            run(&mut world, Duration::from_millis(900), "restarts in series");
        }
        expect_whole(&mut world, "after restarts in series");
        stop(&mut world, 0..SEEDS);
        for number in SEEDS..count.min(12) {
            restart(&mut world, number..number + 1);
            run(
                &mut world,
                Duration::from_millis(900),
                "restarts in series without seeds",
            );
        }
        restart(&mut world, 0..SEEDS);
        expect_whole(&mut world, "after restarts in series without seeds");
    }
}

/// Guards against two sides of a network partition that each take the whole after they restarted.
#[gtest]
fn sides_of_a_partition_that_restart_take_no_more_than_the_whole_together() {
    for count in FLEETS {
        for cut in [count / 2, 1, 2].into_iter().take(variants(count)) {
            let mut world = settled(count);
            world.cut = cut;
            restart(&mut world, 0..count);
            run(&mut world, KNOWN_WITHIN, "restarted in a partition");
            world.cut = 0;
            expect_whole(&mut world, "after a partition");
            world.cut = cut;
            restart(&mut world, cut.max(SEEDS)..count);
            run(
                &mut world,
                KNOWN_WITHIN,
                "one side restarted in a partition",
            );
            world.cut = 0;
            expect_whole(&mut world, "after a second partition");
        }
    }
}

/// Guards against gateways that restart while the others are frozen and take these for gone.
#[gtest]
fn gateways_that_restart_while_others_are_frozen_take_no_more_than_the_whole() {
    for count in FLEETS {
        let variants_of_frozen = [count / 2..count, 0..SEEDS, SEEDS..count];
        for frozen in variants_of_frozen.into_iter().take(variants(count)) {
            let mut world = settled(count);
            world.frozen[frozen.clone()].fill(true);
            let restarted = if frozen.start == 0 {
                SEEDS..count
            } else {
                0..frozen.start
            };
            restart(&mut world, restarted);
            run(
                &mut world,
                Duration::from_secs(8),
                "restarted beside frozen ones",
            );
            world.frozen.fill(false);
            expect_whole(&mut world, "after a freeze");
        }
    }
}

/// Guards against shares that are lost for good because a message told of a fleet that can't be.
#[gtest]
fn a_size_that_no_fleet_has_is_ignored() {
    let mut world = settled(FLEETS[0]);
    for roster in world.rosters.iter_mut().flatten() {
        roster.receive_size(u32::MAX, KNOWN_WITHIN);
    }
    expect_whole(&mut world, "told of too large a fleet");
}
