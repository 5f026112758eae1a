//! Estimate of expert popularity: the share of activations that each expert of a layer gets.
//!
//! Ranks count activations since their start. The differences between two counts, summed over the ranks, decay
//! exponentially, so that recent demand outweighs old. If a window differs from the estimate by more than chance,
//! demand has shifted, and the old estimate is dropped at once: a map for the mean of both would fit neither.

use std::time::Duration;

use auburnline_core::time::Monotonic;

use crate::to_f64;

/// Time constant of the decay. With a shorter one, single long prompts are taken for popularity.
const DECAY_TIME: Duration = Duration::from_millis(1_500);
/// Half of the window of activations that is compared with the estimate. The newest half is also compared by itself,
/// so that a shift is detected early.
const HALF_WINDOW: Duration = Duration::from_millis(100);
/// Distance between a window's shares and the estimate, as the sum of absolute differences (0 to 2), above which
/// demand has shifted. Windows of unchanged demand differ by less.
const SHIFT_DISTANCE: f64 = 0.42;
/// The same for half a window, whose random deviation is larger by the square root of two.
const HALF_WINDOW_SHIFT_DISTANCE: f64 = 0.52;
/// Activations per expert of a layer from which on its shares are used: a few prompts. One window of a busy group
/// is enough, so that a shift can be answered at once.
const MIN_ACTIVATIONS_PER_EXPERT: f64 = 100.0;

/// Activation counts by layer and expert.
type Counts = Vec<Vec<f64>>;

/// Popularity estimate of one group.
#[derive(Clone, Debug)]
pub struct Popularity {
    experts: usize,
    estimate: Counts,
    /// The two halves of the window: the previous one, and the one being filled.
    earlier: Counts,
    newest: Counts,
    opened: Monotonic,
}

impl Popularity {
    /// Returns an estimate without any activations.
    #[must_use]
    pub fn new(layers: usize, experts: usize) -> Popularity {
        let none = vec![vec![0.0; experts]; layers];
        Popularity {
            experts,
            estimate: none.clone(),
            earlier: none.clone(),
            newest: none,
            opened: Monotonic::ZERO,
        }
    }

    /// Adds the activations that one rank counted since its last report, layer by layer; returns the distance if
    /// they complete half a window that shows a shift of demand.
    pub fn add(&mut self, activations: &[u32], now: Monotonic) -> Option<f64> {
        let layers = activations.chunks_exact(self.experts.max(1));
        for (counts, activations) in self.newest.iter_mut().zip(layers) {
            for (count, chosen) in counts.iter_mut().zip(activations) {
                *count += f64::from(*chosen);
            }
        }
        let passed = now.saturating_sub(self.opened);
        if passed < HALF_WINDOW {
            return None;
        }
        self.opened = now;
        self.close(passed)
    }

    /// Compares the window with the estimate, and moves it on by one half.
    fn close(&mut self, passed: Duration) -> Option<f64> {
        let shift = self.shift();
        if shift.is_some() {
            // The older half may hold activations from before the shift.
            self.estimate
                .iter_mut()
                .flatten()
                .for_each(|count| *count = 0.0);
            if self
                .distance(&self.newest, &self.earlier)
                .is_some_and(|distance| distance > SHIFT_DISTANCE)
            {
                self.earlier
                    .iter_mut()
                    .flatten()
                    .for_each(|count| *count = 0.0);
            }
        }
        let decay = (-passed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        let halves = self
            .earlier
            .iter_mut()
            .flatten()
            .zip(self.newest.iter_mut().flatten());
        for (estimate, (earlier, newest)) in self.estimate.iter_mut().flatten().zip(halves) {
            *estimate = *estimate * decay + *earlier;
            *earlier = std::mem::take(newest);
        }
        shift
    }

    /// Returns the distance of the window to the estimate, if it shows a shift of demand.
    fn shift(&self) -> Option<f64> {
        let known = sum(&self.estimate, &self.earlier);
        let newest = self.distance(&self.newest, &known);
        let window = sum(&self.earlier, &self.newest);
        let window = self.distance(&window, &self.estimate);
        let newest = newest.filter(|distance| *distance > HALF_WINDOW_SHIFT_DISTANCE);
        newest.or(window.filter(|distance| *distance > SHIFT_DISTANCE))
    }

    /// Returns the distance between the shares of two counts, averaged over the layers.
    fn distance(&self, one: &Counts, other: &Counts) -> Option<f64> {
        let one = shares(one, self.min_activations())?;
        let other = shares(other, self.min_activations())?;
        let layers = one.len().max(1);
        let differences = one.iter().flatten().zip(other.iter().flatten());
        let sum: f64 = differences.map(|(one, other)| (one - other).abs()).sum();
        Some(sum / to_f64(layers))
    }

    fn min_activations(&self) -> f64 {
        MIN_ACTIVATIONS_PER_EXPERT * to_f64(self.experts)
    }

    /// Returns the shares by layer; none until every layer has enough activations.
    #[must_use]
    pub fn shares(&self) -> Option<Vec<Vec<f64>>> {
        shares(&sum(&self.estimate, &self.earlier), self.min_activations())
    }
}

fn sum(one: &Counts, other: &Counts) -> Counts {
    let layers = one.iter().zip(other);
    let sums = layers.map(|(one, other)| one.iter().zip(other).map(|(one, other)| one + other));
    sums.map(Iterator::collect).collect()
}

fn shares(counts: &Counts, min_sum: f64) -> Option<Vec<Vec<f64>>> {
    let layers = counts.iter().map(|counts| {
        let sum: f64 = counts.iter().sum();
        let is_enough = sum >= min_sum;
        is_enough.then(|| counts.iter().map(|count| count / sum).collect())
    });
    layers.collect()
}
