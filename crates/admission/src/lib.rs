//! Which requests get capacity that is scarce, and what becomes of the others.
//!
//! - [`demand`]: the demand by which gateways divide capacity
//! - [`forecast`]: what gateways tell each other of forward passes
//! - [`feature`]: which of these decisions the settings enable
//! - [`reserve`]: what is withheld from requests that go last
//! - [`share`]: a gateway's share by its part of the demand
//! - [`standing`]: the order of two requests that want the same capacity
//!
//! This crate does no I/O, reads no clock and knows neither routes nor upstreams.

pub mod demand;
pub mod feature;
pub mod forecast;
pub mod reserve;
pub mod share;
pub mod standing;
