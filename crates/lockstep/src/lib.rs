//! Expert map changes for groups in which a hold on one rank stops all ranks.
//!
//! The ranks of a group run each forward pass together and do not compare their expert maps, so a map must
//! change on all of them at the same pass or on none. [`change`] is the protocol for one change; its orders
//! may be lost, delayed or duplicated. [`popularity`] estimates which experts are selected, [`plan`] finds a
//! layout that is worth a change at the [`cost`] of a pass, and [`coordinator`] combines them in the sidecar
//! next to rank 0, the leader. [`output`] defines what it returns: orders to send and events to log.
//! [`standby`] ends a hold when the leader has failed.
//!
//! [`message`] defines the messages between sidecars and to gateways. [`traffic`] bounds the share of an
//! instance's link that they use, [`aggregation`] assigns ranks to aggregators of expert counts and [`tally`]
//! sums those counts, and [`query`] schedules the leader's membership queries to gateways.
//!
//! `auburnline-experts` does the same for engines in which each rank is held separately. This crate does no
//! I/O and reads no clock.

pub mod aggregation;
pub mod change;
pub mod coordinator;
pub mod cost;
pub mod layout;
pub mod message;
pub mod output;
mod outstanding;
pub mod passes;
pub mod plan;
pub mod popularity;
pub mod query;
pub mod rank;
pub mod standby;
pub mod tally;
pub mod traffic;

pub use coordinator::Coordinator;

/// Converts a count to `f64`; one beyond `u32` becomes `f64::MAX`.
pub(crate) fn to_f64(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
