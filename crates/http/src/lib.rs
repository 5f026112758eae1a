//! HTTP client for one upstream that reports whether a failed request ran.
//!
//! A request is sent once: this crate never retries by itself. Every failure is one of the closed
//! list [`Failure`], which tells whether the upstream may have run the request. Every wait has a
//! timeout, so that a connection on which nothing arrives ends in a failure, and what an upstream may
//! send is bounded in the head of an answer and in its body. This is not a general
//! HTTP client: it supports no redirects, no name resolution and no encryption.

mod body;
mod client;
mod failure;
mod meter;
mod timeouts;
mod wait;

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
pub use crate::wait::bounded;
