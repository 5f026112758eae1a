//! Decides whether a request may be sent now, must wait for capacity, or is refused.
//!
//! A group of ranks is full when one more stream would make its forward passes too long. A request
//! then waits as long as it can still meet its objective, and is refused with a retry time
//! otherwise. While no group is available, a request waits only as long as a group that just became
//! unavailable may take to re-form.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use auburnline_admission::feature::Feature;
use auburnline_admission::reserve::Reserve;
use auburnline_core::error::Kind as ErrorKind;
use auburnline_core::id::GroupId;
use auburnline_core::time::Monotonic;
use rand::Rng as _;

use crate::allowance::Grant;
use crate::allowance::REPORT_INTERVAL;
use crate::demand::Expected;
use crate::gateway::Gateway;
use crate::gateway::NO_UPSTREAM_RETRY;
use crate::headroom::Headroom;
use crate::headroom::Traffic;
use crate::pace;
use crate::real;
use crate::request::Admission;
use crate::request::Plan;
use crate::request::Refusal;
use crate::route::Engine;
use crate::upstream::Upstream;
use crate::upstream::UpstreamId;

/// Fraction of a request's objective that it may wait for capacity; the rest is for reading the
/// prompt and the first forward pass.
const WAIT_FRACTION: f64 = 0.3;
/// Bounds of the retry time in seconds after a refusal for load. A wave of callers that all came
/// back at once would be refused again, so retries are spread over about the lifetime of a stream.
const OVERLOAD_RETRY_SECONDS: (f64, f64) = (0.2, 1.0);
/// Longest wait of a request while no group is available. Callers abandon a stream that shows
/// nothing for two seconds, and after the wait an upstream has to be found and the prompt read.
const REFORM_MAX_WAIT: Duration = Duration::from_millis(1_500);
/// Bounds in seconds of the interval at which a waiting request checks a full group for capacity.
/// The interval is random: if all gateways sent their requests as soon as the leader reports
/// capacity, one forward pass would have to read all their prompts.
pub(crate) const CAPACITY_POLL_SECONDS: (f64, f64) = (0.015, 0.06);
/// Interval at which a waiting request checks whether a group is available again.
const REFORM_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Bounds of the retry time in seconds when no group becomes available in time: ranks that crash
/// are back after some seconds, and a caller retries only once.
const UNAVAILABLE_RETRY_SECONDS: (f64, f64) = (1.2, 2.4);

/// Time for which requests that waited for a group to re-form go on waiting for capacity. Leaders
/// report within 0.2 s of each other that their groups serve again, and the groups fill up over
/// a few reports. Such a request is late already, and a refusal would use up its caller's only
/// retry.
pub(crate) const REOPENED_MAX_WAIT: Duration = Duration::from_millis(800);
/// Bounds in seconds of the polling interval of such a request: longer than for others, so that
/// capacity goes to requests that can still meet their objective.
pub(crate) const LATE_POLL_SECONDS: (f64, f64) = (0.06, 0.15);
/// Bounds of the retry time in seconds after upstreams outside lock-step groups refused a request:
/// several of their usual response times of 15 to 60 ms, and well within the deadlines of such
/// callers.
const INDEPENDENT_RETRY_SECONDS: (f64, f64) = (0.1, 0.3);

