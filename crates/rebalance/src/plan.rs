//! Plans for a map: predicted gain against the costs of loads and disruption.
//!
//! A step takes the sum of its layers' slowest ranks, so gains add up over layers and each layer is
//! planned on its own; only the cost of disrupted steps is shared by all. Of a layer's search path, the
//! prefix with the best gain minus costs is taken, if its gain is larger than noise in the estimate
//! could explain.

use std::time::Duration;

use auburnline_core::expert::Layer;
use auburnline_core::expert::Map;
use auburnline_core::published::Rebalance;

use crate::config::Config;
use crate::decision::Forecast;
use crate::decision::Plan;
use crate::pack;
use crate::popularity::Shares;
use crate::search;
use crate::search::Conditions;
use crate::search::Path;
use crate::skew;
use crate::skew::Ranks;
use crate::skew::Skew;
use crate::to_f64;

/// Bytes in a gibibyte.
const GIBIBYTE: f64 = 1_073_741_824.0;

/// Value of gains and costs, in the common unit of a preset's weights.
#[derive(Clone, Copy, Debug)]
pub struct CostModel {
    /// Seconds saved over the horizon per unit of a layer's whole work taken off its slowest rank.
    pub seconds_saved: f64,
    /// Gain per second saved.
    pub per_second: f64,
    /// Cost of loading one expert into a place.
    pub per_load: f64,
    /// Cost per disrupted step.
    pub per_step: f64,
}

impl CostModel {
    /// Returns the model of a group whose layers each process `rate` tokens per second, and whose ranks
    /// take `token_time` seconds per token.
    #[must_use]
    pub fn new(config: &Config, weights: &Rebalance, rate: f64, token_time: f64) -> Self {
        Self {
            seconds_saved: rate * token_time * config.horizon.as_secs_f64(),
            per_second: weights.skew_weight,
            per_load: weights.move_weight * bytes(config, 1) / GIBIBYTE,
            per_step: weights.disruption_weight,
        }
    }
}

/// Layers of a new map, with the forecast for it.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// Layers of the new map, in order.
    pub layers: Vec<Layer>,
    /// Predicted gain and costs.
    pub forecast: Forecast,
    /// Whether the gain exceeds the costs by the configured margin.
    pub is_worthwhile: bool,
}

/// Proposes small changes of the layers; `None` if no layer gains more than noise and costs.
#[must_use]
pub fn changes(
    map: &Map,
    popularity: &[Shares],
    config: &Config,
    cost_model: &CostModel,
) -> Option<Proposal> {
    let ranks = usize::from(map.ranks);
    let even = Ranks::even(ranks);
    let mut layers = map.layers.clone();
    let mut changed = false;
    for (layer, shares) in layers.iter_mut().zip(popularity) {
        let summary = skew::summarize(&skew::times(layer, &shares.mean, &even));
        let floor = required_gain(layer, ranks, shares, config, summary.mean);
        if summary.slowest - summary.mean < floor {
            continue;
        }
        let conditions = Conditions {
            now: &shares.mean,
            later: &shares.later,
            slowness: &[],
            may_empty: false,
        };
        let path = search::improve(layer, ranks, conditions, config.max_changes);
        let count = best_prefix(&path, floor, config, cost_model);
        if count > 0 {
            *layer = path.apply(layer, count);
            changed = true;
        }
    }
    changed.then(|| propose(map, layers, popularity, Plan::Changes, config, cost_model))
}

/// Proposes a map built from scratch; `None` if the places do not suffice.
#[must_use]
pub fn repack(
    map: &Map,
    popularity: &[Shares],
    config: &Config,
    cost_model: &CostModel,
) -> Option<Proposal> {
    let even = vec![1.0; usize::from(map.ranks)];
    let layers: Option<Vec<Layer>> = popularity
        .iter()
        .map(|shares| pack::layer(&shares.mean, &even, map.places()))
        .collect();
    Some(propose(
        map,
        layers?,
        popularity,
        Plan::Repack,
        config,
        cost_model,
    ))
}

