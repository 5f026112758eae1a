//! Demand of the gateways, by which capacity is divided among them.

use serde::Deserialize;
use serde::Serialize;

/// Identifies a service to all gateways: a hash of its name.
pub type ServiceTag = u64;

/// Demand for one service at one gateway, as it tells others with its heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Service that the requests are for.
    pub service: ServiceTag,
    /// Requests that arrive per second, those that return included.
    pub rate: f32,
    /// Requests that wait for capacity.
    pub waiting: u32,
}
