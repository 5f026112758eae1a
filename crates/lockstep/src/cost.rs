//! Cost model of a group's passes, from its published parameters.
//!
//! All ranks run each pass together, so it lasts as long as the slowest rank's own part and, layer by layer, the
//! part of the rank whose experts are selected most.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Slowdown factor of passes while a rank copies weights, as published.
const COPY_SLOWDOWN: f64 = 1.15;
/// Share of the longest pause below which passes, slowed by copying, count as short. A better map then gains nothing
/// for callers, while each copied expert has its cost.
const SHORT_PASS_SHARE: f64 = 0.6;

/// Published cost model of a pass.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// Duration of a pass without requests.
    pub base: Duration,
    /// Time that one request adds to the work of its rank in a pass: its decoding, and its share of prefill.
    pub request: Duration,
    /// Fraction of that work that is done by experts, from 0 to 1.
    pub expert_part: f64,
    /// Longest pause between two events of a stream that callers aim at.
    pub longest_pause: Duration,
}

impl Cost {
    /// Returns the experts' part of a pass with `requests` on each rank, if it were spread evenly over all ranks.
    #[must_use]
    pub fn expert_work(&self, requests: f64) -> Duration {
        self.request.mul_f64(requests * self.expert_part)
    }

    /// Returns the duration of a pass with `requests` on each rank, where the most loaded rank has `skew` times the
    /// mean load.
    #[must_use]
    pub fn pass(&self, requests: f64, skew: f64) -> Duration {
        let own = self.request.mul_f64(requests * (1.0 - self.expert_part));
        self.base + own + self.expert_work(requests).mul_f64(skew)
    }

    /// Returns whether passes stay short on the map in force, even while weights are copied.
    #[must_use]
    pub fn is_short(&self, requests: f64, skew: f64) -> bool {
        let pass = self.pass(requests, skew).mul_f64(COPY_SLOWDOWN);
        pass < self.longest_pause.mul_f64(SHORT_PASS_SHARE)
    }
}
