//! Upstreams that ask each gateway to back off: what reaches them from a gateway that was asked.

use std::time::Duration;

use googletest::prelude::*;

use super::LIMITED;
use super::NAMED;
use super::World;

const BACKOFF: Duration = Duration::from_secs(3);
/// Gateways of each fleet.
const FLEETS: [usize; 3] = [6, 98, 340];

fn start(count: usize, seed: u64) -> World {
    let mut world = World::start(count, 30.0, seed);
    world.backoff = Some(BACKOFF);
    world
}

/// Expects that each upstream was asked again after its time, and got nothing before from those it had asked.
fn expect_heeded(world: &World) {
    let gateways = world.nodes.len();
    expect_that!(world.unwanted, eq(0), "{gateways} gateways");
    for arrived in &world.arrived[..LIMITED] {
        let later = arrived.iter().filter(|(at, _)| *at >= NAMED + BACKOFF * 2);
        expect_that!(later.count(), gt(0), "{gateways} gateways");
    }
}

/// Guards against gateways that go on sending to an upstream which asked them for backoff.
#[gtest]
fn backoff_is_heeded_by_fleets_of_all_sizes() {
    for count in FLEETS {
        let mut world = start(count, 1);
        world.run();
        expect_heeded(&world);
    }
}

/// Guards against a time that is forgotten or stretched while gateways start, stop, freeze and are cut off.
#[gtest]
fn backoff_is_heeded_while_gateways_start_stop_freeze_and_are_cut() {
    for count in FLEETS {
        for seed in 1..=3 {
            println!("seed {seed}");
            let mut world = start(count, seed);
            world.add_faults(seed);
            world.run();
            expect_heeded(&world);
        }
    }
}
