//! Protocol between the processes of the system: entries and slots.
//!
//! [`wire`] gives the frames as plain Rust values, [`codec`] turns them into Cap'n Proto messages
//! with a length before each, and [`node`] keeps the TCP sessions of one process: it dials, accepts,
//! sends heartbeats and closes sessions that went silent. The crate decides nothing: whom to dial
//! and what a frame means is the business of the process that runs the node.

pub mod codec;
pub mod node;
#[rustfmt::skip]
#[allow(
    clippy::all,
    clippy::pedantic,
    missing_docs,
    unreachable_pub,
    reason = "generated from schema/peer.capnp"
)]
mod peer_capnp;
mod session;
mod traffic;
pub mod wire;
