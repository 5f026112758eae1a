//! Queued requests of one workspace and their order.

use std::collections::BTreeMap;
use std::time::Duration;

use auburnline_core::request::Priority;

use super::Settings;

/// Virtual time per token at weight 1.
const SCALE: i64 = 1 << 12;
const PRIORITIES: usize = 3;

/// Returns the virtual time by which `tokens` advance a flow of `weight`.
pub(super) fn virtual_tokens(tokens: u64, weight: u32) -> i64 {
    let tokens = i64::try_from(tokens).unwrap_or(i64::MAX);
    tokens.saturating_mul(SCALE) / i64::from(weight.max(1))
}

/// Position of a request in its flow; the smallest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Position {
    /// Time of arrival plus the delay of the priority, so that old batch requests go before new urgent ones.
    pub(super) effective_arrival: Duration,
    /// Number in the order of arrival; breaks ties.
    pub(super) sequence: u64,
    pub(super) priority: Priority,
}

/// Queued requests of one workspace, with its virtual time.
#[derive(Clone, Debug)]
pub(super) struct Flow<K> {
    pub(super) weight: u32,
    virtual_time: i64,
    queued: BTreeMap<Position, K>,
    /// Queued tokens by priority.
    tokens: [u64; PRIORITIES],
}

impl<K> Flow<K> {
    pub(super) fn new(virtual_time: i64, weight: u32) -> Self {
        Flow {
            weight: weight.max(1),
            virtual_time,
            queued: BTreeMap::new(),
            tokens: [0; PRIORITIES],
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    pub(super) fn virtual_time(&self) -> i64 {
        self.virtual_time
    }

    /// Advances a flow that had no queued requests to the queue's virtual time.
    pub(super) fn join(&mut self, virtual_time: i64) {
        self.virtual_time = self.virtual_time.max(virtual_time);
    }

    pub(super) fn push(&mut self, position: Position, key: K, tokens: u64) {
        self.tokens[position.priority as usize] += tokens;
        self.queued.insert(position, key);
    }

    pub(super) fn remove(&mut self, position: Position, tokens: u64) {
        self.tokens[position.priority as usize] -= tokens;
        self.queued.remove(&position);
    }

    /// Advances the virtual time for a request that starts.
    pub(super) fn advance(&mut self, tokens: u64) {
        self.virtual_time += virtual_tokens(tokens, self.weight);
    }

    /// Credits tokens that a request did not use, but doesn't move the flow to before the queue's virtual time.
    pub(super) fn credit(&mut self, unused: u64, virtual_time: i64) {
        let credited = self.virtual_time - virtual_tokens(unused, self.weight);
        self.virtual_time = credited.max(virtual_time.min(self.virtual_time));
    }

    /// Returns the tag of the first request: the flow's virtual time less the head start of the priority. The flow
    /// with the smallest tag is served next.
    pub(super) fn tag(&self, settings: &Settings) -> i64 {
        let head_start = self
            .queued
            .first_key_value()
            .map_or(0, |(position, _)| settings.head_start(position.priority));
        self.virtual_time - virtual_tokens(head_start, 1)
    }

    /// Returns how far this flow is ahead of the queue's virtual time, in tokens per unit of weight; zero if it
    /// is behind.
    #[expect(
        clippy::cast_precision_loss,
        reason = "an estimate needs no more digits"
    )]
    pub(super) fn lead(&self, virtual_time: i64) -> f64 {
        (self.virtual_time - virtual_time).max(0) as f64 / SCALE as f64
    }

    /// Returns the tokens of queued requests of `priority` and higher ones, which go before a new request of it.
    pub(super) fn ahead_of(&self, priority: Priority) -> u64 {
        self.tokens[priority as usize..].iter().sum()
    }

    /// Returns the queued tokens divided by the weight, in virtual time.
    pub(super) fn normalized_backlog(&self) -> i64 {
        virtual_tokens(self.tokens.iter().sum(), self.weight)
    }

    /// Returns the request that is served next. The flow must not be empty.
    pub(super) fn first(&self) -> (&Position, &K) {
        self.queued
            .first_key_value()
            .expect("the flow has queued requests")
    }

    /// Returns the request that would be served last. The flow must not be empty.
    pub(super) fn last(&self) -> (&Position, &K) {
        self.queued
            .last_key_value()
            .expect("the flow has queued requests")
    }

    pub(super) fn keys(&self) -> impl Iterator<Item = &K> {
        self.queued.values()
    }
}
