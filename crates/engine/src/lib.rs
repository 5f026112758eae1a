//! Client of model engines.
//!
//! An engine generates tokens, reports load, cache events and expert counts, and takes orders.
//! This package turns each of these into one typed exchange and decides nothing. The shapes that
//! travel are in [`wire`] and [`order`]; both ends of the protocol use them.

mod client;
pub mod order;
mod tokens;
pub mod wire;

pub use auburnline_http::Failure;
pub use auburnline_http::Timeouts;

pub use crate::client::Client;
pub use crate::order::Action;
pub use crate::order::Order;
pub use crate::order::Outcome;
pub use crate::tokens::Tokens;
pub use crate::wire::CacheEvent;
pub use crate::wire::CacheEvents;
pub use crate::wire::ExpertCounts;
pub use crate::wire::Generate;
pub use crate::wire::Holdings;
