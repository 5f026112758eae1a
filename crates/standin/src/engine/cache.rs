//! Prefix cache with limited memory, and its events, late and with gaps.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use auburnline_core::hash::stable;
use auburnline_engine::CacheEvent;
use auburnline_engine::CacheEvents;
use auburnline_engine::wire::Change;
use tokio::time::Instant;

/// Most events that are kept.
const MAX_EVENTS: usize = 8192;
/// One event in so many is never told.
const GAP: u64 = 32;

/// Prefix cache.
#[derive(Debug)]
pub(crate) struct Cache {
    limit: usize,
    lag: Duration,
    seed: u64,
    clock: u64,
    used: BTreeMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    sequence: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl Cache {
    pub(crate) fn new(limit: usize, lag: Duration, seed: u64) -> Self {
        Self {
            limit,
            lag,
            seed,
            clock: 0,
            used: BTreeMap::new(),
            order: BTreeMap::new(),
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Stores the prefixes, shortest first, and returns how many at the head were cached before.
    pub(crate) fn admit(&mut self, prefixes: &[u64], now: Instant) -> usize {
        let hit = prefixes
            .iter()
            .take_while(|prefix| self.used.contains_key(prefix))
            .count();
        for &prefix in prefixes {
            self.touch(prefix, now);
        }
        hit
    }

    fn touch(&mut self, prefix: u64, now: Instant) {
        self.clock += 1;
        match self.used.insert(prefix, self.clock) {
            Some(before) => {
                self.order.remove(&before);
            }
            None => self.tell(Change::Stored, prefix, now),
        }
        self.order.insert(self.clock, prefix);
        while self.used.len() > self.limit {
            let Some((_, oldest)) = self.order.pop_first() else {
                break;
            };
            self.used.remove(&oldest);
            self.tell(Change::Evicted, oldest, now);
        }
    }

    fn tell(&mut self, change: Change, prefix: u64, now: Instant) {
        self.sequence += 1;
        if stable(self.seed, &self.sequence.to_le_bytes()).is_multiple_of(GAP) {
            return;
        }
        let event = CacheEvent {
            sequence: self.sequence,
            change,
            prefix,
        };
        self.events.push_back((now, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events after `after` that are old enough to be told.
    pub(crate) fn events(&self, after: u64, now: Instant) -> CacheEvents {
        let events: Vec<CacheEvent> = self
            .events
            .iter()
            .filter(|(at, event)| *at + self.lag <= now && event.sequence > after)
            .map(|(_, event)| *event)
            .collect();
        let mut expected = after + 1;
        let mut gap = false;
        for event in &events {
            gap |= event.sequence != expected;
            expected = event.sequence + 1;
        }
        CacheEvents {
            last: expected - 1,
            gap,
            events,
        }
    }
}
