//! What gateways learned of the forward passes of a group, as they tell each other.

use serde::Deserialize;
use serde::Serialize;

/// Identifies a group to all gateways: a hash of its name.
pub type GroupTag = u64;

/// Passes of one group, as one gateway saw them.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Group that ran the passes.
    pub group: GroupTag,
    /// Imbalance factor of the newest passes.
    pub factor: f32,
    /// Largest factor right after a shift of demand.
    pub peak: f32,
    /// Estimated fraction of streams that have a long pass, from 0 to 1.
    pub late_fraction: f32,
    /// Age of the newest pass, in milliseconds.
    pub age_ms: u16,
}
