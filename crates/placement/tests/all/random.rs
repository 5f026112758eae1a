//! Random runs with lost orders, delayed observations, and presets that change during a rollout.

use googletest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fleet::Fleet;
use crate::fleet::Limit;

const RUNS: u64 = 30;
const STEPS: usize = 6_000;

#[gtest]
fn a_pool_keeps_its_minimum_and_converges() {
    for seed in 1..=RUNS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let groups = rng.random_range(2..10);
        let cap = rng.random_range(1..4);
        let minimum = rng.random_range(0..groups);
        let mut fleet = Fleet::new(groups, minimum, Limit::Capped(cap));
        for step in 0..STEPS {
            if step < STEPS / 3 && rng.random_ratio(1, 400) {
                fleet.publish();
            }
            fleet.step(&mut rng, 20);
            assert!(fleet.open() >= minimum, "seed {seed} step {step}");
            assert_eq!(fleet.cut_streams, 0, "seed {seed} step {step}");
        }
        assert_that!(fleet.is_converged(), eq(true), "seed {seed}");
    }
}

#[gtest]
fn no_more_than_the_cap_close_under_one_revision() {
    for seed in 1..=RUNS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let cap = rng.random_range(1..4);
        let mut fleet = Fleet::new(8, 0, Limit::Capped(cap));
        fleet.publish();
        for _ in 0..STEPS {
            fleet.step(&mut rng, 20);
            assert!(fleet.closed() <= cap, "seed {seed}");
        }
        assert_that!(fleet.is_converged(), eq(true), "seed {seed}");
    }
}

#[gtest]
fn all_at_once_breaks_the_minimum() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut fleet = Fleet::new(8, 6, Limit::Unlimited);
    fleet.publish();
    let mut fewest = 8;
    for _ in 0..STEPS {
        fleet.step(&mut rng, 20);
        fewest = fewest.min(fleet.open());
    }
    assert_that!(fewest, lt(6));
}
