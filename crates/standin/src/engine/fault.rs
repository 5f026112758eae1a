//! Faults that a test sets; each post replaces all of them.

use auburnline_core::id::Expert;
use auburnline_core::id::Rank;
use serde::Deserialize;
use serde::Serialize;

/// Faults of an engine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// No step begins for this long.
    pub stall_ms: u64,
    /// Every stream is cut after this many tokens.
    pub kill_stream_after: Option<u32>,
    /// Every stream ends in a failure after this many tokens.
    pub fail_stream_after: Option<u32>,
    /// Every stream tells of garbage after this many tokens.
    pub garbage_after: Option<u32>,
    /// Streams stay open and carry nothing, from now on and for good.
    pub silent: bool,
    /// Requests for tokens are refused with this status, not run.
    pub refuse: Option<u16>,
    /// The connection is cut after the request was read and before the answer's head.
    pub kill_head: bool,
    /// Ranks that lose their weights now, as if replaced.
    pub replace: Vec<Rank>,
    /// Ranks that are slower than their work.
    pub slow: Vec<SlowRank>,
    /// Experts that draw more tokens than the others.
    pub hot: Vec<HotExpert>,
}

/// A straggler.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlowRank {
    /// Rank.
    pub rank: Rank,
    /// Multiplies its time.
    pub slow_factor: f64,
}

/// A popular expert.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HotExpert {
    /// Layer.
    pub layer: usize,
    /// Expert.
    pub expert: Expert,
    /// Its popularity, where the others have one.
    pub popularity: f64,
}
