//! Distributed enforcement of rate limits set by upstreams.

mod book;
mod home;
