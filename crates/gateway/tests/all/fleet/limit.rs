//! Rate limits that upstreams announce: all gateways together must keep to them.

use std::time::Duration;

use auburnline_quota::Rate;
use googletest::prelude::*;

use super::ANNOUNCED;
use super::END;
use super::Event;
use super::Fault;
use super::GRACE;
use super::LIMITED;
use super::Time;
use super::World;
use crate::support::millis;

/// Time from the first announcement of a limit until it must hold.
const STABILITY: Duration = Duration::from_secs(3);
/// Sliding window over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

impl World {
    /// Returns the maximum number of requests within a window that an upstream got from gateways
    /// that had received its limit.
    fn peak(&self, upstream: usize) -> usize {
        let counted: Vec<Time> = self.arrived[upstream]
            .iter()
            .filter(|(at, node)| {
                let limited_at = self.nodes[*node]
                    .as_ref()
                    .and_then(|node| node.limited_at[upstream]);
                *at >= ANNOUNCED + STABILITY
                    && limited_at.is_some_and(|limited_at| *at >= limited_at + GRACE)
            })
            .map(|(at, _)| *at)
            .collect();
        let mut first = 0;
        let within = counted.iter().enumerate().map(|(last, at)| {
            while at.saturating_sub(counted[first]) >= WINDOW {
                first += 1;
            }
            last + 1 - first
        });
        within.max().unwrap_or(0)
    }

    /// Returns the number of requests that an upstream got from all gateways while its limit held.
    fn total(&self, upstream: usize) -> usize {
        let arrived = self.arrived[upstream].iter();
        arrived
            .filter(|(at, _)| *at >= ANNOUNCED + STABILITY)
            .count()
    }
}

/// Expects that no upstream got more requests than its limit allows.
fn expect_held(world: &World) {
    let (gateways, rate) = (world.nodes.len(), world.rate);
    for upstream in 0..LIMITED {
        let peak = world.peak(upstream);
        expect_that!(peak, le(allowed(rate)), "{gateways} gateways, {rate}/s");
    }
}

/// Expects that each upstream got at least half of the requests that its limit allows.
fn expect_used(world: &World) {
    let (gateways, rate) = (world.nodes.len(), world.rate);
    let time = END.saturating_sub(ANNOUNCED + STABILITY).as_secs_f64();
    let half = whole(rate * time / 2.0);
    for upstream in 0..LIMITED {
        let total = world.total(upstream);
        expect_that!(total, ge(half), "{gateways} gateways, {rate}/s");
    }
}

/// Returns the number of requests that a limit allows in a window: 1.5 times what its rate gives,
/// plus 5.
fn allowed(rate: Rate) -> usize {
    whole(rate * WINDOW.as_secs_f64() * 1.5) + 5
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a small positive number, rounded down"
)]
fn whole(requests: f64) -> usize {
    requests as usize
}

/// Number of gateways of each fleet, and requests per second that each upstream accepts.
const FLEETS: [(usize, Rate); 6] = [
    (6, 1.0),
    (6, 12.0),
    (98, 1.0),
    (98, 30.0),
    (340, 0.5),
    (340, 20.0),
];

/// Guards against gateways that each use the whole limit, so that an upstream in need gets as many
/// times its limit as there are gateways.
#[gtest]
fn a_limit_holds_for_fleets_of_all_sizes_and_is_used() {
    for (count, rate) in FLEETS {
        let mut world = World::start(count, rate, 1);
        world.run();
        expect_held(&world);
        expect_used(&world);
    }
}

/// Guards against two gateways that both grant permits of one limit, as its home, while gateways
/// start, stop, freeze and are cut off.
#[gtest]
fn a_limit_holds_while_gateways_start_stop_freeze_and_are_cut() {
    for (count, rate) in FLEETS {
        let seeds = if count < 300 { 3 } else { 1 };
        for seed in 1..=seeds {
            println!("seed {seed}");
            let mut world = World::start(count, rate, seed);
            world.add_faults(seed);
            world.run();
            expect_held(&world);
        }
    }
}

/// Guards against shares that all gateways accumulate while idle and then use at the same moment.
#[gtest]
fn a_limit_holds_in_a_wave_of_callers_after_a_quiet_time() {
    for (count, rate) in FLEETS {
        let mut world = World::start(count, rate, 1);
        world.idle = ANNOUNCED + Duration::from_secs(2)..ANNOUNCED + Duration::from_secs(7);
        world.run();
        expect_held(&world);
    }
}

/// Guards against an underused upstream when callers use few gateways, which only have a small
/// share of its limit.
#[gtest]
fn a_limit_is_used_where_callers_use_few_gateways() {
    for (count, rate) in FLEETS {
        let mut world = World::start(count, rate, 1);
        world.active_gateways = 3;
        world.pause = Duration::from_secs_f64(3.0 / (rate * 40.0).max(60.0));
        world.run();
        expect_used(&world);
    }
}

/// Guards against two halves of a partitioned fleet that each permit the whole limit.
#[gtest]
fn a_limit_holds_while_the_fleet_is_split_in_two() {
    for (count, rate) in FLEETS {
        let mut world = World::start(count, rate, 1);
        world.split = ANNOUNCED + Duration::from_secs(1)..END;
        world.run();
        expect_held(&world);
    }
}

/// Guards against an underused upstream during a rolling restart of gateways.
#[gtest]
fn a_limit_is_used_while_gateways_restart_in_turn() {
    for (count, rate) in [(6, 12.0), (98, 30.0)] {
        let mut world = World::start(count, rate, 1);
        for node in 0..count.min(10) {
            let turn = Duration::from_secs(1).saturating_mul(u32::try_from(node).expect("few"));
            world.schedule(
                ANNOUNCED + STABILITY + turn,
                node,
                Event::Fault(Fault::Restart(millis(500))),
            );
        }
        world.run();
        expect_held(&world);
        expect_used(&world);
    }
}

/// Guards against shares of a limit or of the retry budget that add up to more than the whole
/// because gateways underestimate the size of their fleet.
#[gtest]
fn gateways_know_the_size_of_a_large_fleet() {
    let count = 340;
    let mut world = World::start(count, 1.0, 1);
    world.run();
    let nodes = world.nodes.iter().flatten();
    let least = nodes.map(|node| node.gateway.roster.peak_members()).min();
    expect_that!(least, some(ge(count * 97 / 100)));
}
