//! Routing decisions of a gateway.
//!
//! A gateway is an entry that relays the HTTP requests of callers directly to upstreams. It is used
//! where no process of the system runs beside the caller. [`gateway`] combines these modules:
//!
//! - [`route`]: which route and service apply to a request, by the configuration in force
//! - [`upstream`]: the pool of upstreams that accept work
//! - `departure`: which upstreams are leaving or have left
//! - [`evacuation`]: which failure domains get no new requests
//! - [`demand`]: how much of a group's capacity is this gateway's
//! - [`choice`]: which upstream a request is sent to
//! - [`group`]: which upstreams run in lock-step
//! - [`pace`]: how many streams a group can serve in time
//! - `waiting`: in which order requests that wait are sent
//! - `caution`: how far a group is filled where demand shifts often
//! - [`forecast`]: what gateways tell each other of a group's passes
//! - [`report`]: the load that group leaders report
//! - [`neighbour`]: which other gateways are alive
//! - [`message`]: the messages between gateways
//! - [`prompt`]: which parts of prompts requests share
//! - [`quarantine`]: which requests crash the upstreams that run them
//! - [`limit`]: the rate limits that upstreams announce
//! - `startup`: which requests wait until a gateway that starts can serve
//! - `comeback`: when refused callers are to return, and which ones have
//! - `bounds`: what operators bound
//! - `backoff`: which upstreams have asked for backoff
//! - `warm_up`: how often cold upstreams may be used
//! - [`freshness`]: how old the known state may be
//! - [`published`]: what is read from the store
//! - [`spread`]: which gateways read the store on behalf of others
//! - `subscription`: which gateways are sent changes without asking
//! - [`transfer`]: how a gateway that starts gets the published state from others
//! - [`unread`]: which attempts may still arrive at upstreams that show nothing
//! - `share`: parts of what the fleet shares
//! - [`settled`]: which upstreams missing from the list are gone
//! - `version`: whether another gateway has a newer configuration
//! - [`event`]: splitting streams into whole events
//!
//! This crate does no I/O, reads no clock and is independent of a platform's message format.

mod address;
mod admission;
mod allowance;
mod assign;
mod backoff;
mod bounds;
mod caution;
pub mod choice;
mod comeback;
pub mod demand;
mod departure;
mod duration;
pub mod evacuation;
pub mod event;
pub mod forecast;
pub mod freshness;
pub mod gateway;
pub mod group;
mod headroom;
pub mod limit;
mod member;
pub mod message;
mod moving;
pub mod neighbour;
pub mod pace;
pub mod prompt;
pub mod published;
pub mod quarantine;
pub mod report;
pub mod request;
mod retry_budget;
pub mod route;
pub mod settled;
mod share;
pub mod spread;
mod startup;
mod subscription;
pub mod transfer;
pub mod unread;
pub mod upstream;
mod version;
mod waiting;
mod warm_up;

pub use gateway::Gateway;

/// Converts a count to a floating-point number.
#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
pub(crate) const fn real(count: usize) -> f64 {
    count as f64
}
