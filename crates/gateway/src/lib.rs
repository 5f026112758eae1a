//! Decisions of a gateway.
//!
//! A gateway is an entry that relays the HTTP requests of callers straight to upstreams, where no
//! process of the system stands beside the caller. [`route`] finds what a request may do,
//! [`upstream`] who may take it, `departure` who of them leaves or left, [`choice`] who of them does, [`group`] which of them run in lock-step, [`pace`] whether a group can
//! take it in time, `caution` how far it is filled where demand shifts often, [`report`] what the groups' leads tell of their load,
//! [`neighbour`] which other gateways live, [`message`] what they say to each other, [`quarantine`] which requests crash what runs them, [`limit`] which rates upstreams take, `backoff` which of them want nothing for a time, [`knowledge`] how old the published state may be,
//! [`spread`] who reads the store for whom, `version` whether another gateway has a newer configuration, and [`event`] cuts streams into whole events.
//! [`gateway`] joins them. Nothing here sends, reads a clock or knows how a platform spells its
//! messages.

mod address;
mod admission;
mod allowance;
mod assign;
mod backoff;
mod caution;
pub mod choice;
mod departure;
pub mod event;
pub mod gateway;
pub mod group;
pub mod knowledge;
pub mod limit;
mod member;
pub mod message;
mod moving;
pub mod neighbour;
pub mod pace;
pub mod quarantine;
pub mod report;
pub mod request;
mod room;
pub mod route;
mod share;
pub mod spread;
pub mod upstream;
mod version;

pub use gateway::Gateway;

/// Returns a count as a real number.
#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
pub(crate) const fn real(count: usize) -> f64 {
    count as f64
}
