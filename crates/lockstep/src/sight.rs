//! Reported state of one rank.

use auburnline_core::id::Rank;
use auburnline_core::id::Step;
use serde::Deserialize;
use serde::Serialize;

/// Pace of a rank that is not slow, in hundredths.
pub const USUAL_PACE: u16 = 100;

/// Version of a map; it only grows within an epoch.
pub type Version = u64;
/// Number of a formation of the group; all orders and maps of earlier epochs are void.
pub type Epoch = u64;

/// A switch of maps at the start of a pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Switch {
    /// Map to switch to.
    pub version: Version,
    /// Pass from which on the map is in force.
    pub step: Step,
}

/// State of one rank, as its engine reports it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Sight {
    /// Index of the rank in its group.
    pub rank: Rank,
    /// Number of ranks in its group.
    pub size: Rank,
    /// Epoch that the rank belongs to.
    pub epoch: Epoch,
    /// Whether the group serves.
    pub is_open: bool,
    /// Whether an order is being carried out.
    pub is_busy: bool,
    /// Newest pass that has begun.
    pub step: Step,
    /// Map in force.
    pub version: Version,
    /// Map whose weights are loaded, if an order to prepare was completed.
    pub prepared: Option<Version>,
    /// Pending switch.
    pub armed: Option<Switch>,
    /// Pass that the group does not begin until this rank is released.
    pub held: Option<Step>,
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Slowdown factor of its part of a pass, in hundredths; 100 if it is not slow.
    pub pace: u16,
}

impl Sight {
    /// Returns the slowdown factor of the rank's part of a pass; 1 if it is not slow.
    #[must_use]
    pub fn slowness(&self) -> f64 {
        slowness(self.pace)
    }
}

/// Converts a pace in hundredths to a slowdown factor of at least 1.
#[must_use]
pub fn slowness(pace: u16) -> f64 {
    f64::from(pace.max(USUAL_PACE)) / f64::from(USUAL_PACE)
}
