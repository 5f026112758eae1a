//! Weighing of changes: predicted gain against loads and disruption.
//!
//! A step takes the sum of its layers' slowest ranks, so gains add up over layers and each layer
//! is weighed alone; only the cost of disrupting steps is shared by all. In a layer the first part
//! of the searched path with the best gain less costs is taken, if its gain exceeds what noise in
//! the estimate may feign.

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
use crate::search::Outlook;
use crate::search::Path;
use crate::skew;
use crate::skew::Ranks;
use crate::skew::Skew;
use crate::to_f64;

/// Bytes in a gibibyte.
const GIBIBYTE: f64 = 1_073_741_824.0;

/// What gains and costs are worth.
#[derive(Clone, Copy, Debug)]
pub struct CostModel {
    /// Time saved over the horizon for each unit by which a layer's slowest rank gets faster.
    pub saved: f64,
    /// Gain for each second saved.
    pub second: f64,
    /// Cost of one load.
    pub load: f64,
    /// Cost of a step disrupted.
    pub step: f64,
}

impl CostModel {
    /// CostModel of a group whose layers handle `rate` tokens a second, each in `token_time` seconds.
    #[must_use]
    pub fn new(config: &Config, weights: &Rebalance, rate: f64, token_time: f64) -> Self {
        Self {
            saved: rate * token_time * config.horizon.as_secs_f64(),
            second: weights.skew_weight,
            load: weights.move_weight * bytes(config, 1) / GIBIBYTE,
            step: weights.disruption_weight,
        }
    }
}

/// A new map with its forecast.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// Layers of the new map.
    pub layers: Vec<Layer>,
    /// What is predicted of it.
    pub forecast: Forecast,
    /// Whether it pays for the disruption with the margin asked.
    pub is_worthwhile: bool,
}

/// Proposes the smallest changes that pay, `None` when no layer's do.
#[must_use]
pub fn changes(
    map: &Map,
    popularity: &[Shares],
    config: &Config,
    prices: &CostModel,
) -> Option<Proposal> {
    let ranks = usize::from(map.ranks);
    let even = Ranks::even(ranks);
    let mut layers = map.layers.clone();
    let mut changed = false;
    for (layer, shares) in layers.iter_mut().zip(popularity) {
        let span = skew::summarize(&skew::times(layer, &shares.mean, &even));
        let floor = least_gain(layer, ranks, shares, config, span.mean);
        if span.slowest - span.mean < floor {
            continue;
        }
        let outlook = Outlook {
            now: &shares.mean,
            later: &shares.later,
            slowness: &[],
            may_empty: false,
        };
        let path = search::improve(layer, ranks, outlook, config.max_changes);
        let count = best_prefix(&path, floor, config, prices);
        if count > 0 {
            *layer = path.apply(layer, count);
            changed = true;
        }
    }
    changed.then(|| propose(map, layers, popularity, Plan::Changes, config, prices))
}

/// Proposes a map laid out anew; `None` when the places do not suffice.
#[must_use]
pub fn repack(
    map: &Map,
    popularity: &[Shares],
    config: &Config,
    prices: &CostModel,
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
        prices,
    ))
}

/// Returns the skew of `layers` under `popularity` with every rank in order.
#[must_use]
pub fn predict(layers: &[Layer], popularity: &[Shares], ranks: &Ranks) -> Skew {
    let spans = layers
        .iter()
        .zip(popularity)
        .map(|(layer, shares)| skew::summarize(&skew::times(layer, &shares.mean, ranks)));
    Skew {
        layers: spans.collect(),
    }
}

fn propose(
    map: &Map,
    layers: Vec<Layer>,
    popularity: &[Shares],
    plan: Plan,
    config: &Config,
    prices: &CostModel,
) -> Proposal {
    let even = Ranks::even(usize::from(map.ranks));
    let before = predict(&map.layers, popularity, &even);
    let after = predict(&layers, popularity, &even);
    let gained = slowest(&before) - slowest(&after);
    let (loads, most) = loads(map, &layers);
    let steps = config.steps_per_change + config.steps_per_load * to_f64(most);
    let gain = gained * prices.saved * prices.second;
    let cost = to_f64(loads) * prices.load + steps * prices.step;
    let forecast = Forecast {
        plan,
        skew: after.overall(),
        saved: Duration::try_from_secs_f64(gained * prices.saved).unwrap_or(Duration::ZERO),
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
    skew.layers.iter().map(|span| span.slowest).sum()
}

/// Places that change: of all ranks, and of the rank with most.
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

/// Gain of a layer that noise in the estimate does not feign.
fn least_gain(layer: &Layer, ranks: usize, shares: &Shares, config: &Config, mean: f64) -> f64 {
    let error = standard_error(layer, ranks, shares);
    (config.significance * error).max(config.min_gain * mean)
}

/// Largest standard error of a rank's load.
fn standard_error(layer: &Layer, ranks: usize, shares: &Shares) -> f64 {
    let places = layer.0.len() / ranks.max(1);
    let mut copies = vec![0.0; shares.mean.len()];
    for &expert in &layer.0 {
        copies[usize::from(expert)] += 1.0;
    }
    let variance = |expert: &u16| {
        let expert = usize::from(*expert);
        shares.variance[expert] / (copies[expert] * copies[expert])
    };
    layer
        .0
        .chunks(places.max(1))
        .map(|held| held.iter().map(variance).sum::<f64>())
        .fold(0.0, f64::max)
        .sqrt()
}

/// First part of the path with the best gain less costs, of those that gain at least `floor`.
fn best_prefix(path: &Path, floor: f64, config: &Config, prices: &CostModel) -> usize {
    let start = path.points[0].slowest;
    let mut best = (0, 0.0);
    for (count, point) in path.points.iter().enumerate().skip(1) {
        let gained = start - point.slowest;
        let gain = gained * prices.saved * prices.second;
        let score = gain - config.margin * to_f64(point.loads) * prices.load;
        if gained >= floor && score > best.1 {
            best = (count, score);
        }
    }
    best.0
}

#[expect(
    clippy::cast_precision_loss,
    reason = "sizes of weights need no last bits"
)]
fn bytes(config: &Config, loads: u64) -> f64 {
    config.expert_bytes.saturating_mul(loads) as f64
}
