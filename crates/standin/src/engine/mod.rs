//! Stand-in for a model engine: the ranks of a group that stand on one instance.
//!
//! Requests wait by priority, join a running batch, and get one token a step. All ranks advance in
//! lock-step: a step lasts as long as its slowest rank, and none begins while a rank holds. Load,
//! cache events and expert counts are told late, with gaps and noise, as real engines do.

mod api;
mod batch;
mod cache;
mod config;
mod experts;
mod fault;
mod holdings;
mod lag;
mod pace;
mod ranks;
mod state;
mod stream;

use std::io;

pub use crate::engine::config::Config;
pub use crate::engine::fault::Fault;
pub use crate::engine::fault::HotExpert;
pub use crate::engine::fault::SlowRank;
use crate::server;
use crate::server::Handle;

/// Stand-in for a model engine.
#[derive(Debug)]
pub struct Engine;

impl Engine {
    /// Starts an engine on a thread of its own.
    ///
    /// # Errors
    ///
    /// Returns why it can't listen.
    pub fn start(config: Config) -> io::Result<Handle> {
        server::start(config.listen, move || api::Api::new(config))
    }
}
