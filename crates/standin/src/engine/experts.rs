//! Popularity of experts, the work that it gives to each rank, and the counts that are told.

use auburnline_core::expert::Map;
use auburnline_core::hash::stable;
use auburnline_core::id::Rank;
use auburnline_engine::ExpertCounts;

use crate::engine::fault::Fault;

/// Share of a count that noise may add.
const NOISE: f64 = 0.2;

/// Popularity and counts of all layers.
#[derive(Debug)]
pub(crate) struct Experts {
    seed: u64,
    popularity: Vec<Vec<f64>>,
    counts: Vec<Vec<f64>>,
}

impl Experts {
    pub(crate) fn new(layers: usize, experts: u16, seed: u64) -> Self {
        let experts = usize::from(experts);
        Self {
            seed,
            popularity: vec![vec![1.0; experts]; layers],
            counts: vec![vec![0.0; experts]; layers],
        }
    }

    /// Sets the popularity that a fault asks for.
    pub(crate) fn set(&mut self, fault: &Fault) {
        for layer in &mut self.popularity {
            layer.fill(1.0);
        }
        for hot in &fault.hot {
            let place = self
                .popularity
                .get_mut(hot.layer)
                .and_then(|layer| layer.get_mut(usize::from(hot.expert)));
            if let Some(place) = place {
                *place = hot.popularity.max(0.0);
            }
        }
    }

    /// Counts the tokens of one step.
    pub(crate) fn count(&mut self, tokens: u32, step: u64) {
        let layers = self.popularity.iter().zip(&mut self.counts);
        for (index, (popularity, counts)) in layers.enumerate() {
            let sum: f64 = popularity.iter().sum();
            for (expert, (weight, count)) in popularity.iter().zip(counts).enumerate() {
                let key = [step, index as u64, expert as u64].map(u64::to_le_bytes);
                let noise = unit(stable(self.seed, key.as_flattened()));
                let share = weight / sum.max(f64::MIN_POSITIVE);
                *count += f64::from(tokens) * share * (1.0 - NOISE + 2.0 * NOISE * noise);
            }
        }
    }

    /// Returns the work of each rank under `map`, one if it is even.
    pub(crate) fn work(&self, map: &Map) -> Vec<f64> {
        let mut work = vec![0.0; usize::from(map.ranks)];
        for (layer, popularity) in self.popularity.iter().enumerate().take(map.layers.len()) {
            let mut replicas = vec![0u32; popularity.len()];
            for &expert in &map.layers[layer].0 {
                replicas[usize::from(expert)] += 1;
            }
            for rank in 0..map.ranks {
                let hosted = map.hosted(layer, rank).iter();
                work[usize::from(rank)] += hosted
                    .map(|&expert| usize::from(expert))
                    .map(|expert| popularity[expert] / f64::from(replicas[expert].max(1)))
                    .sum::<f64>();
            }
        }
        let mean = work.iter().sum::<f64>() / f64::from(map.ranks.max(1));
        for share in &mut work {
            *share /= mean.max(f64::MIN_POSITIVE);
        }
        work
    }

    /// Returns the counts so far, in whole tokens.
    pub(crate) fn told(&self, step: u64, times: Vec<u64>) -> ExpertCounts {
        let layers = self.counts.iter();
        ExpertCounts {
            step,
            layers: layers
                .map(|layer| layer.iter().map(|count| whole(*count)).collect())
                .collect(),
            rank_time_us: times,
        }
    }
}

/// Returns a slow-down of `rank` that a fault asks for.
pub(crate) fn slow_factor(fault: &Fault, rank: Rank) -> f64 {
    let slow = fault.slow.iter().find(|slow| slow.rank == rank);
    slow.map_or(1.0, |slow| slow.slow_factor.max(0.0))
}

/// Returns a number from zero to one.
fn unit(hash: u64) -> f64 {
    let high = u32::try_from(hash >> 32).unwrap_or(u32::MAX);
    f64::from(high) / f64::from(u32::MAX)
}

/// Returns the whole part of a count, which is never negative.
fn whole(count: f64) -> u64 {
    std::time::Duration::try_from_secs_f64(count).map_or(0, |count| count.as_secs())
}
