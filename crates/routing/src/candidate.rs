//! Selection of the candidates that a decision scores.
//!
//! The number of candidates is bounded, so the cost of a decision does not depend on the size of
//! the pool, except for the binary search on the ring.

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

/// Maximum number of units drawn at random.
pub(crate) const MAX_DRAWN: usize = 4;
/// Maximum number of candidates that come from hints.
const MAX_CACHED: usize = 4;
/// Units with a fresh hint for a prefix from which on every unit is assumed to cache it.
const COMMON_HOLDERS: usize = WAYS;
/// Maximum number of candidates that come from the ring.
const MAX_RING: usize = 1;
/// Additional draws to make up for those that hit an ineligible or repeated unit.
const MAX_REDRAWS: usize = 4;
/// Maximum number of ring points visited in one search.
const MAX_RING_STEPS: usize = 256;
/// Maximum number of candidates of a decision: from hints, the ring, draws and one spill.
pub(crate) const MAX_CANDIDATES: usize = MAX_CACHED + MAX_RING + MAX_DRAWN + 1;

/// A unit selected for scoring.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Proposal {
    pub(crate) unit: u32,
    pub(crate) reason: Reason,
    /// Prompt tokens that the unit is expected to have cached.
    pub(crate) cached: u64,
    pub(crate) hint_age: Option<Duration>,
}

/// Read-only inputs of one decision.
pub(crate) struct View<'a> {
    pub(crate) config: &'a Config,
    pub(crate) units: &'a [Option<Unit>],
    pub(crate) hints: &'a Table,
    pub(crate) shard: &'a Shard,
    pub(crate) query: &'a Query,
    pub(crate) now: Monotonic,
}

impl View<'_> {
    /// Returns the unit at `index` if it admits work, serves the query and is not excluded.
    pub(crate) fn eligible(&self, index: u32) -> Option<&Unit> {
        let unit = self.units.get(index as usize)?.as_ref()?;
        let serves = unit.member.pool == self.query.pool && unit.member.model == self.query.model;
        let excluded = self.query.excluded.contains(&unit.group);
        (unit.admits() && serves && !excluded).then_some(unit)
    }

    /// Whether the load of `unit` is within the load bound.
    ///
    /// If all reports have the same age, every unit at or below the mean load is within the bound.
    /// If ages differ, there may be no such unit; the least loaded candidate is chosen then.
    pub(crate) fn within_bound(&self, unit: &Unit) -> bool {
        let own = self.shard.backlog.own.saturating_add(self.query.tokens());
        let count = self.shard.admitting.len().max(1) as u64;
        let mean = self.shard.backlog.mean_reported() + float(own) / float(count);
        self.load(unit) <= self.config.load_bound * mean
    }

    /// Returns the estimated tokens queued at `unit`.
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

    /// Adds units with a fresh hint for a prefix of the prompt, deepest prefix first.
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

    /// Adds the owner on the ring of the shallowest prefix without a fresh hint.
    ///
    /// Prefixes shared by many prompts have hints at every entry, so the shallowest one without a
    /// hint is the first to contain text of the case itself, that is, of a series of requests with
    /// a growing prompt. Every entry that sees the case for the first time therefore selects the
    /// same unit, which then has the case's earlier requests in its cache.
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

    /// Returns the tokens of the deepest prefix with at least [`COMMON_HOLDERS`] fresh hints.
    ///
    /// So many units cache it that any unit probably does.
    fn common_tokens(&self) -> u64 {
        let mut keys = self.query.prefix.keys().rev();
        let fresh = |&(_, age): &(u32, Duration)| age <= self.config.max_hint_age;
        let common = keys.find(|&(_, key)| {
            let holders = self.hints.holders(key, self.now);
            holders.filter(fresh).count() >= COMMON_HOLDERS
        });
        common.map_or(0, |(depth, _)| u64::from(depth) * BLOCK_TOKENS)
    }

    /// Whether any unit has a fresh hint for `key`.
    fn has_fresh_hint(&self, key: u64) -> bool {
        let mut holders = self.hints.holders(key, self.now);
        holders.any(|(_, age)| age <= self.config.max_hint_age)
    }

    /// Adds up to [`Config::random_choices`] eligible units drawn uniformly at random.
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

    /// Adds the next eligible unit on the ring that is within the load bound.
    ///
    /// If none is found and there are no other candidates, adds the next eligible unit at any
    /// load.
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
