//! Input and output of a gateway.
//!
//! Callers' requests come in over HTTP, go straight to upstreams and come back; other gateways are
//! told by datagrams. What is decided is decided by `auburnline-gateway`; how a platform spells its
//! messages is told by a [`Dialect`], and what it publishes comes through a [`Source`]. One thread
//! does all of it: the instances have a part of one core, where a change of thread costs more than
//! it gains.

mod answer;
mod assign;
mod beats;
mod callers;
mod clock;
mod condition;
mod crash;
mod dialect;
mod exchange;
mod flight;
mod head;
mod limit;
mod moving;
mod run;
mod settings;
mod shared;
mod site;
mod source;
mod stream;
mod tell;

pub use clock::Clock;
pub use dialect::Backoff;
pub use dialect::Call;
pub use dialect::Dialect;
pub use dialect::Limit;
pub use dialect::Onward;
pub use dialect::Question;
pub use dialect::Verdict;
pub use run::run;
pub use settings::Settings;
pub use source::All;
pub use source::Change;
pub use source::Feed;
pub use source::Source;