impl Gateway {
    /// Decides whether a planned request may be sent now.
    pub fn admit(&mut self, plan: &Plan, now: Monotonic) -> Admission {
        if now >= plan.deadline {
            let refusal = Refusal::new(ErrorKind::DeadlinePassed, "deadline passed before a send");
            return Admission::Refuse(refusal);
        }
        if self.pool.ready(&plan.service) == 0 {
            let refusal = Refusal::new(ErrorKind::Unreachable, "no upstream accepts requests");
            return Admission::Refuse(refusal.with_retry_after(NO_UPSTREAM_RETRY));
        }
        if let Some(closed_for) = self.closed_for(plan, &[], &[], now) {
            return self.await_opening(plan, closed_for, now);
        }
        let (Some(engine), Some(longest)) = (plan.engine, plan.route.longest_pause) else {
            return Admission::Admit(None);
        };
        if self.awaits_reports(&plan.service, now) {
            // More groups are about to open, so the request may wait for their capacity.
            self.all_unavailable_at
                .insert(Arc::clone(&plan.service), now);
        }
        if self.orders_requests() {
            return self.admit_in_order(plan, &engine, longest, now);
        }
        let Some(headroom) = self.pick_group(plan, &engine, longest, now) else {
            return self.await_reform(plan, &engine, now);
        };
        let basis = Some(headroom.basis());
        if headroom.is_free(self.standing(plan, now)) {
            return Admission::Admit(basis);
        }
        let reopened = self.all_unavailable_at.get(&plan.service).copied();
        let reopened = reopened.filter(|all_unavailable_at| *all_unavailable_at >= plan.arrived);
        let (until, poll_bounds) = match reopened {
            Some(all_unavailable_at) => (all_unavailable_at + REOPENED_MAX_WAIT, LATE_POLL_SECONDS),
            None => (
                plan.arrived + plan.route.objective.mul_f64(WAIT_FRACTION),
                CAPACITY_POLL_SECONDS,
            ),
        };
        if now < until {
            let interval = self.random_duration(poll_bounds);
            return Admission::Wait(until.min(now + interval));
        }
        let mut refusal = Refusal::new(ErrorKind::Overloaded, headroom.reason());
        refusal.basis = basis;
        let after = self.random_duration(OVERLOAD_RETRY_SECONDS);
        Admission::Refuse(refusal.with_retry_after(after))
    }

    /// Refuses a request that upstreams refused without running it and that may not be sent again;
    /// sets the retry time.
    pub fn give_up(&mut self, plan: &Plan, reason: &'static str, now: Monotonic) -> Refusal {
        let after = match (plan.engine, plan.route.longest_pause) {
            (Some(engine), Some(longest)) => match self.pick_group(plan, &engine, longest, now) {
                Some(_) => self.random_duration(OVERLOAD_RETRY_SECONDS),
                None => self.unavailable_retry(plan, UNAVAILABLE_RETRY_SECONDS, now),
            },
            _ => self.random_duration(INDEPENDENT_RETRY_SECONDS),
        };
        Refusal::new(ErrorKind::Unreachable, reason).with_retry_after(after)
    }

    /// Refuses a request if every upstream that it could go to is at its rate limit, asked for
    /// backoff or is cold. The retry time starts when the first of them opens.
    pub(crate) fn all_closed(
        &mut self,
        plan: &Plan,
        tried: &[UpstreamId],
        denied: &[UpstreamId],
        now: Monotonic,
    ) -> Option<Refusal> {
        let closed_for = self.closed_for(plan, tried, denied, now)?;
        Some(self.refuse_closed(plan, closed_for))
    }

    /// Returns after which time the first upstream opens, if every upstream that the request could
    /// go to is at its rate limit, asked for backoff or is cold.
    fn closed_for(
        &self,
        plan: &Plan,
        tried: &[UpstreamId],
        denied: &[UpstreamId],
        now: Monotonic,
    ) -> Option<Duration> {
        if self.limits.is_idle() && self.backoffs.is_empty() && self.warm_ups.is_empty() {
            return None;
        }
        let mut first_open: Option<Monotonic> = None;
        for usage in self.pool.usages(&plan.service, now) {
            let upstream = usage.upstream;
            let is_unavailable = self.groups.is_unavailable(&self.group_of(upstream), now);
            if is_unavailable || tried.contains(&upstream.id) {
                continue;
            }
            let open_at = self.closed_until(upstream, now);
            let open_at = open_at.or_else(|| denied.contains(&upstream.id).then_some(now))?;
            first_open = Some(first_open.map_or(open_at, |first| first.min(open_at)));
        }
        Some(first_open?.saturating_sub(now))
    }

    /// Refuses a request whose upstreams are all closed, the first of them for `closed_for`.
    pub(crate) fn refuse_closed(&mut self, plan: &Plan, closed_for: Duration) -> Refusal {
        let retry_bounds = if plan.engine.is_some() {
            OVERLOAD_RETRY_SECONDS
        } else {
            INDEPENDENT_RETRY_SECONDS
        };
        let after = closed_for + self.random_duration(retry_bounds);
        let reason =
            "all remaining upstreams are at their rate limits, asked for backoff or are cold";
        let mut refusal = Refusal::new(ErrorKind::Overloaded, reason);
        refusal.is_throttled = true;
        refusal.with_retry_after(after)
    }

