//! Which experts are chosen.
//!
//! Ranks count choices since their start; the differences between two counts, summed over the ranks,
//! fade with time, so that what is liked now outweighs what was.

use std::time::Duration;

use auburnline_core::time::Monotonic;

/// Time in which a choice fades to a third. Shorter, single long prompts pass for popularity; longer,
/// a change of demand is seen too late to be worth a map.
const FADE: Duration = Duration::from_millis(1_200);
/// Choices of a layer from which on its shares are believed: about ten prompts' worth of tokens for
/// each expert.
const LEAST_PER_EXPERT: f64 = 400.0;

/// Shares of choices by layer.
#[derive(Clone, Debug)]
pub struct Popularity {
    experts: usize,
    counts: Vec<Vec<f64>>,
    faded_at: Monotonic,
}

impl Popularity {
    /// Returns a popularity of which nothing is known.
    #[must_use]
    pub fn new(layers: usize, experts: usize) -> Popularity {
        Popularity {
            experts,
            counts: vec![vec![0.0; experts]; layers],
            faded_at: Monotonic::ZERO,
        }
    }

    /// Takes the choices that one rank counted since its last report, layer by layer.
    pub fn add(&mut self, choices: &[u32], now: Monotonic) {
        self.fade(now);
        let layers = choices.chunks_exact(self.experts.max(1));
        for (counts, choices) in self.counts.iter_mut().zip(layers) {
            for (count, chosen) in counts.iter_mut().zip(choices) {
                *count += f64::from(*chosen);
            }
        }
    }

    fn fade(&mut self, now: Monotonic) {
        let passed = now.saturating_sub(self.faded_at);
        if passed.is_zero() {
            return;
        }
        self.faded_at = now;
        let part = (-passed.as_secs_f64() / FADE.as_secs_f64()).exp();
        for count in self.counts.iter_mut().flatten() {
            *count *= part;
        }
    }

    /// Returns the shares by layer, once there are enough choices in each.
    #[must_use]
    pub fn shares(&self) -> Option<Vec<Vec<f64>>> {
        let least = LEAST_PER_EXPERT * self.experts as f64;
        self.counts
            .iter()
            .map(|counts| {
                let sum: f64 = counts.iter().sum();
                let is_enough = sum >= least;
                is_enough.then(|| counts.iter().map(|count| count / sum).collect())
            })
            .collect()
    }
}
