//! Choice of expert maps from popularity.
//!
//! A [`planner::Planner`] takes reports of token counts and busy times of one group's ranks and
//! says, when asked, whether the group's expert map should change. It reads no clock, does no I/O
//! and draws no random number: the same reports and questions give the same decisions.
//!
//! - [`counts`] is what a group reports;
//! - [`popularity`] estimates shares of the experts from late, gappy and noisy counts;
//! - [`skew`] predicts the step time of a map under an estimate;
//! - [`straggler`] recognises slow ranks, which never lead to a change of map;
//! - [`search`] finds small changes of one layer, and [`pack`] lays a layer out anew;
//! - [`decision`] is the answer with its reason, and [`planner`] joins all of it.

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

/// Turns a small count into a number to calculate with.
pub(crate) fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
