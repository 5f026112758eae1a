//! HTTP exchange with one upstream, with the fate of what was sent.
//!
//! A request goes out once: this package never sends again by itself. Every failure is one of the
//! closed list [`Failure`], and tells whether the upstream may have run the request. Every wait has
//! a bound, so that a connection that went silent ends in a failure. This is not a general HTTP
//! client: there are no redirects, no names to resolve and no encryption.

mod body;
mod client;
mod failure;
mod silence;
mod timeouts;

pub use crate::body::Body;
pub use crate::client::Client;
pub use crate::client::Connection;
pub use crate::client::MAX_JSON_BYTES;
pub use crate::client::NOT_RUN;
pub use crate::client::Reply;
pub use crate::client::json;
pub use crate::client::json_within;
pub use crate::failure::Failure;
pub use crate::timeouts::Timeouts;
