//! Which experts are chosen.
//!
//! Ranks count choices since their start; the differences between two counts, summed over the ranks,
//! fade with time, so that what is liked now outweighs what was. When a window differs from what was
//! known by more than chance, demand has shifted, and what was known before is dropped at once: a map
//! for the mean of both would fit neither.

use std::time::Duration;

use auburnline_core::time::Monotonic;

use crate::to_f64;

/// Time in which a choice fades to a third. Shorter, single long prompts pass for popularity.
const FADE: Duration = Duration::from_millis(1_500);
/// Time over which choices are gathered before they are compared with what is known, the newest half of a
/// window, so that a shift is seen early.
const HALF: Duration = Duration::from_millis(100);
/// Distance between a window's shares and the known ones, as the sum of differences (0 to 2), that
/// tells a shift: more than windows of one popularity differ by chance.
const SHIFT: f64 = 0.42;
/// The same for half a window, whose chance is larger by the root of two.
const SHIFT_OF_HALF: f64 = 0.52;
/// Choices of a layer for each expert from which on its shares are believed: a few prompts. One window
/// of a busy group is enough, so that a shift can be answered at once.
const LEAST_PER_EXPERT: f64 = 100.0;

/// Counts by layer and expert.
type Counts = Vec<Vec<f64>>;

/// Shares of choices by layer.
#[derive(Clone, Debug)]
pub struct Popularity {
    experts: usize,
    known: Counts,
    /// Halves of the window: the one before, and the one that is open.
    earlier: Counts,
    newest: Counts,
    opened: Monotonic,
}

impl Popularity {
    /// Returns a popularity of which nothing is known.
    #[must_use]
    pub fn new(layers: usize, experts: usize) -> Popularity {
        let none = vec![vec![0.0; experts]; layers];
        Popularity {
            experts,
            known: none.clone(),
            earlier: none.clone(),
            newest: none,
            opened: Monotonic::ZERO,
        }
    }

    /// Takes the choices that one rank counted since its last report, layer by layer; returns the
    /// distance if they tell a shift.
    pub fn add(&mut self, choices: &[u32], now: Monotonic) -> Option<f64> {
        let layers = choices.chunks_exact(self.experts.max(1));
        for (counts, choices) in self.newest.iter_mut().zip(layers) {
            for (count, chosen) in counts.iter_mut().zip(choices) {
                *count += f64::from(*chosen);
            }
        }
        let passed = now.saturating_sub(self.opened);
        if passed < HALF {
            return None;
        }
        self.opened = now;
        self.close(passed)
    }

    /// Compares the window with what is known, and moves on by half of it.
    fn close(&mut self, passed: Duration) -> Option<f64> {
        let shift = self.shift();
        if shift.is_some() {
            // The older half may hold choices from before the shift.
            self.known
                .iter_mut()
                .flatten()
                .for_each(|count| *count = 0.0);
            if self
                .distance(&self.newest, &self.earlier)
                .is_some_and(|distance| distance > SHIFT)
            {
                self.earlier
                    .iter_mut()
                    .flatten()
                    .for_each(|count| *count = 0.0);
            }
        }
        let part = (-passed.as_secs_f64() / FADE.as_secs_f64()).exp();
        let halves = self
            .earlier
            .iter_mut()
            .flatten()
            .zip(self.newest.iter_mut().flatten());
        for (known, (earlier, newest)) in self.known.iter_mut().flatten().zip(halves) {
            *known = *known * part + *earlier;
            *earlier = std::mem::take(newest);
        }
        shift
    }

    /// Returns how far the window lies from what is known, if that tells a shift.
    fn shift(&self) -> Option<f64> {
        let known = sum(&self.known, &self.earlier);
        let newest = self.distance(&self.newest, &known);
        let window = sum(&self.earlier, &self.newest);
        let window = self.distance(&window, &self.known);
        let newest = newest.filter(|distance| *distance > SHIFT_OF_HALF);
        newest.or(window.filter(|distance| *distance > SHIFT))
    }

    /// Returns how far the shares of two counts lie apart, mean of all layers.
    fn distance(&self, one: &Counts, other: &Counts) -> Option<f64> {
        let one = shares(one, self.least())?;
        let other = shares(other, self.least())?;
        let layers = one.len().max(1);
        let differences = one.iter().flatten().zip(other.iter().flatten());
        let sum: f64 = differences.map(|(one, other)| (one - other).abs()).sum();
        Some(sum / to_f64(layers))
    }

    fn least(&self) -> f64 {
        LEAST_PER_EXPERT * to_f64(self.experts)
    }

    /// Returns the shares by layer, once there are enough choices in each.
    #[must_use]
    pub fn shares(&self) -> Option<Vec<Vec<f64>>> {
        shares(&sum(&self.known, &self.earlier), self.least())
    }
}

fn sum(one: &Counts, other: &Counts) -> Counts {
    let layers = one.iter().zip(other);
    let sums = layers.map(|(one, other)| one.iter().zip(other).map(|(one, other)| one + other));
    sums.map(Iterator::collect).collect()
}

fn shares(counts: &Counts, least: f64) -> Option<Vec<Vec<f64>>> {
    let layers = counts.iter().map(|counts| {
        let sum: f64 = counts.iter().sum();
        let is_enough = sum >= least;
        is_enough.then(|| counts.iter().map(|count| count / sum).collect())
    });
    layers.collect()
}