    /// Returns a random time between two bounds in seconds.
    pub(crate) fn random_duration(&mut self, (least, most): (f64, f64)) -> Duration {
        Duration::from_secs_f64(self.rng.random_range(least..most))
    }

    /// Decides on a request while no group is available: a group that just became unavailable may
    /// re-form at once.
    pub(crate) fn await_reform(
        &mut self,
        plan: &Plan,
        engine: &Engine,
        now: Monotonic,
    ) -> Admission {
        self.all_unavailable_at
            .insert(Arc::clone(&plan.service), now);
        // After a loss of all power, ranks stall before they give up on the missing ones, and only
        // then form a group. A group that is unavailable for longer has lost a rank, and when that
        // rank returns is unknown.
        let reform = self.bounds.stall + engine.form_time;
        let usages = self.pool.usages(&plan.service, now);
        let groups = usages.map(|usage| self.group_of(usage.upstream));
        let unavailable_since = self
            .groups
            .unavailable_since(groups)
            .unwrap_or(plan.arrived);
        let until =
            (unavailable_since.min(plan.arrived) + reform).min(plan.arrived + REFORM_MAX_WAIT);
        if now < until {
            return Admission::Wait(until.min(now + REFORM_POLL_INTERVAL));
        }
        let refusal = Refusal::new(ErrorKind::Unreachable, "all groups are unavailable");
        let after = self.unavailable_retry(plan, UNAVAILABLE_RETRY_SECONDS, now);
        Admission::Refuse(refusal.with_retry_after(after))
    }

    /// Returns the traffic of each available group of a service.
    ///
    /// Groups that seem stalled are left out while another one serves.
    fn traffic(&self, service: &str, now: Monotonic) -> BTreeMap<GroupId, Traffic> {
        let mut groups: BTreeMap<GroupId, Traffic> = BTreeMap::new();
        for usage in self.pool.usages(service, now) {
            let traffic = groups.entry(self.group_of(usage.upstream)).or_default();
            traffic.load.ranks += 1;
            traffic.has_open_rank |= self.is_open(usage.upstream, now);
            traffic.load.in_flight = traffic.load.in_flight.saturating_add(usage.requests);
            traffic.own += usage.own;
            traffic.report_age = traffic.report_age.max(usage.reported.map(|load| load.age));
            let pace = usage.reported.map_or(0, |load| load.pace);
            traffic.load.slowest = traffic.load.slowest.max(pace);
            if usage.requests > 0 {
                traffic.load.slowest_busy = traffic.load.slowest_busy.max(pace);
            }
        }
        let scale = self.unreported_scale(now);
        let unreported = groups
            .values_mut()
            .filter(|traffic| traffic.report_age.is_none());
        unreported.for_each(|traffic| traffic.add_unreported(scale));
        if self.awaits_reports(service, now) {
            groups.remove(service);
        }
        groups.retain(|group, _| !self.groups.is_unavailable(group, now));
        let is_stalled = |group: &GroupId| self.groups.is_stalled(group, now);
        if groups.keys().any(|group| !is_stalled(group)) {
            groups.retain(|group, _| !is_stalled(group));
        }
        groups
    }

    /// Returns whether the leaders of some of a service's groups have yet to report for the first
    /// time since this gateway started, and most engines without a report started when it did, as
    /// after a loss of power. Their groups reject requests until they have formed.
    fn awaits_reports(&self, service: &str, now: Monotonic) -> bool {
        let engine = self.engine(service);
        let Some(engine) = engine.filter(|engine| engine.shape.is_some()) else {
            return false;
        };
        let forming = self.bounds.stall + engine.form_time;
        if now >= forming {
            return false;
        }
        let unreported = self.pool.ready_members(service);
        let unreported =
            unreported.filter(|member| self.groups.of(member.upstream.address).is_none());
        let (mut recent, mut all) = (0_usize, 0_usize);
        for member in unreported {
            let born = member.upstream.born.map(Duration::from_millis);
            all += 1;
            recent += usize::from(born.is_some_and(|born| born + forming >= self.started));
        }
        2 * recent > all
    }

    /// Returns the number of other live gateways per gateway that reported its counts; 1 if all
    /// reported, or none.
    fn unreported_scale(&self, now: Monotonic) -> f64 {
        let others = self.roster.live(now) - 1;
        let reporting = self.pool.neighbours(now);
        if reporting == 0 {
            return 1.0;
        }
        real(others.max(reporting)) / real(reporting)
    }

