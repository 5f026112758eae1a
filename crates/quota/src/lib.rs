//! Distributed enforcement of rate limits set by upstreams.
//!
//! An upstream may advertise a limit in its responses: the number of requests per second that it accepts from all gateways
//! combined. A [`registry::Registry`] stores the limits learned from responses and from other gateways. Each gateway owns an
//! equal share of each limit and lends it to the limit's home, a live gateway chosen by rendezvous hashing ([`loan::Lender`]).
//! The home grants permits for single requests, at the rate covered by the shares lent to it ([`home::Home`]).
//!
//! Gateways may disagree about which gateway is the home while some start, stop, freeze or are partitioned. Since a share is
//! lent to only one home at a time, all homes combined never permit more than the limit.
//!
//! This crate performs no I/O, reads no clock and does not know how a limit is encoded in a response.

pub mod home;
pub mod loan;
pub mod registry;

/// Identifier of one process start of an upstream, identical on all gateways.
pub type UpstreamTag = u64;
/// Identifier of a gateway that lends its share of a limit.
pub type LenderTag = u64;
/// Requests per second, summed over all gateways.
pub type Rate = f64;
