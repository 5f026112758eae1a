//! Which requests get capacity that is scarce, and what becomes of the others.
//!
//! - [`demand`]: the demand by which gateways divide capacity
//! - [`exposure`]: how far a group is filled where demand for experts shifts
//! - [`forecast`]: what gateways tell each other of forward passes
//! - [`feature`]: which of these decisions the settings enable
//! - [`standing`]: the order of two requests that want the same capacity
//!
//! This crate does no I/O, reads no clock and knows neither routes nor upstreams.

pub mod demand;
pub mod exposure;
pub mod feature;
pub mod forecast;
pub mod standing;
