//! A small simulated group whose reports have seeded noise.

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
/// Seconds that a rank of usual speed takes per token.
pub(crate) const TOKEN_SECONDS: f64 = 2e-7;
/// Number of tokens of a layer in a report.
pub(crate) const TOKENS: f64 = 4e6;
/// Preset weights under which loads and disruption cost little.
pub(crate) const CHEAP: Rebalance = Rebalance {
    skew_weight: 1.0,
    move_weight: 0.1,
    disruption_weight: 0.05,
};

/// Dimensions of the group.
pub(crate) const SHAPE: Shape = Shape {
    layers: 4,
    experts: 32,
    ranks: 8,
};
/// Number of places of each rank in each layer; one of them is spare.
pub(crate) const PLACES: usize = 5;

/// Returns the seed from the environment, or a fixed one.
pub(crate) fn seed() -> u64 {
    let text = std::env::var("AUBURNLINE_SEED").ok();
    let seed = text.and_then(|text| text.parse().ok()).unwrap_or(2_027);
    println!("seed {seed}");
    seed
}

/// Returns the number of reports of a run from the environment, or `count`.
pub(crate) fn events(count: u64) -> u64 {
    let text = std::env::var("AUBURNLINE_EVENTS").ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(count)
}

/// Returns the planner's settings: the defaults, with the size of an expert spelled out.
pub(crate) fn config() -> Config {
    Config::builder().expert_bytes(44_040_192).build()
}

/// Draws popularities; that of the hottest expert is at most 100 times that of the coldest.
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

/// Returns a map packed and refined for `shares`.
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

/// Returns a noisy report of `shares` under `map`, for ranks of the given slowness.
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
            let replicas = layer.iter().filter(|other| *other == expert).count();
            let replicas = u32::try_from(replicas).expect("few replicas");
            tokens += f64::from(counts[usize::from(*expert)]) / f64::from(replicas);
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
