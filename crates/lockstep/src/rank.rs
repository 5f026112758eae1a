//! Reported state of one rank.

use auburnline_core::id::Rank;
use auburnline_core::id::Step;
use serde::Deserialize;
use serde::Serialize;

/// Slowdown of a rank that is not slow, in percent.
pub const NOMINAL_SLOWDOWN_PERCENT: u16 = 100;

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
pub struct State {
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
    /// Slowdown factor of its part of a pass, in percent; 100 if it is not slow.
    pub slowdown_percent: u16,
    /// Whether the engine left an order unanswered of late, however often it was sent.
    pub is_unresponsive: bool,
}

impl State {
    /// Returns the slowdown factor of the rank's part of a pass; 1 if it is not slow.
    #[must_use]
    pub fn slowdown(&self) -> f64 {
        slowdown(self.slowdown_percent)
    }
}

/// Converts a slowdown in percent to a slowdown factor of at least 1.
#[must_use]
pub fn slowdown(percent: u16) -> f64 {
    f64::from(percent.max(NOMINAL_SLOWDOWN_PERCENT)) / f64::from(NOMINAL_SLOWDOWN_PERCENT)
}
