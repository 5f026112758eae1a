//! Decides when a stream should move to another rank.

use std::time::Duration;

use auburnline_admission::feature::Feature;
use auburnline_core::id::GroupId;
use auburnline_core::time::Monotonic;
use auburnline_lockstep::rank::slowdown;

use crate::gateway::Gateway;
use crate::request::Plan;
use crate::upstream::Upstream;

/// Fraction of the longest pause that a group may wait in each forward pass for a slow rank that
/// runs streams. A stream that moves has its prompt read again, which pays off because all others
/// of its group are in time.
const MAX_WAIT_FRACTION: f64 = 0.1;

/// Least time without an event after which a stream counts as silent: half of what callers bear,
/// so that another rank can show an event in the other half.
const MIN_SILENCE: Duration = Duration::from_secs(1);
/// Objectives and longest pauses that such a time lasts at least, likewise half of what callers
/// bear.
const SILENT_OBJECTIVES: u32 = 2;
const SILENT_PAUSES: u32 = 4;

impl Gateway {
    /// Returns the time without an event after which a stream counts as silent; `None` if streams
    /// are not moved for that.
    #[must_use]
    pub fn silence_limit(&self, plan: &Plan) -> Option<Duration> {
        let longest = plan.route.longest_pause?;
        let is_enabled = self.features.contains(&Feature::SilenceDetection);
        let by_objective = plan.route.objective * SILENT_OBJECTIVES;
        let limit = by_objective.max(longest * SILENT_PAUSES).max(MIN_SILENCE);
        (is_enabled && plan.engine.is_some()).then_some(limit)
    }

    /// Returns whether a stream that got nothing since `since` is silent alone: its group goes on,
    /// so its rank hangs. A group that stands still as a whole is waited for.
    #[must_use]
    pub fn is_silent(
        &self,
        plan: &Plan,
        upstream: &Upstream,
        since: Monotonic,
        now: Monotonic,
    ) -> bool {
        let Some(limit) = self.silence_limit(plan) else {
            return false;
        };
        let group: GroupId = self.group_of(upstream);
        let progress = self.groups.last_event(&group);
        let goes_on = progress.is_some_and(|at| at > since && now.saturating_sub(at) < limit / 2);
        let is_over = now.saturating_sub(since) >= limit;
        is_over && goes_on && self.has_other_rank(plan, upstream, now)
    }

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
