//! Selects the upstream that a request is sent to next.
//!
//! Upstreams that were already tried, and those that are at their rate limit or asked for backoff,
//! are skipped. A stream goes to a group with headroom, and there to a rank with few requests.

use auburnline_core::error::Kind as ErrorKind;
use auburnline_core::id::GroupId;
use auburnline_core::time::Monotonic;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::choice::Choice;
use crate::choice::Preference;
use crate::gateway::Gateway;
use crate::gateway::NO_UPSTREAM_RETRY;
use crate::request::Plan;
use crate::request::Refusal;
use crate::upstream::Upstream;
use crate::upstream::UpstreamId;

impl Gateway {
    /// Chooses the upstream of the next send and counts the request there.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no upstream is left.
    pub fn assign(
        &mut self,
        plan: &Plan,
        tried: &[UpstreamId],
        now: Monotonic,
    ) -> Result<(Choice, GroupId), Refusal> {
        self.assign_within(None, plan, tried, now)
    }

    /// Does the same, within `group` if one is given: a stream that moves to another rank stays in
    /// its group.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no upstream is left.
    pub fn assign_within(
        &mut self,
        group: Option<&GroupId>,
        plan: &Plan,
        tried: &[UpstreamId],
        now: Monotonic,
    ) -> Result<(Choice, GroupId), Refusal> {
        let choice = self.choose_within(group, plan, tried, &[], now)?;
        let group = self.begin(plan, &choice, tried.is_empty(), now);
        Ok((choice, group))
    }

    /// Chooses the upstream of the next send, within `group` if one is given, without counting it.
    /// Upstreams in `denied`, whose rate limits denied this send, are left out.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no upstream is left.
    pub fn choose_within(
        &mut self,
        group: Option<&GroupId>,
        plan: &Plan,
        tried: &[UpstreamId],
        denied: &[UpstreamId],
        now: Monotonic,
    ) -> Result<Choice, Refusal> {
        let mut rng = ChaCha8Rng::from_rng(&mut self.rng);
        let engine = plan.engine.zip(plan.route.longest_pause);
        let group = match (engine, group) {
            (Some((engine, longest)), None) => {
                let headroom = self.pick_group(plan, &engine, longest, now);
                headroom.map(|headroom| headroom.group)
            }
            (_, group) => group.cloned(),
        };
        let may_take = |upstream: &Upstream| {
            let is_left = !tried.contains(&upstream.id) && !denied.contains(&upstream.id);
            is_left && self.is_open(upstream, now)
        };
        let choice = match (engine, group) {
            (Some(_), Some(group)) => {
                let may_take =
                    |upstream: &Upstream| may_take(upstream) && self.group_of(upstream) == group;
                self.choose(plan, Preference::EvenLoad, may_take, now, &mut rng)
            }
            (Some(_), None) => None,
            (None, _) => self.choose_responsive(plan, tried.is_empty(), may_take, now, &mut rng),
        };
        let Some(mut choice) = choice else {
            if let Some(refusal) = self.all_closed(plan, tried, denied, now) {
                return Err(refusal);
            }
            let refusal = Refusal::new(ErrorKind::Unreachable, "no upstream is left");
            return Err(refusal.with_retry_after(NO_UPSTREAM_RETRY));
        };
        choice.limit = self.limit(&choice.upstream, now).map(|limit| limit.rate);
        Ok(choice)
    }

    /// Counts a request at the upstream that was chosen for it; returns the upstream's group. The
    /// first send of a request adds to the retry budget.
    pub fn begin(
        &mut self,
        plan: &Plan,
        choice: &Choice,
        is_first: bool,
        now: Monotonic,
    ) -> GroupId {
        debug_assert!(
            self.accepts_requests(&choice.upstream, now),
            "request sent to an upstream that is leaving or asked for backoff"
        );
        self.pool.begin(&choice.upstream.id);
        self.warm_ups.record_send(&choice.upstream, now);
        if is_first {
            self.budget.deposit(now, &plan.service, &plan.service);
        }
        let group = self.group_of(&choice.upstream);
        let standing = self.standing(plan, now);
        if let Some(allowance) = self.allowances.get_mut(&group) {
            allowance.spend(standing);
        }
        group
    }

    /// Chooses among upstreams that were not found silent. The first attempt of a request goes to a silent one if there is no
    /// other; another attempt there would wait beside the earlier one.
    fn choose_responsive(
        &self,
        plan: &Plan,
        is_first: bool,
        may_take: impl Fn(&Upstream) -> bool,
        now: Monotonic,
        rng: &mut ChaCha8Rng,
    ) -> Option<Choice> {
        let preference = Preference::ShortestTime;
        let is_responsive =
            |upstream: &Upstream| may_take(upstream) && !self.is_avoided(upstream, now);
        let choice = self.choose(plan, preference, is_responsive, now, rng);
        if choice.is_some() || !is_first {
            return choice;
        }
        self.choose(plan, preference, may_take, now, rng)
    }

    fn choose(
        &self,
        plan: &Plan,
        preference: Preference,
        may_take: impl Fn(&Upstream) -> bool,
        now: Monotonic,
        rng: &mut ChaCha8Rng,
    ) -> Option<Choice> {
        let domain = &self.failure_domain;
        self.pool
            .choose(&plan.service, preference, domain, may_take, now, rng)
    }

    /// Records that an upstream refused a request without running it. If a rank had a free slot, no
    /// rate limit and did not ask for backoff, its group is considered unavailable for a moment.
    pub fn refused(&mut self, plan: &Plan, id: &str, group: &GroupId, now: Monotonic) {
        let mut usages = self.pool.usages(&plan.service, now);
        let usage = usages.find(|usage| *usage.upstream.id == *id);
        let had_slot = usage.is_some_and(|usage| {
            let is_limited = self.limit(usage.upstream, now).is_some();
            let is_backing_off = self.backoffs.until(usage.upstream, now).is_some();
            !is_limited && !is_backing_off && usage.requests <= usage.upstream.slots
        });
        if plan.engine.is_some() && had_slot {
            self.groups.mark_unavailable(group, now);
        }
    }
}
