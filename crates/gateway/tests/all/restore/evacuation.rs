//! Evacuations in whole fleets, and through restores of the store.

use std::time::Duration;

use googletest::prelude::*;
use rand::Rng as _;

use super::FLEETS;
use super::World;
use crate::support::millis;

/// Guards against sends to an evacuated failure domain, or none to one that is back, where
/// evacuations follow each other while gateways start, are suspended and lose the store.
#[gtest]
fn evacuations_in_series_are_followed_where_gateways_freeze_start_and_lose_the_store() {
    for (count, seeds) in FLEETS.into_iter().zip([6, 3, 1]) {
        for seed in 1..=seeds {
            let mut world = World::start(count, seed);
            world.run(Duration::from_secs(4));
            for round in 0..6 {
                world.evacuate(round % 2 == 0);
                world.inject_faults();
                let wait = world.rng.random_range(300..8_000);
                world.run(millis(wait));
                if round == 3 {
                    world.store.is_down = true;
                    world.run(Duration::from_secs(2));
                    world.store.is_down = false;
                    world.evacuated_at = world.evacuated_at.map(|_| world.now);
                    world.returned_at = world.returned_at.map(|_| world.now);
                }
            }
            world.run(Duration::from_secs(8));
            expect_that!(
                world.violations,
                is_empty(),
                "{count} gateways, seed {seed}"
            );
        }
    }
}

/// Guards against losing an evacuation that a backup lacks, and against reviving one that had ended
/// when the store was restored.
#[gtest]
fn a_restored_store_neither_ends_nor_revives_an_evacuation() {
    for count in FLEETS {
        let mut world = World::start(count, 1);
        world.run(Duration::from_secs(4));
        let before = world.store.history.len();
        world.evacuate(true);
        world.run(Duration::from_secs(4));
        world.store.restore(before);
        world.run(Duration::from_secs(4));
        let during = world.store.history.len() + 1;
        world.evacuate(true);
        world.run(Duration::from_secs(4));
        world.evacuate(false);
        world.run(Duration::from_secs(4));
        world.store.restore(during);
        world.run(Duration::from_secs(4));
        expect_that!(world.violations, is_empty(), "{count} gateways");
    }
}
