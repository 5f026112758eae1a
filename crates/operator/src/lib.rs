//! Interface towards operators.
//!
//! Each daemon serves the same small HTTP API on an address of its own: health and readiness without
//! a token, all else with one. [`Server`] runs on a thread of its own and asks a [`Source`], which the
//! daemon provides; this crate knows nothing of entries and slots. The shapes in [`shape`] are also
//! what `auburnctl` reads. [`Board`] is the source that the daemons use: their deciding duty publishes
//! snapshots there, and the metrics of [`metric`] are read off them.
//!
//! `dropshot` bounds the body only. [`Server`] therefore takes the connections itself, bounds their
//! number and their lifetime, and hands the bytes on; the sum of a request's headers is checked
//! before its handler runs.

mod api;
mod board;
mod failure;
mod front;
pub mod metric;
mod process;
mod server;
pub mod shape;
mod source;
mod token;

pub use api::document;
pub use board::Board;
pub use board::Snapshot;
pub use failure::Failure;
pub use server::Options;
pub use server::Server;
pub use source::Source;
