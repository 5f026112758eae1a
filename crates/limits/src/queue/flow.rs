//! One workspace's waiting requests and its virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use auburnline_core::request::Priority;

use super::Settings;

/// Virtual time of one token at weight 1.
const SCALE: i64 = 1 << 12;
/// Number of priorities.
const CLASSES: usize = 3;

/// Returns the virtual time that `tokens` take at `weight`.
pub(super) fn virtual_tokens(tokens: u64, weight: u32) -> i64 {
    let tokens = i64::try_from(tokens).unwrap_or(i64::MAX);
    tokens.saturating_mul(SCALE) / i64::from(weight.max(1))
}

/// Place of a request in its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Position {
    /// Time of arrival plus the delay of its priority, so that old batch work passes new urgent.
    pub(super) effective_arrival: Duration,
    /// Order of arrival.
    pub(super) sequence: u64,
    /// Its priority.
    pub(super) priority: Priority,
}

/// One workspace's waiting requests and its virtual time.
#[derive(Clone, Debug)]
pub(super) struct Flow<K> {
    pub(super) weight: u32,
    virtual_time: i64,
    waiting: BTreeMap<Position, K>,
    tokens: [u64; CLASSES],
}

impl<K> Flow<K> {
    pub(super) fn new(virtual_time: i64, weight: u32) -> Self {
        Flow {
            weight: weight.max(1),
            virtual_time,
            waiting: BTreeMap::new(),
            tokens: [0; CLASSES],
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(super) fn virtual_time(&self) -> i64 {
        self.virtual_time
    }

    /// Brings a flow that had nothing to wait for up to the common virtual time.
    pub(super) fn join(&mut self, virtual_time: i64) {
        self.virtual_time = self.virtual_time.max(virtual_time);
    }

    pub(super) fn push(&mut self, position: Position, key: K, tokens: u64) {
        self.tokens[position.priority as usize] += tokens;
        self.waiting.insert(position, key);
    }

    pub(super) fn remove(&mut self, position: Position, tokens: u64) {
        self.tokens[position.priority as usize] -= tokens;
        self.waiting.remove(&position);
    }

    /// Charges the flow for a request that starts.
    pub(super) fn advance(&mut self, tokens: u64) {
        self.virtual_time += virtual_tokens(tokens, self.weight);
    }

    /// Gives back what a request did not use, but never a place before the common virtual time.
    pub(super) fn credit(&mut self, unused: u64, virtual_time: i64) {
        let credited = self.virtual_time - virtual_tokens(unused, self.weight);
        self.virtual_time = credited.max(virtual_time.min(self.virtual_time));
    }

    /// Virtual time at which the first request goes.
    pub(super) fn tag(&self, settings: &Settings) -> i64 {
        let head_start = self
            .waiting
            .first_key_value()
            .map_or(0, |(position, _)| settings.head_start(position.priority));
        self.virtual_time - virtual_tokens(head_start, 1)
    }

    /// Tokens per weight by which this flow is ahead of the common virtual time.
    #[expect(
        clippy::cast_precision_loss,
        reason = "an estimate needs no more digits"
    )]
    pub(super) fn lead(&self, virtual_time: i64) -> f64 {
        (self.virtual_time - virtual_time).max(0) as f64 / SCALE as f64
    }

    /// Tokens that wait before a new request of `priority`.
    pub(super) fn ahead_of(&self, priority: Priority) -> u64 {
        self.tokens[priority as usize..].iter().sum()
    }

    /// Tokens that wait, over the weight.
    pub(super) fn normalized_backlog(&self) -> i64 {
        virtual_tokens(self.tokens.iter().sum(), self.weight)
    }

    pub(super) fn first(&self) -> (&Position, &K) {
        self.waiting
            .first_key_value()
            .expect("only flows that wait are asked")
    }

    /// The request that goes last.
    pub(super) fn last(&self) -> (&Position, &K) {
        self.waiting
            .last_key_value()
            .expect("only flows that wait are asked")
    }

    pub(super) fn keys(&self) -> impl Iterator<Item = &K> {
        self.waiting.values()
    }
}
