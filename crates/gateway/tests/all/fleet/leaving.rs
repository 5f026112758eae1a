//! Upstreams that say in their answers that they leave, while the list has them ready: what reaches them from a gateway that passed
//! such an answer on.

use std::time::Duration;

use googletest::prelude::*;

use super::LIMITED;
use super::NAMED;
use super::World;
use super::play;

/// Time at which the upstreams begin to say so, while they have a limit: permits are on their way.
const LEAVING: Duration = Duration::from_secs(8);

fn start(count: usize, seed: u64) -> World {
    let mut world = World::start(count, 30.0, seed);
    world.leaving_from = Some(LEAVING);
    world
}

/// Expects that the upstreams were used until they left, and got nothing from gateways that knew it.
fn expect_heeded(world: &World) {
    let gateways = world.nodes.len();
    expect_that!(world.unwanted, eq(0), "{gateways} gateways");
    for arrived in &world.arrived[..LIMITED] {
        let before = arrived
            .iter()
            .filter(|(at, _)| *at >= NAMED && *at < LEAVING);
        expect_that!(before.count(), gt(0), "{gateways} gateways");
    }
    let nodes = world.nodes.iter().flatten();
    let told = nodes.filter(|node| node.knows_leaving.contains(&true));
    expect_that!(told.count(), gt(0), "{gateways} gateways");
}

/// Guards against gateways that go on sending to an upstream which told them that it leaves, and against a word that is forgotten or
/// taken back while they start, stop, freeze and are cut off.
#[gtest]
fn leaving_is_heeded_by_fleets_that_start_stop_freeze_and_are_cut() {
    play(start, expect_heeded);
}
