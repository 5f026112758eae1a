//! Upstreams that ask each gateway for backoff: they must get no requests from a gateway that they
//! asked.

use std::time::Duration;

use googletest::prelude::*;

use super::ANNOUNCED;
use super::LIMITED;
use super::World;
use super::run_fleets;

const BACKOFF: Duration = Duration::from_secs(3);

fn start(count: usize, seed: u64) -> World {
    let mut world = World::start(count, 30.0, seed);
    world.backoff = Some(BACKOFF);
    world
}

/// Expects that each upstream got no requests from a gateway during the backoff that it had asked
/// it for, and got requests again afterwards.
fn expect_obeyed(world: &World) {
    let gateways = world.nodes.len();
    expect_that!(world.unwanted, eq(0), "{gateways} gateways");
    for arrived in &world.arrived[..LIMITED] {
        let later = arrived
            .iter()
            .filter(|(at, _)| *at >= ANNOUNCED + BACKOFF * 2);
        expect_that!(later.count(), gt(0), "{gateways} gateways");
    }
}

/// Guards against gateways that still send to an upstream which asked them for backoff, and against
/// backoff that ends too early or too late while gateways start, stop, freeze and are cut off.
#[gtest]
fn backoff_is_heeded_by_fleets_that_start_stop_freeze_and_are_cut() {
    run_fleets(start, expect_obeyed);
}
