//! Predicts the skew of the ranks' step times under a map.
//!
//! An expert's tokens are split evenly over its replicas unless a rank's share is lowered
//! ([`Ranks::share`]). A rank's time in a layer is its tokens times its slowness. All ranks
//! synchronise in each layer, so a step takes the sum over the layers of the slowest rank's time.

use auburnline_core::expert::Layer;
use auburnline_core::expert::Map;

use crate::to_f64;

/// Slowness and share of each rank.
#[derive(Clone, Debug, PartialEq)]
pub struct Ranks {
    /// Time per token relative to the usual time; 1.0 for a rank of usual speed.
    pub slowness: Vec<f64>,
    /// Weight of the rank when an expert's tokens are split over its replicas; 1.0 on all ranks gives an
    /// even split.
    pub share: Vec<f64>,
}

impl Ranks {
    /// Returns `ranks` ranks of usual speed and even share.
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
    /// Largest time of a rank.
    pub slowest: f64,
    /// Mean time over all ranks.
    pub mean: f64,
}

impl Summary {
    /// Returns the ratio of the slowest to the mean time; 1.0 without work.
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
    /// Times in each layer, in order.
    pub layers: Vec<Summary>,
}

impl Skew {
    /// Returns the ratio of the step's time to the mean rank's time.
    #[must_use]
    pub fn overall(&self) -> f64 {
        let slowest = self.layers.iter().map(|summary| summary.slowest).sum();
        let mean = self.layers.iter().map(|summary| summary.mean).sum();
        Summary { slowest, mean }.ratio()
    }

    /// Returns the largest ratio of any layer; at least 1.0.
    #[must_use]
    pub fn worst_layer(&self) -> f64 {
        self.layers.iter().map(Summary::ratio).fold(1.0, f64::max)
    }
}

/// Predicts the skew of `map`; `shares` holds the popularity of the experts in each layer.
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

/// Returns each rank's time in one layer, in the unit of `shares`.
#[must_use]
pub fn times(layer: &Layer, shares: &[f64], ranks: &Ranks) -> Vec<f64> {
    let count = ranks.slowness.len();
    let places = layer.0.len() / count.max(1);
    let mut weights = vec![0.0; shares.len()];
    for (place, &expert) in layer.0.iter().enumerate() {
        weights[usize::from(expert)] += weight(ranks, place / places);
    }
    let mut times = vec![0.0; count];
    for (place, &expert) in layer.0.iter().enumerate() {
        let rank = place / places;
        let expert = usize::from(expert);
        times[rank] += shares[expert] * weight(ranks, rank) / weights[expert];
    }
    for (time, slowness) in times.iter_mut().zip(&ranks.slowness) {
        *time *= slowness;
    }
    times
}

/// Minimum weight of a replica, so that an expert is still served if all its replicas have share zero.
const MIN_WEIGHT: f64 = 1e-6;

fn weight(ranks: &Ranks, rank: usize) -> f64 {
    ranks.share[rank].max(MIN_WEIGHT)
}

/// Returns the slowest and the mean of `times`.
#[must_use]
pub fn summarize(times: &[f64]) -> Summary {
    Summary {
        slowest: times.iter().copied().fold(0.0, f64::max),
        mean: times.iter().sum::<f64>() / to_f64(times.len().max(1)),
    }
}
