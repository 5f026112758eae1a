//! Reports of a group about a span of steps.
//!
//! Reports arrive late, in any order, twice or not at all. All times are durations, never
//! readings of another process's clock.

use std::time::Duration;

use auburnline_core::id::Expert;
use auburnline_core::id::Rank;
use serde::Deserialize;
use serde::Serialize;

/// Token counts and busy times of a group over one span.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Number of the report; increases by one with each span.
    pub sequence: u64,
    /// Time between the end of the span and the arrival of the report.
    pub age: Duration,
    /// Length of the span.
    pub span: Duration,
    /// Number of tokens routed to each expert, by layer.
    pub layers: Vec<Vec<u32>>,
    /// Work of each rank, summed over the layers.
    pub ranks: Vec<Work>,
}

/// Work of one rank over a span.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Number of tokens that its experts processed, summed over the layers.
    pub tokens: u64,
    /// Time for which its experts were busy.
    pub busy: Duration,
}

/// Dimensions of a group's expert maps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Number of layers with experts.
    pub layers: usize,
    /// Number of experts in each layer, without replicas.
    pub experts: Expert,
    /// Number of ranks that the experts are spread over.
    pub ranks: Rank,
}

/// Result of passing a report to the planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intake {
    /// It is part of the estimates now.
    Taken,
    /// A report with its sequence number was taken before.
    Repeated,
    /// Its age exceeds the limit.
    Stale,
    /// Its dimensions differ from the group's, or its span is zero.
    Malformed,
}

impl Counts {
    /// Returns whether the report has the dimensions of the group and a span above zero.
    #[must_use]
    pub fn fits(&self, shape: Shape) -> bool {
        let experts = usize::from(shape.experts);
        !self.span.is_zero()
            && self.layers.len() == shape.layers
            && self.ranks.len() == usize::from(shape.ranks)
            && self.layers.iter().all(|layer| layer.len() == experts)
    }
}

/// Sliding window over the last 64 sequence numbers, to recognise duplicates.
///
/// A number older than the window starts a new series: the reporting process has restarted.
#[derive(Clone, Debug, Default)]
pub struct Window {
    highest: u64,
    seen: u64,
}

impl Window {
    /// Records `sequence` and returns whether it is new.
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
