//! Planning of expert maps from measured popularity.
//!
//! A [`planner::Planner`] observes reports of token counts and busy times of one group's ranks and
//! decides on request whether the group's expert map should change. It reads no clock, does no I/O
//! and draws no random numbers: the same calls give the same decisions.
//!
//! - [`counts`] defines what a group reports;
//! - [`popularity`] estimates the experts' shares of tokens from late, missing and noisy counts;
//! - [`skew`] predicts the step time of a map under an estimate;
//! - [`straggler`] detects slow ranks, which never lead to a change of map;
//! - [`search`] finds small changes of one layer, and [`pack`] builds a layer from scratch;
//! - [`plan`] weighs the gain of a change against its costs;
//! - [`decision`] defines the result with its reason, and [`planner`] combines the other modules.

pub mod config;
pub mod counts;
pub mod decision;
pub mod pack;
pub mod plan;
pub mod planner;
pub mod popularity;
pub mod search;
pub mod skew;
pub mod straggler;

pub use config::Config;
pub use counts::Counts;
pub use decision::Decision;
pub use planner::Planner;

/// Converts a count, saturating at `u32::MAX`.
pub(crate) fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