/// Returns the skew of `layers` under `popularity` for the given `ranks`.
#[must_use]
pub fn predict(layers: &[Layer], popularity: &[Shares], ranks: &Ranks) -> Skew {
    let summaries = layers
        .iter()
        .zip(popularity)
        .map(|(layer, shares)| skew::summarize(&skew::times(layer, &shares.mean, ranks)));
    Skew {
        layers: summaries.collect(),
    }
}

fn propose(
    map: &Map,
    layers: Vec<Layer>,
    popularity: &[Shares],
    plan: Plan,
    config: &Config,
    cost_model: &CostModel,
) -> Proposal {
    let even = Ranks::even(usize::from(map.ranks));
    let before = predict(&map.layers, popularity, &even);
    let after = predict(&layers, popularity, &even);
    let gained = slowest(&before) - slowest(&after);
    let (loads, most_of_a_rank) = loads(map, &layers);
    let steps = config.steps_per_change + config.steps_per_load * to_f64(most_of_a_rank);
    let gain = gained * cost_model.seconds_saved * cost_model.per_second;
    let cost = to_f64(loads) * cost_model.per_load + steps * cost_model.per_step;
    let forecast = Forecast {
        plan,
        skew: after.overall(),
        saved: Duration::try_from_secs_f64(gained * cost_model.seconds_saved)
            .unwrap_or(Duration::ZERO),
        loads,
        bytes: config.expert_bytes.saturating_mul(loads as u64),
        steps,
        score: gain - cost,
    };
    Proposal {
        layers,
        forecast,
        is_worthwhile: gain > cost * config.margin,
    }
}

fn slowest(skew: &Skew) -> f64 {
    skew.layers.iter().map(|summary| summary.slowest).sum()
}

/// Returns the number of places that change: on all ranks, and on the rank with the most.
fn loads(map: &Map, layers: &[Layer]) -> (usize, usize) {
    let places = map.places();
    let mut ranks = vec![0; usize::from(map.ranks)];
    for (old, new) in map.layers.iter().zip(layers) {
        for (place, (old, new)) in old.0.iter().zip(&new.0).enumerate() {
            ranks[place / places] += usize::from(old != new);
        }
    }
    (ranks.iter().sum(), ranks.iter().copied().max().unwrap_or(0))
}

/// Returns the gain that a layer must reach: above noise in the estimate, and at least the minimum.
fn required_gain(layer: &Layer, ranks: usize, shares: &Shares, config: &Config, mean: f64) -> f64 {
    let error = standard_error(layer, ranks, shares);
    (config.significance * error).max(config.min_gain * mean)
}

/// Returns the largest standard error of a rank's load.
fn standard_error(layer: &Layer, ranks: usize, shares: &Shares) -> f64 {
    let places = layer.0.len() / ranks.max(1);
    let mut replicas = vec![0.0; shares.mean.len()];
    for &expert in &layer.0 {
        replicas[usize::from(expert)] += 1.0;
    }
    let variance = |expert: &u16| {
        let expert = usize::from(*expert);
        shares.variance[expert] / (replicas[expert] * replicas[expert])
    };
    layer
        .0
        .chunks(places.max(1))
        .map(|held| held.iter().map(variance).sum::<f64>())
        .fold(0.0, f64::max)
        .sqrt()
}

/// Returns the length of the prefix of the path with the best gain minus costs, of those that gain at
/// least `floor`; zero if there is none.
fn best_prefix(path: &Path, floor: f64, config: &Config, cost_model: &CostModel) -> usize {
    let start = path.points[0].slowest;
    let mut best = (0, 0.0);
    for (count, point) in path.points.iter().enumerate().skip(1) {
        let gained = start - point.slowest;
        let gain = gained * cost_model.seconds_saved * cost_model.per_second;
        let score = gain - config.margin * to_f64(point.loads) * cost_model.per_load;
        if gained >= floor && score > best.1 {
            best = (count, score);
        }
    }
    best.0
}

#[expect(
    clippy::cast_precision_loss,
    reason = "the size of weights does not need full precision"
)]
fn bytes(config: &Config, loads: u64) -> f64 {
    config.expert_bytes.saturating_mul(loads) as f64
}
