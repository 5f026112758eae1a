//! Which experts are chosen.
//!
//! Ranks count choices since their start; the differences between two counts, summed over the ranks,
//! fade with time, so that what is liked now outweighs what was. When a window differs from what was
//! known by more than chance, demand has shifted, and what was known before is dropped at once: a map
//! for the mean of both would fit neither.

use std::time::Duration;

use auburnline_core::time::Monotonic;

use crate::real;

/// Time in which a choice fades to a third. Shorter, single long prompts pass for popularity.
const FADE: Duration = Duration::from_millis(1_500);
/// Time over which choices are gathered before they are compared with what is known: a report of each
/// rank.
const WINDOW: Duration = Duration::from_millis(200);
/// Distance between a window's shares and the known ones, as the sum of differences (0 to 2), that
/// tells a shift. Windows of one popularity differ by 0.1 to 0.35 on the users' days; shifts by 0.65 to 1
/// where few experts draw most choices, and by 0.5 to 0.6 where demand is flatter.
const SHIFT: f64 = 0.42;
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
    window: Counts,
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
            window: none,
            opened: Monotonic::ZERO,
        }
    }

    /// Takes the choices that one rank counted since its last report, layer by layer; returns the
    /// distance if they tell a shift.
    pub fn add(&mut self, choices: &[u32], now: Monotonic) -> Option<f64> {
        let layers = choices.chunks_exact(self.experts.max(1));
        for (counts, choices) in self.window.iter_mut().zip(layers) {
            for (count, chosen) in counts.iter_mut().zip(choices) {
                *count += f64::from(*chosen);
            }
        }
        let passed = now.saturating_sub(self.opened);
        if passed < WINDOW {
            return None;
        }
        self.opened = now;
        self.close(passed)
    }

    /// Adds the window to what is known.
    fn close(&mut self, passed: Duration) -> Option<f64> {
        let distance = self.distance();
        let shift = distance.filter(|distance| *distance > SHIFT);
        let part = if shift.is_some() {
            0.0
        } else {
            (-passed.as_secs_f64() / FADE.as_secs_f64()).exp()
        };
        let counts = self.known.iter_mut().flatten();
        for (known, new) in counts.zip(self.window.iter_mut().flatten()) {
            *known = *known * part + *new;
            *new = 0.0;
        }
        shift
    }

    /// Returns how far the window's shares lie from the known ones, mean of all layers.
    fn distance(&self) -> Option<f64> {
        let known = shares(&self.known, self.least())?;
        let window = shares(&self.window, self.least())?;
        let layers = known.len().max(1);
        let differences = known.iter().flatten().zip(window.iter().flatten());
        let sum: f64 = differences.map(|(old, new)| (old - new).abs()).sum();
        Some(sum / real(layers))
    }

    fn least(&self) -> f64 {
        LEAST_PER_EXPERT * real(self.experts)
    }

    /// Returns the shares by layer, once there are enough choices in each.
    #[must_use]
    pub fn shares(&self) -> Option<Vec<Vec<f64>>> {
        shares(&self.known, self.least())
    }
}

fn shares(counts: &Counts, least: f64) -> Option<Vec<Vec<f64>>> {
    let layers = counts.iter().map(|counts| {
        let sum: f64 = counts.iter().sum();
        let is_enough = sum >= least;
        is_enough.then(|| counts.iter().map(|count| count / sum).collect())
    });
    layers.collect()
}
