//! How far to fill a group so that most streams are served in time.
//!
//! A stream is in time if none of its passes takes longer than the longest pause. The time of a
//! pass grows with the streams that run and with the imbalance factor, which jumps when demand for
//! experts shifts and falls again with the next placement map. [`Exposure`] learns how the largest
//! factor that a usual stream meets is distributed. This one distribution holds how often shifts
//! come, how far the factor jumps, how long it stays there, how long streams live and by how much
//! single passes differ. If nearly every stream meets a shift, the group is best filled for the
//! shifted state; if nearly none does, for the calm one; and the expected number of streams in time
//! decides in between. Passes of a group with fewer streams are shorter too, so that it serves only
//! a little less.

use std::collections::VecDeque;
use std::time::Duration;

use auburnline_core::time::Monotonic;

/// Smallest factor told apart.
const LEAST_FACTOR: f64 = 0.8;
/// Ratio of two neighbouring factors that are told apart: less than passes of one state differ by.
const FACTOR_RATIO: f64 = 1.03;
/// Factors told apart; the largest is six times even work.
const FACTORS: usize = 70;
/// Time constant of the distribution: several shifts where they are frequent.
const TIME_CONSTANT: Duration = Duration::from_secs(8);
/// Weight of the evidence from which the distribution decides: that of the first few passes.
const LEAST_EVIDENCE: f64 = 0.01;
/// Weight of streams of the first life. A group forms with a map that knows no demand, as right
/// after a shift, so its first passes tell what a shift would do, but not whether one comes.
const FIRST_WEIGHT: f64 = 0.1;
/// Value of a late stream relative to one in time, where callers' own values are unknown.
const LATE_VALUE: f64 = 0.5;
/// Most passes kept of a stream's life, those of falling factors only.
const MAX_KEPT: usize = 64;

/// Times of a group's passes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cost {
    /// Seconds of a pass without requests.
    pub base: f64,
    /// Seconds that a request adds to a pass if work is spread evenly.
    pub slope: f64,
    /// Longest pass that is in time, in seconds.
    pub longest: f64,
}

impl Cost {
    /// Returns how many requests keep passes at this factor in time.
    #[must_use]
    pub fn most(&self, factor: f64) -> f64 {
        ((self.longest - self.base) / (self.slope * factor)).max(0.0)
    }

    /// Returns the seconds of a pass with these requests.
    #[must_use]
    pub fn pass(&self, factor: f64, requests: f64) -> f64 {
        self.base + self.slope * factor * requests
    }
}

/// A pass, as one or several gateways saw it.
#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    start: Monotonic,
    sum: f64,
    samples: f64,
}

/// Distribution of the largest factor during a stream's life.
#[derive(Clone, Debug)]
pub struct Exposure {
    /// Newest pass.
    newest: Slot,
    /// Passes of the last stream's life, each with a larger factor than all later ones.
    kept: VecDeque<(Monotonic, f64)>,
    /// Fraction of streams by largest factor; the sum grows to 1 with the evidence.
    fractions: [f64; FACTORS],
    /// Moving average of the factor.
    mean: f64,
    first_at: Option<Monotonic>,
    last_at: Monotonic,
}

impl Default for Exposure {
    fn default() -> Exposure {
        Exposure {
            newest: Slot::default(),
            kept: VecDeque::new(),
            fractions: [0.0; FACTORS],
            mean: 0.0,
            first_at: None,
            last_at: Monotonic::ZERO,
        }
    }
}

impl Exposure {
    /// Records the factor of a pass, as one gateway saw it, while passes take `pass` and a usual
    /// stream lives for `life`.
    pub fn observe(&mut self, factor: f64, pass: Duration, life: Duration, now: Monotonic) {
        let newest = self.newest;
        if newest.samples > 0.0 && now >= newest.start + pass {
            // Each gateway knows the load only roughly, and the largest of many rough values would
            // be too large.
            self.add(newest.sum / newest.samples, life, newest.start);
            self.newest = Slot::default();
        }
        if self.newest.samples <= 0.0 {
            self.newest.start = now;
        }
        self.newest.sum += factor;
        self.newest.samples += 1.0;
    }

    fn add(&mut self, factor: f64, life: Duration, now: Monotonic) {
        let first_at = *self.first_at.get_or_insert(now);
        let passed = now.saturating_sub(self.last_at.max(first_at));
        self.last_at = now.max(self.last_at);
        while self.kept.back().is_some_and(|kept| kept.1 <= factor) {
            self.kept.pop_back();
        }
        if self.kept.len() < MAX_KEPT {
            self.kept.push_back((now, factor));
        }
        while self.kept.front().is_some_and(|kept| kept.0 + life < now) {
            self.kept.pop_front();
        }
        let largest = self.kept.front().map_or(factor, |kept| kept.1);
        let weight = 1.0 - (-passed.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        self.mean = if self.mean > 0.0 {
            self.mean + (factor - self.mean) * weight
        } else {
            factor
        };
        let is_first = now < first_at + life;
        let weight = weight * if is_first { FIRST_WEIGHT } else { 1.0 };
        self.fractions
            .iter_mut()
            .for_each(|fraction| *fraction *= 1.0 - weight);
        if let Some(fraction) = self.fractions.get_mut(index(largest)) {
            *fraction += weight;
        }
    }

    /// Returns the factor to fill a group for, so that most streams are in time; none before there
    /// is enough evidence.
    #[must_use]
    pub fn best(&self, cost: &Cost) -> Option<f64> {
        let evidence: f64 = self.fractions.iter().sum();
        if evidence < LEAST_EVIDENCE {
            return None;
        }
        let mut in_time = 0.0;
        let mut best = (0.0, None);
        let mut factor = LEAST_FACTOR;
        for fraction in self.fractions {
            factor *= FACTOR_RATIO;
            in_time += fraction / evidence;
            let value = in_time + LATE_VALUE * (1.0 - in_time);
            let rate = rate(cost, self.mean, cost.most(factor), value);
            if rate > best.0 {
                best = (rate, Some(factor));
            }
        }
        best.1
    }
}

/// Returns the value of the streams served per second, in units of a pass of a stream in time, at a
/// fill and a mean value of a stream.
#[must_use]
pub fn rate(cost: &Cost, mean_factor: f64, requests: f64, value: f64) -> f64 {
    requests / cost.pass(mean_factor, requests) * value
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "bounded just before"
)]
fn index(factor: f64) -> usize {
    let steps = (factor / LEAST_FACTOR).ln() / FACTOR_RATIO.ln();
    steps.clamp(0.0, 69.0) as usize
}
