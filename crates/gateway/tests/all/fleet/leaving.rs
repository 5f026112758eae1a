//! Upstreams that say in their answers that they leave, while the list has them ready: what reaches them from a gateway that passed
//! such an answer on.

use std::time::Duration;

use googletest::prelude::*;

use super::LIMITED;
use super::NAMED;
use super::World;

/// Time at which the upstreams begin to say so, while they have a limit: permits are on their way.
const LEAVING: Duration = Duration::from_secs(8);
/// Gateways of each fleet.
const FLEETS: [usize; 3] = [6, 98, 340];

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

/// Guards against gateways that go on sending to an upstream which told them that it leaves.
#[gtest]
fn leaving_is_heeded_by_fleets_of_all_sizes() {
    for count in FLEETS {
        let mut world = start(count, 1);
        world.run();
        expect_heeded(&world);
    }
}

/// Guards against a word that is forgotten or taken back while gateways start, stop, freeze and are cut off.
#[gtest]
fn leaving_is_heeded_while_gateways_start_stop_freeze_and_are_cut() {
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
