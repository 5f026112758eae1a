//! Rate limits that upstreams name, held by all gateways together.
//!
//! An upstream in need names a limit in its answers: the requests a second that it takes from all gateways together. A
//! [`book::Book`] keeps what was named and what gateways tell each other of it. Nothing here sends, reads a clock or knows how
//! a limit is spelled.

pub mod book;

/// Number of one start of an upstream, by which all gateways know it.
pub type UpstreamTag = u64;
/// Requests a second from all gateways together.
pub type Rate = f64;
