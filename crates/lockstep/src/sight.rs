//! What one rank shows of itself.

use auburnline_core::id::Rank;
use auburnline_core::id::Step;
use serde::Deserialize;
use serde::Serialize;

/// Pace of a rank that is not slow, in hundredths.
pub const USUAL_PACE: u16 = 100;

/// Number of a map; it only grows within an epoch.
pub type Version = u64;
/// Number of a group's forming; all orders and maps of an earlier one are void.
pub type Epoch = u64;

/// A switch to a map as a pass begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Switch {
    /// Map.
    pub version: Version,
    /// Pass.
    pub step: Step,
}

/// State of one rank.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Sight {
    /// Rank.
    pub rank: Rank,
    /// Ranks of its group.
    pub size: Rank,
    /// Epoch.
    pub epoch: Epoch,
    /// Whether the group serves.
    pub is_open: bool,
    /// Whether an order is being carried out.
    pub is_busy: bool,
    /// Last pass that began.
    pub step: Step,
    /// Map in force.
    pub version: Version,
    /// Map whose weights are there.
    pub prepared: Option<Version>,
    /// Switch to come.
    pub armed: Option<Switch>,
    /// Pass that the group does not begin until it is released.
    pub held: Option<Step>,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Times that its part of a pass takes longer than it should, in hundredths; 100 if it is not slow.
    pub pace: u16,
}

impl Sight {
    /// Returns the times that the rank's part of a pass takes longer than it should.
    #[must_use]
    pub fn slowness(&self) -> f64 {
        slowness(self.pace)
    }
}

/// Returns the times that a rank of this pace, in hundredths, takes longer than it should.
#[must_use]
pub fn slowness(pace: u16) -> f64 {
    f64::from(pace.max(USUAL_PACE)) / f64::from(USUAL_PACE)
}
