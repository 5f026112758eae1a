//! What a group reports about a span of steps.
//!
//! Reports arrive late, in any order, twice or not at all. Times are durations, never readings of
//! another process's clock.

use std::time::Duration;

use auburnline_core::id::Expert;
use auburnline_core::id::Rank;
use serde::Deserialize;
use serde::Serialize;

/// Token counts and busy times of a group over one span.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Number of the report, growing by one with each span.
    pub sequence: u64,
    /// Time since the span ended.
    pub age: Duration,
    /// Length of the span.
    pub span: Duration,
    /// Tokens routed to each expert, by layer.
    pub layers: Vec<Vec<u32>>,
    /// Work of each rank over all layers.
    pub ranks: Vec<Work>,
}

/// Work of one rank over a span.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Tokens that its experts handled, over all layers.
    pub tokens: u64,
    /// Time that its experts were busy.
    pub busy: Duration,
}

/// Sizes of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Layers.
    pub layers: usize,
    /// Experts in each layer.
    pub experts: Expert,
    /// Ranks.
    pub ranks: Rank,
}

/// What became of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intake {
    /// It was taken in.
    Taken,
    /// Its sequence number was seen before.
    Repeated,
    /// It is too old.
    Stale,
    /// Its sizes are not the group's, or it covers no time.
    Malformed,
}

impl Counts {
    /// Tells whether the report has the sizes of the group and covers some time.
    #[must_use]
    pub fn fits(&self, shape: Shape) -> bool {
        let experts = usize::from(shape.experts);
        !self.span.is_zero()
            && self.layers.len() == shape.layers
            && self.ranks.len() == usize::from(shape.ranks)
            && self.layers.iter().all(|layer| layer.len() == experts)
    }
}

/// Sequence numbers seen of late.
///
/// A number from before all those kept starts a new series: the reporting process has restarted.
#[derive(Clone, Debug, Default)]
pub struct Window {
    highest: u64,
    seen: u64,
}

impl Window {
    /// Notes `sequence`; tells whether it is new.
    pub fn insert(&mut self, sequence: u64) -> bool {
        if self.seen == 0 || sequence > self.highest {
            self.advance(sequence);
            return true;
        }
        let back = self.highest - sequence;
        if back >= u64::from(u64::BITS) {
            *self = Window {
                highest: sequence,
                seen: 1,
            };
            return true;
        }
        if self.seen >> back & 1 == 1 {
            return false;
        }
        self.seen |= 1 << back;
        true
    }

    fn advance(&mut self, sequence: u64) {
        let ahead = u32::try_from(sequence - self.highest).unwrap_or(u32::MAX);
        self.seen = self.seen.checked_shl(ahead).unwrap_or(0) | 1;
        self.highest = sequence;
    }
}