    /// Returns an upstream's group; upstreams without a known group count as one group per service.
    pub(crate) fn group_of(&self, upstream: &Upstream) -> GroupId {
        let known = self.groups.of(upstream.address);
        known.unwrap_or(&upstream.service).clone()
    }

    /// Picks a random available group, weighted by the streams that may be sent to it, or the least
    /// overloaded one if none can take any.
    ///
    /// All gateways see the same counts a few hundred milliseconds late; if each picked the group
    /// with the most headroom, that group would be flooded.
    pub(crate) fn pick_group(
        &mut self,
        plan: &Plan,
        engine: &Engine,
        longest: Duration,
        now: Monotonic,
    ) -> Option<Headroom> {
        let standing = self.standing(plan, now);
        let gateways = self.roster.live(now);
        let mut headrooms = Vec::new();
        for (group, traffic) in self.traffic(&plan.service, now) {
            if !traffic.has_open_rank {
                continue;
            }
            let pace = self.paces.entry(group.clone()).or_default();
            let prediction = pace.predict(engine, longest, traffic.load);
            let headroom = Headroom {
                group,
                traffic,
                prediction,
                allowance: None,
                slots: f64::from(traffic.load.ranks) * f64::from(engine.slots),
                turnover: REPORT_INTERVAL.as_secs_f64() / prediction.stream(engine).as_secs_f64(),
                gateways,
                is_cautious: pace.is_cautious(),
                reserve: Reserve::default(),
                standing,
            };
            headrooms.push(headroom);
        }
        let expected = self.expect_demand(&plan.service, headrooms.len(), now);
        for headroom in &mut headrooms {
            self.set_shares(headroom, &expected, now);
        }
        let sum: f64 = headrooms
            .iter()
            .map(|headroom| headroom.weight(standing))
            .sum();
        let mut remaining = self.rng.random::<f64>() * sum;
        let picked = headrooms.iter().position(|headroom| {
            let weight = headroom.weight(standing);
            remaining -= weight;
            weight > 0.0 && remaining <= 0.0
        });
        match picked {
            Some(picked) => headrooms.into_iter().nth(picked),
            // Rounding of the sum may leave a free group that was not picked.
            None => headrooms.into_iter().max_by(|one, other| {
                let free = one.is_free(standing).cmp(&other.is_free(standing));
                free.then(one.capacity_left().total_cmp(&other.capacity_left()))
            }),
        }
    }

    /// Sets what is withheld of a group's headroom, and this gateway's share of the rest if the
    /// group's leader reports its load.
    fn set_shares(&mut self, headroom: &mut Headroom, expected: &Expected, now: Monotonic) {
        let most = headroom.prediction.most;
        headroom.reserve = Reserve::new(most, expected.arrivals, expected.parts);
        let Some(age) = headroom.traffic.report_age else {
            return;
        };
        let grant = Grant {
            headroom: headroom.sendable(),
            gateways: headroom.gateways,
            demand: expected.shares,
            reserve: headroom.reserve,
            carries_idle: self.features.contains(&Feature::DemandShares),
        };
        let offset = self.rng.random();
        let reported_at = now.saturating_sub(age);
        let allowance = self.allowances.entry(headroom.group.clone()).or_default();
        if allowance.is_due(reported_at) {
            self.demand.count_grant(&grant);
        }
        allowance.update(reported_at, &grant, offset);
        headroom.allowance = Some(*allowance);
    }

    /// Records the pause between two events of a stream of `group`.
    pub fn observe(&mut self, plan: &Plan, group: &GroupId, pause: Duration, now: Monotonic) {
        let (Some(engine), Some(longest)) = (plan.engine, plan.route.longest_pause) else {
            return;
        };
        self.groups.record_event(group, now);
        let Some(traffic) = self.traffic(&plan.service, now).remove(group) else {
            return;
        };
        let pace = self.paces.entry(group.clone()).or_default();
        pace.observe(&engine, longest, pause, traffic.load, now);
        if self.features.contains(&Feature::SharedForecasts) {
            pace.share(&engine, longest, traffic.load, now);
        }
    }

    /// Returns the pass-time model of a group, if there is one yet.
    #[must_use]
    pub fn pace(&self, group: &str) -> Option<&pace::Group> {
        self.paces.get(group)
    }
}
