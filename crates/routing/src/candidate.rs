//! Gathering of the few units that a decision scores.
//!
//! The number of candidates is fixed, so a decision costs the same in a small pool and in a large
//! one but for the logarithm of a search on the ring.

use std::time::Duration;

use auburnline_core::time::Monotonic;
use rand::Rng;

use crate::config::Config;
use crate::decision::Reason;
use crate::hint::Table;
use crate::hint::WAYS;
use crate::number::float;
use crate::prefix::BLOCK_TOKENS;
use crate::query::Query;
use crate::shard::Shard;
use crate::unit::Unit;

/// Most units drawn at random.
pub(crate) const MAX_DRAWN: usize = 4;
/// Most candidates that come from hints.
const MAX_CACHED: usize = 4;
/// Units known to cache a prefix from which on any is taken to.
const COMMON_HOLDERS: usize = WAYS;
/// Candidates that the ring names.
const MAX_RING: usize = 1;
/// Draws that may be lost to excluded or repeated units.
const MAX_REDRAWS: usize = 4;
/// Most points of the ring that a walk visits.
const MAX_RING_STEPS: usize = 256;
/// Most candidates of a decision: hints, ring, draws and one spill.
pub(crate) const MAX_CANDIDATES: usize = MAX_CACHED + MAX_RING + MAX_DRAWN + 1;

/// A unit to be scored.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Proposal {
    pub(crate) unit: u32,
    pub(crate) reason: Reason,
    /// Tokens of the prompt that it is expected to cache.
    pub(crate) cached: u64,
    pub(crate) hint_age: Option<Duration>,
}

/// All that gathering reads.
pub(crate) struct View<'a> {
    pub(crate) config: &'a Config,
    pub(crate) units: &'a [Option<Unit>],
    pub(crate) hints: &'a Table,
    pub(crate) shard: &'a Shard,
    pub(crate) query: &'a Query,
    pub(crate) now: Monotonic,
}

