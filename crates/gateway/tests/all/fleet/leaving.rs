//! Upstreams that say in their answers that they leave, while the published list has them as ready:
//! they must get no requests from a gateway that received such an answer.

use std::time::Duration;

use googletest::prelude::*;

use super::ANNOUNCED;
use super::LIMITED;
use super::World;
use super::run_fleets;

/// When the upstreams begin to leave. They have a limit, so that permits are in transit at that
/// time.
const LEAVING: Duration = Duration::from_secs(8);

fn start(count: usize, seed: u64) -> World {
    let mut world = World::start(count, 30.0, seed);
    world.leaving_from = Some(LEAVING);
    world
}

/// Expects that the upstreams got requests until they left, and none from gateways that knew it.
fn expect_obeyed(world: &World) {
    let gateways = world.nodes.len();
    expect_that!(world.unwanted, eq(0), "{gateways} gateways");
    for arrived in &world.arrived[..LIMITED] {
        let before = arrived
            .iter()
            .filter(|(at, _)| *at >= ANNOUNCED && *at < LEAVING);
        expect_that!(before.count(), gt(0), "{gateways} gateways");
    }
    let nodes = world.nodes.iter().flatten();
    let informed = nodes.filter(|node| node.knows_leaving.contains(&true));
    expect_that!(informed.count(), gt(0), "{gateways} gateways");
}

/// Guards against gateways that still send to an upstream which informed them that it leaves, and
/// against a departure that is forgotten or revoked while gateways start, stop, freeze and are cut
/// off.
#[gtest]
fn leaving_is_heeded_by_fleets_that_start_stop_freeze_and_are_cut() {
    run_fleets(start, expect_obeyed);
}
