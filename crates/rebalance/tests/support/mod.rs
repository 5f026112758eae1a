//! Small groups with seeded noise.

use std::time::Duration;

use auburnline_core::expert::Layer;
use auburnline_core::expert::Map;
use auburnline_core::published::Rebalance;
use auburnline_rebalance::Config;
use auburnline_rebalance::Counts;
use auburnline_rebalance::counts::Shape;
use auburnline_rebalance::counts::Work;
use auburnline_rebalance::pack;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Time between reports.
pub(crate) const SPAN: Duration = Duration::from_secs(30);
/// Seconds a token takes on a rank in order.
pub(crate) const TOKEN_SECONDS: f64 = 2e-7;
/// Tokens of a layer in a report.
pub(crate) const TOKENS: f64 = 4e6;
/// Weights that make moves cheap.
pub(crate) const CHEAP: Rebalance = Rebalance {
    skew_weight: 1.0,
    move_weight: 0.1,
    disruption_weight: 0.05,
};

/// A small group.
pub(crate) const SHAPE: Shape = Shape {
    layers: 4,
    experts: 32,
    ranks: 8,
};
/// Places of each rank, one of them spare.
pub(crate) const PLACES: usize = 5;

/// Seed from the environment, or the fixed one.
pub(crate) fn seed() -> u64 {
    let text = std::env::var("AUBURNLINE_SEED").ok();
    let seed = text.and_then(|text| text.parse().ok()).unwrap_or(2_027);
    println!("seed {seed}");
    seed
}

/// Reports of a run, from the environment or `count`.
pub(crate) fn events(count: u64) -> u64 {
    let text = std::env::var("AUBURNLINE_EVENTS").ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(count)
}

/// Planner's settings for the small group: whole layers of few bytes.
pub(crate) fn config() -> Config {
    Config::builder().expert_bytes(44_040_192).build()
}

/// Popularity whose hottest expert is some ten times the coldest.
pub(crate) fn shares(rng: &mut ChaCha8Rng) -> Vec<Vec<f64>> {
    (0..SHAPE.layers)
        .map(|_| {
            let raw: Vec<f64> = (0..SHAPE.experts)
                .map(|_| rng.random_range(0.2_f64..2.0).powi(2))
                .collect();
            let total: f64 = raw.iter().sum();
            raw.iter().map(|share| share / total).collect()
        })
        .collect()
}

/// Best packing of `shares`.
pub(crate) fn packed(shares: &[Vec<f64>]) -> Map {
    let ranks = usize::from(SHAPE.ranks);
    let layers: Vec<Layer> = shares
        .iter()
        .map(|shares| pack::refined(shares, ranks, PLACES).expect("enough places"))
        .collect();
    Map {
        generation: 1,
        ranks: SHAPE.ranks,
        experts: SHAPE.experts,
        layers,
    }
}

/// A noisy report of `shares` under `map`, with the slowness of each rank.
pub(crate) fn report(
    rng: &mut ChaCha8Rng,
    sequence: u64,
    shares: &[Vec<f64>],
    map: &Map,
    slowness: &[f64],
) -> Counts {
    let layers: Vec<Vec<u32>> = shares
        .iter()
        .map(|shares| {
            shares
                .iter()
                .map(|share| rounded(share * TOKENS * rng.random_range(0.9..1.1)))
                .collect()
        })
        .collect();
    let ranks = (0..map.ranks).map(|rank| work(map, &layers, rank, slowness));
    Counts {
        sequence,
        age: Duration::from_secs(5),
        span: SPAN,
        ranks: ranks.collect(),
        layers,
    }
}

fn work(map: &Map, layers: &[Vec<u32>], rank: u16, slowness: &[f64]) -> Work {
    let mut tokens = 0.0;
    for (index, counts) in layers.iter().enumerate() {
        let layer = &map.layers[index].0;
        for expert in map.hosted(index, rank) {
            let copies = layer.iter().filter(|other| *other == expert).count();
            let copies = u32::try_from(copies).expect("few replicas");
            tokens += f64::from(counts[usize::from(*expert)]) / f64::from(copies);
        }
    }
    let seconds = tokens * TOKEN_SECONDS * slowness[usize::from(rank)];
    Work {
        tokens: u64::from(rounded(tokens)),
        busy: Duration::from_secs_f64(seconds),
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts are positive and far below the limit"
)]
fn rounded(value: f64) -> u32 {
    value.round() as u32
}
