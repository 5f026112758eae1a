//! Threads for duties and the bounded rings that join them.
//!
//! A process of the system is a handful of duties. Each has a thread of its own with a
//! single-threaded runtime ([`thread`]), and duties pass messages over rings of fixed capacity
//! ([`ring`]): a full ring is an answer, never a wait without limit. [`clock`] gives the time that
//! decisions see; [`logging`], [`decisions`] and [`metrics`] with [`scrape`] let operators look in. Nothing here
//! decides anything.

pub mod clock;
pub mod decisions;
pub mod logging;
pub mod metrics;
pub mod program;
pub mod ring;
pub mod scrape;
pub mod thread;
