//! Which requests get capacity that is scarce, and what becomes of the others.
//!
//! - [`comeback`]: when a refused caller is to return, and what one that returned has spent
//! - [`demand`]: the demand by which gateways divide capacity
//! - [`exposure`]: how far a group is filled where demand for experts shifts
//! - [`forecast`]: what gateways tell each other of forward passes
//! - [`feature`]: which of these decisions the settings enable
//! - [`patience`]: how long a request may be held
//! - [`queue`]: the order of requests that wait at one gateway
//! - [`release`]: the rate at which they are served
//! - [`reserve`]: what is withheld from requests that go last
//! - [`share`]: a gateway's share by its part of the demand
//! - [`standing`]: the order of two requests that want the same capacity
//! - [`startup`]: which requests a gateway that starts holds
//!
//! This crate does no I/O, reads no clock and knows neither routes nor upstreams.

pub mod comeback;
pub mod demand;
pub mod exposure;
pub mod feature;
pub mod forecast;
pub mod patience;
pub mod queue;
pub mod release;
pub mod reserve;
pub mod share;
pub mod standing;
pub mod startup;
