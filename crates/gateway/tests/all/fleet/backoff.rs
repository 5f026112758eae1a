//! Upstreams that ask each gateway to back off: what reaches them from a gateway that was asked.

use std::time::Duration;

use googletest::prelude::*;

use super::LIMITED;
use super::NAMED;
use super::World;
use super::play;

const BACKOFF: Duration = Duration::from_secs(3);

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

/// Guards against gateways that go on sending to an upstream which asked them for backoff, and against a time that is forgotten or
/// stretched while they start, stop, freeze and are cut off.
#[gtest]
fn backoff_is_heeded_by_fleets_that_start_stop_freeze_and_are_cut() {
    play(start, expect_heeded);
}