impl View<'_> {
    /// Returns the unit at `index` if it admits and this query may be sent to it.
    pub(crate) fn eligible(&self, index: u32) -> Option<&Unit> {
        let unit = self.units.get(index as usize)?.as_ref()?;
        let serves = unit.member.pool == self.query.pool && unit.member.model == self.query.model;
        let excluded = self.query.excluded.contains(&unit.group);
        (unit.admits() && serves && !excluded).then_some(unit)
    }

    /// Whether `unit` may be chosen under the load bound.
    ///
    /// With loads of one age, a unit at or below the mean passes. With mixed ages it can be that
    /// none does; then the least loaded candidate is taken.
    pub(crate) fn within_bound(&self, unit: &Unit) -> bool {
        let own = self.shard.backlog.own.saturating_add(self.query.tokens());
        let count = self.shard.admitting.len().max(1) as u64;
        let mean = self.shard.backlog.mean_reported() + float(own) / float(count);
        self.load(unit) <= self.config.load_bound * mean
    }

    /// Returns the tokens believed to be before `unit`.
    pub(crate) fn load(&self, unit: &Unit) -> f64 {
        let mean = self.shard.backlog.mean_reported();
        unit.estimated_load(mean, self.config, self.now)
    }

    /// Returns the candidates, at most [`MAX_CANDIDATES`].
    pub(crate) fn gather(&self, rng: &mut impl Rng) -> Vec<Proposal> {
        let mut proposals = Vec::with_capacity(MAX_CANDIDATES);
        self.add_cached(&mut proposals);
        self.add_ring_owner(&mut proposals);
        self.add_drawn(&mut proposals, rng);
        let bounded = |proposal: &Proposal| {
            self.eligible(proposal.unit)
                .is_some_and(|unit| self.within_bound(unit))
        };
        let common = self.common_tokens();
        for proposal in &mut proposals {
            proposal.cached = proposal.cached.max(common);
        }
        if !proposals.iter().any(bounded) {
            self.add_spill(&mut proposals, rng);
        }
        debug_assert!(proposals.len() <= MAX_CANDIDATES);
        proposals
    }

    /// Adds the units that hints name, those of the deepest prefix first.
    fn add_cached(&self, proposals: &mut Vec<Proposal>) {
        for (depth, key) in self.query.prefix.keys().rev() {
            for (unit, age) in self.hints.holders(key, self.now) {
                let known = proposals.iter().any(|proposal| proposal.unit == unit);
                let fresh = age <= self.config.max_hint_age;
                if proposals.len() < MAX_CACHED && !known && fresh && self.eligible(unit).is_some()
                {
                    proposals.push(Proposal {
                        unit,
                        reason: Reason::Cached,
                        cached: u64::from(depth) * BLOCK_TOKENS,
                        hint_age: Some(age),
                    });
                }
            }
        }
    }

    /// Adds the owner, on the ring, of the shallowest prefix that this process has not seen.
    ///
    /// Prefixes that many prompts share are known to every entry, so this one is the first that
    /// holds the case's own text. Each entry that meets the case for the first time names the same
    /// unit for it, which then caches what the case's earlier requests left there.
    fn add_ring_owner(&self, proposals: &mut Vec<Proposal>) {
        let Some((deepest, _)) = self.query.prefix.keys().next_back() else {
            return;
        };
        let Some((_, key)) = self
            .query
            .prefix
            .keys()
            .find(|&(_, key)| !self.has_fresh_hint(key))
        else {
            return;
        };
        let mut walk = self.shard.ring.successors(key).take(MAX_RING_STEPS);
        let Some(unit) = walk.find(|&unit| self.eligible(unit).is_some()) else {
            return;
        };
        let cached = self.config.ring_hit_percent * u64::from(deepest) * BLOCK_TOKENS / 100;
        match proposals.iter_mut().find(|proposal| proposal.unit == unit) {
            Some(proposal) => proposal.cached = proposal.cached.max(cached),
            None => proposals.push(Proposal {
                unit,
                reason: Reason::Ring,
                cached,
                hint_age: None,
            }),
        }
    }

    /// Returns the tokens of the deepest prefix that many units cache, and so probably any.
    fn common_tokens(&self) -> u64 {
        let mut keys = self.query.prefix.keys().rev();
        let fresh = |&(_, age): &(u32, Duration)| age <= self.config.max_hint_age;
        let common = keys.find(|&(_, key)| {
            let holders = self.hints.holders(key, self.now);
            holders.filter(fresh).count() >= COMMON_HOLDERS
        });
        common.map_or(0, |(depth, _)| u64::from(depth) * BLOCK_TOKENS)
    }

    /// Whether a fresh hint names `key`.
    fn has_fresh_hint(&self, key: u64) -> bool {
        let mut holders = self.hints.holders(key, self.now);
        holders.any(|(_, age)| age <= self.config.max_hint_age)
    }

    /// Adds units drawn at random.
    fn add_drawn(&self, proposals: &mut Vec<Proposal>, rng: &mut impl Rng) {
        let count = self.shard.admitting.len();
        let mut drawn = 0;
        for _ in 0..self.config.random_choices + MAX_REDRAWS {
            if drawn == self.config.random_choices || count == 0 {
                break;
            }
            let unit = self.shard.admitting[rng.random_range(0..count)];
            let known = proposals.iter().any(|proposal| proposal.unit == unit);
            if !known && self.eligible(unit).is_some() {
                proposals.push(uncached(unit, Reason::Drawn));
                drawn += 1;
            }
        }
    }

    /// Adds the next unit under the bound on the ring, or failing that the next of all.
    fn add_spill(&self, proposals: &mut Vec<Proposal>, rng: &mut impl Rng) {
        let deepest = self.query.prefix.keys().next_back();
        let key = deepest.map_or_else(|| rng.random(), |(_, key)| key);
        let walk = || self.shard.ring.successors(key).take(MAX_RING_STEPS);
        let bounded = walk().find(|&index| {
            self.eligible(index)
                .is_some_and(|unit| self.within_bound(unit))
        });
        let any = || {
            self.shard
                .ring
                .successors(key)
                .find(|&unit| self.eligible(unit).is_some())
        };
        let found = bounded.or_else(|| if proposals.is_empty() { any() } else { None });
        proposals.extend(found.map(|unit| uncached(unit, Reason::Spill)));
    }
}

fn uncached(unit: u32, reason: Reason) -> Proposal {
    Proposal {
        unit,
        reason,
        cached: 0,
        hint_age: None,
    }
}
