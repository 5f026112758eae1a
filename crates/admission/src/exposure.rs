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
const FACTOR_RATIO: f64 = 1.06;
/// Factors told apart; the largest is six times even work.
const FACTORS: usize = 36;
/// Time constant of the distribution: several shifts where they are frequent.
const TIME_CONSTANT: Duration = Duration::from_secs(8);
/// Weight of the evidence from which the distribution decides: that of two to three seconds.
const LEAST_EVIDENCE: f64 = 0.25;
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

/// Distribution of the largest factor during a stream's life.
#[derive(Clone, Debug)]
pub struct Exposure {
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
            kept: VecDeque::new(),
            fractions: [0.0; FACTORS],
            mean: 0.0,
            first_at: None,
            last_at: Monotonic::ZERO,
        }
    }
}

impl Exposure {
    /// Records the factor of a pass while a usual stream lives for `life`.
    pub fn observe(&mut self, factor: f64, life: Duration, now: Monotonic) {
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
        if now < first_at + life {
            // Streams that started before the first pass known may have met a larger factor.
            return;
        }
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
            let rate = rate(cost, self.mean, cost.most(factor), in_time);
            if rate > best.0 {
                best = (rate, Some(factor));
            }
        }
        best.1
    }
}

/// Returns the streams in time per second and pass of a stream, at a fill and a fraction of streams
/// that no long pass meets.
#[must_use]
pub fn rate(cost: &Cost, mean_factor: f64, requests: f64, in_time: f64) -> f64 {
    requests / cost.pass(mean_factor, requests) * in_time
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "bounded just before"
)]
fn index(factor: f64) -> usize {
    let steps = (factor / LEAST_FACTOR).ln() / FACTOR_RATIO.ln();
    steps.clamp(0.0, 35.0) as usize
}
