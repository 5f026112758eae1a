//! Settings of the engine's stand-in.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use auburnline_core::id::Expert;
use auburnline_core::id::ModelId;
use auburnline_core::id::Rank;

/// Settings of the engine's stand-in.
#[derive(Clone, Debug)]
pub struct Config {
    pub(crate) listen: SocketAddr,
    pub(crate) first_rank: Rank,
    pub(crate) ranks: Rank,
    pub(crate) group_ranks: Rank,
    pub(crate) experts: Expert,
    pub(crate) layers: usize,
    pub(crate) places: usize,
    pub(crate) step_time: Duration,
    pub(crate) max_batch: usize,
    pub(crate) max_queue: usize,
    pub(crate) cache_blocks: usize,
    pub(crate) checks_fence: bool,
    pub(crate) models: Vec<(ModelId, String)>,
    pub(crate) load_time: Duration,
    pub(crate) lag: Duration,
    pub(crate) seed: u64,
    pub(crate) followers: Vec<SocketAddr>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            first_rank: 0,
            ranks: 4,
            group_ranks: 4,
            experts: 16,
            layers: 2,
            places: 5,
            step_time: Duration::from_millis(5),
            max_batch: 64,
            max_queue: 4096,
            cache_blocks: 4096,
            checks_fence: true,
            models: Vec::new(),
            load_time: Duration::from_millis(50),
            lag: Duration::from_millis(200),
            seed: 1,
            followers: Vec::new(),
        }
    }
}

/// Writes one method for each setting that a field alone decides.
macro_rules! settings {
    ($($(#[$doc:meta])* $name:ident: $kind:ty,)*) => {
        impl Config {
            $(
                $(#[$doc])*
                #[must_use]
                pub const fn $name(mut self, value: $kind) -> Self {
                    self.$name = value;
                    self
                }
            )*
        }
    };
}

settings! {
    /// Sets the address to listen on.
    listen: SocketAddr,
    /// Sets the number of the first rank on this instance.
    first_rank: Rank,
    /// Sets the experts of each layer.
    experts: Expert,
    /// Sets the number of layers.
    layers: usize,
    /// Sets the places of each rank in each layer.
    places: usize,
    /// Sets the time of a step of evenly loaded ranks.
    step_time: Duration,
    /// Sets the most requests in the running batch.
    max_batch: usize,
    /// Sets the most requests that wait.
    max_queue: usize,
    /// Sets the most blocks of prompts that the prefix cache holds.
    cache_blocks: usize,
    /// Sets whether an order with an older fencing number is refused.
    checks_fence: bool,
    /// Sets the time to load a model, an adapter or the weights of a map.
    load_time: Duration,
    /// Sets the lag of load and cache events.
    lag: Duration,
    /// Sets the seed of noise and gaps.
    seed: u64,
}

impl Config {
    /// Returns the default settings: four ranks, any model, a port of the kernel's choice.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the ranks on this instance, and the ranks of its group to the same.
    #[must_use]
    pub const fn ranks(mut self, ranks: Rank) -> Self {
        self.ranks = ranks;
        self.group_ranks = ranks;
        self
    }

    /// Sets the ranks of the whole group, where other instances hold some.
    #[must_use]
    pub const fn group_ranks(mut self, ranks: Rank) -> Self {
        self.group_ranks = ranks;
        self
    }

    /// Adds an instance with further ranks of the group, which enters each step with this one.
    #[must_use]
    pub fn follower(mut self, address: SocketAddr) -> Self {
        self.followers.push(address);
        self
    }

    /// Adds a model that is loaded from the start; with none, any model is served.
    #[must_use]
    pub fn model(mut self, model: &str, version: &str) -> Self {
        self.models.push((model.into(), version.to_owned()));
        self
    }
}
