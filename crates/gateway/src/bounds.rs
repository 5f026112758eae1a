//! Bounds that operators set.

use std::time::Duration;

/// Bounds set by the platform's operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Maximum time for which a revoked key may still be accepted.
    pub revocation: Duration,
    /// Retries allowed per request, over the whole fleet.
    pub retry_ratio: f64,
    /// Retries allowed beyond `retry_ratio` in a window, over the whole fleet.
    pub retry_slack: f64,
    /// Window of `retry_slack`.
    pub retry_window: Duration,
    /// Time for which the ranks of a group stall before they give up a lost rank.
    pub stall: Duration,
    /// Time within which an upstream renews its entry in the store.
    pub heartbeat: Duration,
}
