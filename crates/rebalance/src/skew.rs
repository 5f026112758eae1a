//! Predicted skew of the ranks' step times under a map.
//!
//! An expert's tokens are split evenly over its replicas unless a rank's share is lowered
//! ([`Ranks::share`]). A rank's time in a layer is its tokens times its slowness. Layers
//! synchronise, so a step takes the sum over the layers of the slowest rank's time.

use auburnline_core::expert::Layer;
use auburnline_core::expert::Map;

use crate::to_f64;

/// What is known of each rank.
#[derive(Clone, Debug, PartialEq)]
pub struct Ranks {
    /// Time per token over the usual time, 1.0 for a rank in order.
    pub slowness: Vec<f64>,
    /// Part that the rank takes of an expert that other ranks hold too, 1.0 for an even part.
    pub share: Vec<f64>,
}

impl Ranks {
    /// Returns `ranks` ranks in order.
    #[must_use]
    pub fn even(ranks: usize) -> Self {
        Self {
            slowness: vec![1.0; ranks],
            share: vec![1.0; ranks],
        }
    }
}

/// Slowest and mean time of the ranks in one layer, in units of the layer's whole work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Summary {
    /// Time of the slowest rank.
    pub slowest: f64,
    /// Mean time of the ranks.
    pub mean: f64,
}

impl Summary {
    /// Returns the slowest over the mean time, 1.0 when there is no work.
    #[must_use]
    pub fn ratio(&self) -> f64 {
        if self.mean > 0.0 {
            self.slowest / self.mean
        } else {
            1.0
        }
    }
}

/// Skew of a whole step.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Skew {
    /// Times in each layer.
    pub layers: Vec<Summary>,
}

impl Skew {
    /// Returns the step's time over the mean rank's time.
    #[must_use]
    pub fn overall(&self) -> f64 {
        let slowest = self.layers.iter().map(|span| span.slowest).sum();
        let mean = self.layers.iter().map(|span| span.mean).sum();
        Summary { slowest, mean }.ratio()
    }

    /// Returns the largest ratio of any layer.
    #[must_use]
    pub fn worst_layer(&self) -> f64 {
        self.layers.iter().map(Summary::ratio).fold(1.0, f64::max)
    }
}

/// Predicts the skew of `map` when `shares` holds the popularity of each layer.
#[must_use]
pub fn predict(map: &Map, shares: &[Vec<f64>], ranks: &Ranks) -> Skew {
    let layers = map
        .layers
        .iter()
        .zip(shares)
        .map(|(layer, shares)| summarize(&times(layer, shares, ranks)))
        .collect();
    Skew { layers }
}

/// Returns each rank's time in one layer.
#[must_use]
pub fn times(layer: &Layer, shares: &[f64], ranks: &Ranks) -> Vec<f64> {
    let count = ranks.slowness.len();
    let places = layer.0.len() / count.max(1);
    let mut parts = vec![0.0; shares.len()];
    for (place, &expert) in layer.0.iter().enumerate() {
        parts[usize::from(expert)] += part(ranks, place / places);
    }
    let mut times = vec![0.0; count];
    for (place, &expert) in layer.0.iter().enumerate() {
        let rank = place / places;
        let expert = usize::from(expert);
        times[rank] += shares[expert] * part(ranks, rank) / parts[expert];
    }
    for (time, slowness) in times.iter_mut().zip(&ranks.slowness) {
        *time *= slowness;
    }
    times
}

/// Least part of a replica, so that an expert whose every replica is relieved is still served.
const LEAST_PART: f64 = 1e-6;

fn part(ranks: &Ranks, rank: usize) -> f64 {
    ranks.share[rank].max(LEAST_PART)
}

/// Returns the slowest and the mean of `times`.
#[must_use]
pub fn summarize(times: &[f64]) -> Summary {
    Summary {
        slowest: times.iter().copied().fold(0.0, f64::max),
        mean: times.iter().sum::<f64>() / to_f64(times.len().max(1)),
    }
}
