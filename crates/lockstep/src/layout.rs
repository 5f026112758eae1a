//! Experts of a group by layer and rank, where ranks may leave places empty.

use std::time::Duration;

use auburnline_core::id::Expert;
use auburnline_core::id::Rank;
use serde::Deserialize;
use serde::Serialize;

use crate::real;

/// Published shape of a group's experts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Shape {
    /// Layers whose experts are placed by themselves.
    pub layers: usize,
    /// Experts of each layer.
    pub experts: usize,
    /// Most experts that a rank holds in a layer.
    pub places: usize,
    /// Most experts of a layer that one change may bring to a rank.
    pub most_new: usize,
    /// Time that a rank needs to copy one expert.
    pub copy: Duration,
}

/// Experts by layer and rank.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Layout(pub Vec<Vec<Vec<Expert>>>);

impl Layout {
    /// Returns the layout of a group that just formed: experts to ranks in turn.
    #[must_use]
    pub fn initial(shape: &Shape, ranks: Rank) -> Layout {
        let ranks = usize::from(ranks.max(1));
        let mut layer = vec![Vec::new(); ranks];
        for expert in 0..shape.experts {
            layer[expert % ranks].push(Expert::try_from(expert).unwrap_or(Expert::MAX));
        }
        Layout(vec![layer; shape.layers])
    }

    /// Returns the most loaded rank over the mean under `shares` by layer, mean of all layers.
    #[must_use]
    pub fn skew(&self, shares: &[Vec<f64>]) -> f64 {
        let skews = self
            .0
            .iter()
            .zip(shares)
            .map(|(layer, shares)| layer_skew(layer, shares));
        skews.sum::<f64>() / real(self.0.len().max(1))
    }

    /// Returns how many experts each rank gets that it does not hold in `before`, over all layers.
    #[must_use]
    pub fn new_by_rank(&self, before: &Layout) -> Vec<usize> {
        let ranks = self.0.first().map_or(0, Vec::len);
        let mut counts = vec![0; ranks];
        for (layer, old) in self.0.iter().zip(&before.0) {
            for (rank, (held, had)) in layer.iter().zip(old).enumerate() {
                counts[rank] += held.iter().filter(|expert| !had.contains(expert)).count();
            }
        }
        counts
    }
}

fn layer_skew(layer: &[Vec<Expert>], shares: &[f64]) -> f64 {
    let mut copies = vec![0_u32; shares.len()];
    for expert in layer.iter().flatten() {
        copies[usize::from(*expert)] += 1;
    }
    let part = |expert: &Expert| {
        let expert = usize::from(*expert);
        shares[expert] / f64::from(copies[expert])
    };
    let loads = layer.iter().map(|held| held.iter().map(part).sum::<f64>());
    let slowest = loads.fold(0.0, f64::max);
    let sum: f64 = shares.iter().sum();
    slowest * real(layer.len()) / sum.max(f64::EPSILON)
}
