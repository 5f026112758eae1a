//! Real processes and stand-ins for tests and measurements.
//!
//! [`deployment::Deployment`] starts entries and slots as processes on loopback addresses of its own,
//! with stand-ins for upstreams and platform in this process; it publishes, kills, freezes and
//! restarts. [`caller::Caller`] sends requests as a caller would and keeps what it got. The crate is
//! no part of the product and decides nothing about what is right: tests do.

pub mod caller;
pub mod deployment;
pub mod process;
pub mod rehearsal;
pub mod shape;
pub mod watch;

mod fleet;
mod net;

pub use self::fleet::SCARCE;
pub use self::fleet::SCARCE_BURST;
pub use self::fleet::SCARCE_RATE;
