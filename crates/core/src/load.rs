//! Load reported by upstreams, with the age of the measurement.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Load of one unit of routing at the moment it was measured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests waiting to join the batch.
    pub queued: u32,
    /// Requests in the running batch.
    pub running: u32,
    /// Tokens still to be prefilled or generated for queued and running requests.
    pub backlog_tokens: u64,
    /// Mean duration of the most recent steps.
    pub step_time: Duration,
    /// Ratio of the largest to the mean step time of the ranks; 1.0 when balanced.
    pub skew: f32,
}

/// A measured load and its age.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Load at the time of the measurement.
    pub load: Load,
    /// Time since the measurement.
    pub age: Duration,
}
