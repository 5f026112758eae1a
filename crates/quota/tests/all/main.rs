//! Distributed enforcement of rate limits set by upstreams.

mod home;
mod registry;
