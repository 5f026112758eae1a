//! Interface towards callers: HTTP/1.1 by dropshot.
//!
//! The crate reads requests, checks their form and hands them over as [`command::Command`]s on a
//! bounded ring; it writes answers as they come, as server-sent events or whole. It knows nothing of
//! upstreams, limits or attempts, and it decides nothing but the form of an answer.

mod api;
pub mod command;
mod event;
mod failure;
mod headers;
mod reply;
mod server;
mod socket;
mod timed;

pub use self::api::Discovery;
pub use self::api::Place;
pub use self::api::State;
pub use self::api::Status;
pub use self::server::Config;
pub use self::server::Server;
pub use self::server::description;
pub use self::server::document;
