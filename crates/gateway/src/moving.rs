//! When a stream is better off at another rank.

use auburnline_core::time::Monotonic;
use auburnline_lockstep::sight::slowness;

use crate::gateway::Gateway;
use crate::request::Plan;
use crate::upstream::Upstream;

/// Part of the longest pause for which a group may wait in each pass for a slow rank that runs streams. A stream that is
/// moved has its prompt read anew, which is paid for by all others of its group coming in time.
const WAITING_PART: f64 = 0.1;

impl Gateway {
    /// Returns whether a stream should leave the rank that it runs at: the rank is so much slower than others of its group
    /// that these wait for it in each pass.
    #[must_use]
    pub fn is_better_off_elsewhere(
        &self,
        plan: &Plan,
        upstream: &Upstream,
        now: Monotonic,
    ) -> bool {
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
        let paces = ranks.filter_map(|usage| usage.told).map(|load| load.pace);
        let least = paces.min().unwrap_or(load.pace);
        let slower = slowness(load.pace) - slowness(least);
        engine.base().mul_f64(slower) > longest.mul_f64(WAITING_PART)
    }

    /// Returns whether another rank of the same group takes streams without a limit and now: one that leaves its rank and is
    /// denied by all others would break off.
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
