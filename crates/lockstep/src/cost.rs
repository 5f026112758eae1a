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

/// Returns `duration` times `factor`: zero if that is no duration, and the longest one if it is
/// longer, since published cost models may hold any numbers.
#[must_use]
pub fn scaled(duration: Duration, factor: f64) -> Duration {
    let seconds = duration.as_secs_f64() * factor;
    let longest = if seconds > 0.0 {
        Duration::MAX
    } else {
        Duration::ZERO
    };
    Duration::try_from_secs_f64(seconds).unwrap_or(longest)
}

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
        scaled(self.request, requests * self.expert_part)
    }

    /// Returns the duration of a pass with `requests` on each rank, where the most loaded rank has `skew` times the
    /// mean load.
    #[must_use]
    pub fn pass(&self, requests: f64, skew: f64) -> Duration {
        let own = scaled(self.request, requests * (1.0 - self.expert_part));
        let experts = scaled(self.expert_work(requests), skew);
        self.base.saturating_add(own).saturating_add(experts)
    }

    /// Returns whether passes stay short on the map in force, even while weights are copied.
    #[must_use]
    pub fn is_short(&self, requests: f64, skew: f64) -> bool {
        let pass = scaled(self.pass(requests, skew), COPY_SLOWDOWN);
        pass < scaled(self.longest_pause, SHORT_PASS_SHARE)
    }
}
