//! Decides when a stream should move to another rank.

use auburnline_core::time::Monotonic;
use auburnline_lockstep::rank::slowdown;

use crate::gateway::Gateway;
use crate::request::Plan;
use crate::upstream::Upstream;

/// Fraction of the longest pause that a group may wait in each forward pass for a slow rank that
/// runs streams. A stream that moves has its prompt read again, which pays off because all others
/// of its group are in time.
const MAX_WAIT_FRACTION: f64 = 0.1;

impl Gateway {
    /// Returns whether a stream should leave its rank: the rank is so much slower than others of
    /// its group that they wait for it in each pass.
    #[must_use]
    pub fn should_move(&self, plan: &Plan, upstream: &Upstream, now: Monotonic) -> bool {
        let (Some(engine), Some(longest)) = (plan.engine, plan.route.longest_pause) else {
            return false;
        };
        let Some(load) = self.pool.reports.load(upstream.address, now) else {
            return false;
        };
        if !self.has_other_rank(plan, upstream, now) {
            return false;
        }
        let group = self.group_of(upstream);
        let ranks = self.pool.usages(&plan.service, now);
        let ranks = ranks.filter(|usage| self.group_of(usage.upstream) == group);
        let paces = ranks
            .filter_map(|usage| usage.reported)
            .map(|load| load.pace);
        let least = paces.min().unwrap_or(load.pace);
        let slower = slowdown(load.pace) - slowdown(least);
        engine.base().mul_f64(slower) > longest.mul_f64(MAX_WAIT_FRACTION)
    }

    /// Returns whether another rank of the same group has no rate limit and is open now: a stream
    /// that left its rank and was denied by all others would break off.
    fn has_other_rank(&self, plan: &Plan, upstream: &Upstream, now: Monotonic) -> bool {
        let group = self.group_of(upstream);
        let mut others = self.pool.usages(&plan.service, now);
        others.any(|usage| {
            let other = usage.upstream;
            let is_other = other.id != upstream.id && self.group_of(other) == group;
            is_other && self.limit(other, now).is_none() && self.is_open(other, now)
        })
    }
}
