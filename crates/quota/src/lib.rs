//! Rate limits that upstreams name, held by all gateways together.
//!
//! An upstream in need names a limit in its answers: the requests a second that it takes from all gateways together. A
//! [`book::Book`] keeps what was named and what gateways tell each other of it. Each gateway owns an equal share of each limit
//! and lends it to the limit's home, the gateway that rendezvous hashing picks among the live ones
//! ([`loan::Lender`]). The home permits single requests, as fast as the shares lent to it allow ([`home::Home`]).
//!
//! Gateways may disagree on who the home is, while they start, stop, freeze or are cut off from each other. A share is lent
//! to one home at a time, so whatever they believe, all homes together permit no more than the limit.
//!
//! Nothing here sends, reads a clock or knows how a limit is spelled.

pub mod book;
pub mod home;
pub mod loan;

/// Number of one start of an upstream, by which all gateways know it.
pub type UpstreamTag = u64;
/// Number of a gateway that lends its share.
pub type LenderTag = u64;
/// Requests a second from all gateways together.
pub type Rate = f64;
