//! What a pass of a group costs, as published.
//!
//! All ranks run each pass together, so it lasts as long as the slowest rank's own part and, layer by layer, the
//! part of the rank whose experts are chosen most.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Times longer that passes take while a rank copies weights, as published.
const COPYING: f64 = 1.15;
/// Part of the longest pause below which passes, copying included, are short on any map: nothing is gained for
/// callers by a better one, and each copied expert is paid for.
const SHORT_PART: f64 = 0.6;

/// Published cost of a pass.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// A pass without requests.
    pub base: Duration,
    /// What one request adds to the work of its rank in a pass: writing, and its part of reading prompts.
    pub request: Duration,
    /// Part of that work that goes to experts.
    pub expert_part: f64,
    /// Longest pause between two events that callers aim at.
    pub longest_pause: Duration,
}

impl Cost {
    /// Returns the experts' part of a pass with so many requests on each rank, if it lay evenly on all ranks.
    #[must_use]
    pub fn expert_work(&self, requests: f64) -> Duration {
        self.request.mul_f64(requests * self.expert_part)
    }

    /// Returns the pass with so many requests on each rank, where the most loaded rank has `skew` times the mean.
    #[must_use]
    pub fn pass(&self, requests: f64, skew: f64) -> Duration {
        let own = self.request.mul_f64(requests * (1.0 - self.expert_part));
        self.base + own + self.expert_work(requests).mul_f64(skew)
    }

    /// Returns whether passes are short on the map in force, whatever is copied.
    #[must_use]
    pub fn is_short(&self, requests: f64, skew: f64) -> bool {
        let pass = self.pass(requests, skew).mul_f64(COPYING);
        pass < self.longest_pause.mul_f64(SHORT_PART)
    }
}
