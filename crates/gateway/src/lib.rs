//! Decisions of a gateway.
//!
//! A gateway is an entry that relays the HTTP requests of callers straight to upstreams, where no
//! process of the system stands beside the caller. [`route`] finds what a request may do,
//! [`upstream`] who may take it, [`pace`] whether a group of ranks can take it in time,
//! [`neighbour`] which other gateways live, [`knowledge`] how old the published state may be, and
//! [`event`] cuts streams into whole events. [`gateway`] joins them. Nothing here sends, reads a
//! clock or knows how a platform spells its messages.

pub mod event;
pub mod gateway;
pub mod knowledge;
pub mod neighbour;
pub mod pace;
pub mod route;
pub mod upstream;

pub use gateway::Gateway;
