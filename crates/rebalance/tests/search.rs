//! Tests of the search for small changes of one layer.

use auburnline_core::expert::Layer;
use auburnline_rebalance::pack;
use auburnline_rebalance::search;
use auburnline_rebalance::search::Conditions;
use auburnline_rebalance::skew;
use auburnline_rebalance::skew::Ranks;
use googletest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const RANKS: usize = 4;

fn random_shares(rng: &mut ChaCha8Rng, count: usize) -> Vec<f64> {
    let raw: Vec<f64> = (0..count).map(|_| rng.random_range(0.1..1.0)).collect();
    let total: f64 = raw.iter().sum();
    raw.iter().map(|share| share / total).collect()
}

fn slowest(layer: &Layer, shares: &[f64]) -> f64 {
    skew::summarize(&skew::times(layer, shares, &Ranks::even(RANKS))).slowest
}

#[gtest]
fn a_strong_drift_does_not_stop_the_search() {
    let layer = Layer(vec![0, 1, 2, 3, 4, 5, 6, 7]);
    let now = [0.3, 0.2, 0.1, 0.1, 0.1, 0.1, 0.05, 0.05];
    let later = [0.93, 0.01, 0.01, 0.01, 0.01, 0.01, 0.01, 0.01];
    let conditions = Conditions {
        now: &now,
        later: &later,
        slowness: &[],
        may_empty: false,
    };
    let path = search::improve(&layer, RANKS, conditions, 4);
    expect_that!(path.changes, not(is_empty()));
    expect_that!(path.points.last().unwrap().slowest, lt(0.4));
}

#[gtest]
fn paths_keep_every_expert_and_tell_true_loads() {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    for _ in 0..200 {
        let (now, later) = (random_shares(&mut rng, 12), random_shares(&mut rng, 12));
        let start = pack::layer(&later, &[1.0; RANKS], 4).expect("enough places");
        let conditions = Conditions {
            now: &now,
            later: &later,
            slowness: &[],
            may_empty: false,
        };
        let path = search::improve(&start, RANKS, conditions, 12);
        for (count, point) in path.points.iter().enumerate() {
            let layer = path.apply(&start, count);
            let held = |expert: &u16| layer.0.contains(expert);
            expect_that!((0..12).filter(held).count(), eq(12));
            expect_that!(point.slowest, near(slowest(&layer, &now), 1e-9));
            let changed = layer.0.iter().zip(&start.0).filter(|(a, b)| a != b);
            expect_that!(point.loads, eq(changed.count()));
        }
    }
}

#[gtest]
fn packing_uses_each_place_and_puts_fewer_tokens_on_a_slow_rank() {
    let shares = random_shares(&mut ChaCha8Rng::seed_from_u64(12), 12);
    let layer = pack::layer(&shares, &[1.0, 1.0, 1.0, 2.0], 4).expect("enough places");
    expect_that!(layer.0, len(eq(16)));
    let times = skew::times(&layer, &shares, &Ranks::even(RANKS));
    expect_that!(times[3], lt(times[0]));
    expect_that!(pack::layer(&shares, &[1.0; RANKS], 2), none());
}

/// One rank takes ten times as long for the same load. It drops the replica that another rank holds as well, and
/// loads none in its place.
#[gtest]
fn a_rank_that_almost_stands_gives_up_what_others_hold() {
    let shares = [0.25; 4];
    let layer = Layer(vec![0, 1, 0, 2, 1, 3, 2, 3]);
    let slowness = [1.0, 10.0, 1.0, 1.0];
    let conditions = Conditions::steady(&shares)
        .slowed(&slowness)
        .with_empty_places();
    let path = search::improve(&layer, RANKS, conditions, 4);
    let after = path.apply(&layer, path.changes.len());
    let slow = &after.0[2..4];
    expect_that!(slow[0], eq(slow[1]));
    // The slow rank has a load of 0.125 instead of 0.25, times its slowness of ten.
    expect_that!(path.points[0].slowest, near(2.5, 1e-9));
    expect_that!(path.points[1].slowest, near(1.25, 1e-9));
}
