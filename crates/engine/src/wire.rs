//! Shapes of what an engine takes and tells.

use std::error::Error;
use std::fmt::Display;
use std::fmt::Formatter;
use std::time::Duration;

use auburnline_core::hash::stable;
use auburnline_core::id::Fence;
use auburnline_core::id::ModelId;
use auburnline_core::id::RequestId;
use auburnline_core::load;
use auburnline_core::request::Priority;
use serde::Deserialize;
use serde::Serialize;

use crate::order::Role;

/// Bytes of a prompt in one block of the prefix cache.
pub const BLOCK_BYTES: usize = 64;
/// Seed of the hash of a prefix.
const PREFIX_SEED: u64 = 0;

/// Request for tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generate {
    /// Idempotency key, names the stream for a cancel.
    pub id: RequestId,
    /// Model that generates.
    pub model: ModelId,
    /// Text to continue.
    pub prompt: String,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Order among waiting requests.
    #[serde(default)]
    pub priority: Priority,
    /// Fencing number of the sender, if it has one.
    #[serde(default)]
    pub fence: Option<Fence>,
}

/// One event of a stream of tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Event {
    /// Text of the next token.
    Token {
        /// Text.
        token: String,
    },
    /// The answer is whole.
    Done {
        /// Always true.
        done: bool,
        /// Tokens in the whole answer.
        tokens: u64,
    },
    /// The request failed after its start.
    Error {
        /// Reason.
        error: String,
    },
}

/// Request to end a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancel {
    /// Idempotency key of the stream.
    pub id: RequestId,
}

/// Answer to a [`Cancel`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancelled {
    /// Whether the stream was known and not yet over.
    pub known: bool,
}

/// Load as an engine tells it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that wait.
    pub queued: u32,
    /// Requests in the running batch.
    pub running: u32,
    /// Tokens still to be generated or prefilled.
    pub backlog_tokens: u64,
    /// Mean time of the last steps, in microseconds.
    pub step_time_us: u64,
    /// Largest over mean step time of the ranks.
    pub skew: f32,
    /// Time since the load was measured, in milliseconds.
    pub age_ms: u64,
}

/// Skew that no ranks can have, infinite or negative.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BadSkew(pub f32);

impl Display for BadSkew {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "a skew can't be {}", self.0)
    }
}

impl Error for BadSkew {}

impl TryFrom<Load> for load::Report {
    type Error = BadSkew;

    fn try_from(load: Load) -> Result<Self, BadSkew> {
        if !load.skew.is_finite() || load.skew < 0.0 {
            return Err(BadSkew(load.skew));
        }
        Ok(Self {
            load: load::Load {
                queued: load.queued,
                running: load.running,
                backlog_tokens: load.backlog_tokens,
                step_time: Duration::from_micros(load.step_time_us),
                skew: load.skew,
            },
            age: Duration::from_millis(load.age_ms),
        })
    }
}

/// What happened to a cached prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The prefix is cached.
    Stored,
    /// The prefix was dropped.
    Evicted,
}

/// One change of the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event, from 1.
    pub sequence: u64,
    /// What happened.
    pub change: Change,
    /// Hash of the prefix, see [`prefixes`].
    pub prefix: u64,
}

/// Changes of the prefix cache after a sequence number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Highest sequence number so far; ask after it next time.
    pub last: u64,
    /// Whether events between were dropped.
    pub gap: bool,
    /// Events in order.
    pub events: Vec<CacheEvent>,
}

/// Tokens routed to each expert, and the pace of each rank, since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpertCounts {
    /// Step at which the counts were taken; ask after it next time.
    pub step: u64,
    /// Tokens by layer and expert since the engine started; none if no step has passed since.
    pub layers: Vec<Vec<u64>>,
    /// Mean time of the last steps by rank, in microseconds.
    pub rank_time_us: Vec<u64>,
}

/// A model that an engine holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Model.
    pub model: ModelId,
    /// Version of its weights.
    pub version: String,
    /// Adapters beside it.
    pub adapters: Vec<String>,
    /// Whether it is loaded; else it still loads.
    pub ready: bool,
}

/// What an engine holds and does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holdings {
    /// Models.
    pub models: Vec<Holding>,
    /// Role.
    pub role: Role,
}

/// Returns the hashes of the whole blocks at the head of `prompt`, shortest first.
#[must_use]
pub fn prefixes(prompt: &str) -> Vec<u64> {
    let bytes = prompt.as_bytes();
    (1..=bytes.len() / BLOCK_BYTES)
        .map(|blocks| stable(PREFIX_SEED, &bytes[..blocks * BLOCK_BYTES]))
        .collect()
}
