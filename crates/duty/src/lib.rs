//! Worker threads, the bounded channels between them, logs and metrics.
//!
//! A process of the system consists of a few workers. Each runs on its own thread with a
//! single-threaded runtime ([`thread`]), and they exchange messages over channels of fixed capacity
//! ([`ring`]): sending to a full channel fails at once or after a bounded wait. [`clock`] provides the
//! time that decisions use; [`logging`], [`decisions`] and [`metrics`] with [`scrape`] provide
//! observability; [`descriptors`] and [`memory`] provide what of both the process may have.
//! This crate contains no decision logic.

pub mod clock;
pub mod decisions;
pub mod descriptors;
pub mod logging;
pub mod memory;
pub mod metrics;
pub mod program;
pub mod ring;
pub mod scrape;
pub mod thread;
