//! Network I/O of a gateway.
//!
//! Callers' requests arrive over HTTP and are proxied to upstreams; gateways exchange state in UDP
//! datagrams. All decisions are made by `auburnline-gateway`. A [`Dialect`] encodes and decodes the
//! platform's messages, and a [`Source`] reads what the platform publishes. Everything runs on a
//! single thread: an instance has a fraction of one core, where switching threads costs more than
//! it gains.

mod admission;
mod answer;
mod arrival;
mod assign;
mod body;
mod callers;
mod clock;
mod condition;
mod crash;
mod demand;
mod dialect;
mod endpoints;
mod exchange;
mod export;
mod flight;
mod forecast;
mod gossip;
mod head;
mod hold;
mod limit;
mod memory;
mod migration;
mod payment;
mod probe;
mod room;
mod run;
mod settings;
mod shared;
mod shutdown;
mod source;
mod stream;
mod suspect;
mod telemetry;
mod transfer;

pub use clock::Clock;
pub use dialect::Backoff;
pub use dialect::Call;
pub use dialect::Classification;
pub use dialect::Dialect;
pub use dialect::DiscoveryRequest;
pub use dialect::Limit;
pub use dialect::Outbound;
pub use run::run;
pub use settings::Settings;
pub use source::Change;
pub use source::Feed;
pub use source::Snapshot;
pub use source::Source;
