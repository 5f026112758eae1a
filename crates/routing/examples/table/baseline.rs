//! The policies that the router of this crate is compared with.

use auburnline_core::hash::rendezvous;
use auburnline_core::load::Report;
use auburnline_core::time::Monotonic;
use auburnline_routing::Query;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::policy::Policy;
use crate::policy::group_id;

/// Maximum depth, in blocks, of the prefix that [`Affinity`] hashes.
const AFFINITY_DEPTH: u16 = 8;

fn all(groups: usize) -> Vec<usize> {
    (0..groups).collect()
}

/// Chooses a group uniformly at random.
pub(crate) struct Random(Vec<usize>);

impl Random {
    pub(crate) fn new(groups: usize) -> Self {
        Random(all(groups))
    }
}

impl Policy for Random {
    fn choose(&mut self, _: usize, _: &Query, _: Monotonic, rng: &mut ChaCha8Rng) -> usize {
        self.0.choose(rng).copied().unwrap_or(0)
    }

    fn lost(&mut self, group: usize) {
        self.0.retain(|&other| other != group);
    }
}

/// Chooses the groups in turn.
pub(crate) struct RoundRobin {
    live: Vec<usize>,
    next: usize,
}

impl RoundRobin {
    pub(crate) fn new(groups: usize, entry: usize) -> Self {
        RoundRobin {
            live: all(groups),
            next: entry,
        }
    }
}

impl Policy for RoundRobin {
    fn choose(&mut self, _: usize, _: &Query, _: Monotonic, _: &mut ChaCha8Rng) -> usize {
        self.next += 1;
        self.live[self.next % self.live.len()]
    }

    fn lost(&mut self, group: usize) {
        self.live.retain(|&other| other != group);
    }
}

/// Chooses the group with the least backlog in the last reports, ties at random.
pub(crate) struct LeastLoaded {
    live: Vec<usize>,
    backlog: Vec<u64>,
}

impl LeastLoaded {
    pub(crate) fn new(groups: usize) -> Self {
        LeastLoaded {
            live: all(groups),
            backlog: vec![0; groups],
        }
    }
}

impl Policy for LeastLoaded {
    fn choose(&mut self, _: usize, _: &Query, _: Monotonic, rng: &mut ChaCha8Rng) -> usize {
        let least = self.live.iter().map(|&group| self.backlog[group]).min();
        let even = |&&group: &&usize| Some(self.backlog[group]) == least;
        let ties: Vec<usize> = self.live.iter().filter(even).copied().collect();
        ties.choose(rng).copied().unwrap_or(0)
    }

    fn report(&mut self, group: usize, report: Report, _now: Monotonic) {
        self.backlog[group] = report.load.backlog_tokens;
    }

    fn lost(&mut self, group: usize) {
        self.live.retain(|&other| other != group);
    }
}

/// Chooses by rendezvous hashing of the prompt's prefix, whatever the load.
pub(crate) struct Affinity(Vec<usize>);

impl Affinity {
    pub(crate) fn new(groups: usize) -> Self {
        Affinity(all(groups))
    }
}

impl Policy for Affinity {
    fn choose(&mut self, _: usize, query: &Query, _: Monotonic, _: &mut ChaCha8Rng) -> usize {
        let keys = query.prefix.keys();
        let deepest = keys.rev().find(|&(depth, _)| depth <= AFFINITY_DEPTH);
        let key = deepest.map_or(0, |(_, key)| key).to_string();
        let score = |&group: &usize| rendezvous(&key, &group_id(group));
        self.0.iter().copied().max_by_key(score).unwrap_or(0)
    }

    fn lost(&mut self, group: usize) {
        self.0.retain(|&other| other != group);
    }
}
