//! Whether a request may be sent now, must wait for a place, or is refused.
//!
//! A group of ranks is full when one stream more would make its passes too long. A request then waits for
//! a moment that leaves it in time, and is refused with a time to come back otherwise. While all groups
//! are shut, a request waits only as long as one that shut just now may take to form anew.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use auburnline_core::error::Kind as ErrorKind;
use auburnline_core::id::GroupId;
use auburnline_core::time::Monotonic;
use rand::Rng as _;

use crate::allowance::Allowance;
use crate::allowance::REPORT_INTERVAL;
use crate::gateway::Gateway;
use crate::gateway::NO_UPSTREAM_RETURN;
use crate::pace;
use crate::real;
use crate::request::Admission;
use crate::request::Plan;
use crate::request::Refusal;
use crate::room::Headroom;
use crate::room::Traffic;
use crate::route::Engine;
use crate::upstream::Upstream;
use crate::upstream::UpstreamId;

/// Part of a request's objective that it may wait for a place: the rest is for reading the prompt and
/// the first pass.
const WAIT_PART: f64 = 0.3;
/// Shortest and longest time to come back after a refusal for load: a wave of callers that all come
/// back at once would be refused again, so returns are spread over about the life of a stream.
const RETURNS: (f64, f64) = (0.2, 1.0);
/// Longest wait of a request while all groups are shut. Callers leave a stream that shows nothing for two seconds, and after
/// the wait a place has to be found and the prompt read.
const REFORM_PATIENCE: Duration = Duration::from_millis(1_500);
/// Shortest and longest time in seconds between two looks whether a full group has room. They differ by chance: if all
/// gateways let their requests in when the lead tells of room, one pass would have to read all their prompts.
const LOOKS: (f64, f64) = (0.015, 0.06);
/// Time between two looks whether a group is open again.
const REFORM_LOOK: Duration = Duration::from_millis(100);
/// Shortest and longest time in seconds to come back when all groups are shut for longer: ranks that
/// crash are back after some seconds, and callers come back once only.
const SHUT_RETURNS: (f64, f64) = (1.2, 2.4);

/// Time for which requests that waited for a group to form go on waiting for a place: leads tell within 0.2 s of each
/// other that their groups serve again, and fill them over a few words. Such a request is late already, and a
/// refusal would use up the return that its caller has.
const REOPENED_WAIT: Duration = Duration::from_millis(800);
/// Shortest and longest time in seconds between two looks of such a request: longer than for others, so that a place
/// goes to those that can still be in time.
const LATE_LOOKS: (f64, f64) = (0.06, 0.15);
/// Shortest and longest time in seconds to come back after upstreams that serve by themselves refused a request: some
/// answers at their usual times of 15 to 60 ms, well within the deadlines of such callers.
const PLAIN_RETURNS: (f64, f64) = (0.1, 0.3);

impl Gateway {
    /// Decides whether a planned request may be sent now.
    pub fn admit(&mut self, plan: &Plan, now: Monotonic) -> Admission {
        if now >= plan.due {
            let refusal = Refusal::of(ErrorKind::DeadlinePassed, "deadline passed before a send");
            return Admission::Refuse(refusal);
        }
        if self.pool.ready(&plan.service) == 0 {
            let refusal = Refusal::of(ErrorKind::Unreachable, "no upstream takes work");
            return Admission::Refuse(refusal.after(NO_UPSTREAM_RETURN));
        }
        if let Some(refusal) = self.all_closed(plan, &[], &[], now) {
            return Admission::Refuse(refusal);
        }
        let (Some(engine), Some(longest)) = (plan.engine, plan.route.longest_pause) else {
            return Admission::Go(None);
        };
        let Some(room) = self.pick_group(&plan.service, &engine, longest, now) else {
            return self.await_reform(plan, &engine, now);
        };
        let basis = Some(room.basis());
        if room.is_free() {
            return Admission::Go(basis);
        }
        let reopened = self.shut_at.get(&plan.service).copied();
        let reopened = reopened.filter(|shut_at| *shut_at >= plan.arrived);
        let (until, looks) = match reopened {
            Some(shut_at) => (shut_at + REOPENED_WAIT, LATE_LOOKS),
            None => (
                plan.arrived + plan.route.objective.mul_f64(WAIT_PART),
                LOOKS,
            ),
        };
        if now < until {
            let look = self.draw(looks);
            return Admission::Wait(until.min(now + look));
        }
        let mut refusal = Refusal::of(ErrorKind::Overloaded, room.reason());
        refusal.basis = basis;
        let after = self.draw(RETURNS);
        Admission::Refuse(refusal.after(after))
    }

    /// Gives up on a request that upstreams refused unrun and that may not be sent again; says when to come back.
    pub fn give_up(&mut self, plan: &Plan, reason: &'static str, now: Monotonic) -> Refusal {
        let returns = match (plan.engine, plan.route.longest_pause) {
            (Some(engine), Some(longest)) => {
                let room = self.pick_group(&plan.service, &engine, longest, now);
                room.map_or(SHUT_RETURNS, |_| RETURNS)
            }
            _ => PLAIN_RETURNS,
        };
        let after = self.draw(returns);
        Refusal::of(ErrorKind::Unreachable, reason).after(after)
    }

    /// Refuses a request of which all upstreams that it could go to are at their limits or asked for backoff; says when to
    /// come back.
    pub(crate) fn all_closed(
        &mut self,
        plan: &Plan,
        tried: &[UpstreamId],
        denied: &[UpstreamId],
        now: Monotonic,
    ) -> Option<Refusal> {
        if self.limits.is_idle() && self.backoffs.is_empty() {
            return None;
        }
        let mut opens: Option<Monotonic> = None;
        for usage in self.pool.usages(&plan.service, now) {
            let upstream = usage.upstream;
            let is_shut = self.groups.is_shut(&self.group_of(upstream), now);
            if is_shut || tried.contains(&upstream.id) {
                continue;
            }
            let open_at = self.closed_until(upstream, now);
            let open_at = open_at.or_else(|| denied.contains(&upstream.id).then_some(now))?;
            opens = Some(opens.map_or(open_at, |first| first.min(open_at)));
        }
        let closed_for = opens?.saturating_sub(now);
        let returns = if plan.engine.is_some() {
            RETURNS
        } else {
            PLAIN_RETURNS
        };
        let after = closed_for + self.draw(returns);
        let reason = "the upstreams' limits are reached or they asked for backoff";
        let mut refusal = Refusal::of(ErrorKind::Overloaded, reason);
        refusal.is_closed = true;
        Some(refusal.after(after))
    }

    /// Draws a time in seconds between two bounds.
    pub(crate) fn draw(&mut self, (least, most): (f64, f64)) -> Duration {
        Duration::from_secs_f64(self.rng.random_range(least..most))
    }

    /// Decides on a request while all groups are shut: a group that shut just now may form anew at once.
    fn await_reform(&mut self, plan: &Plan, engine: &Engine, now: Monotonic) -> Admission {
        self.shut_at.insert(Arc::clone(&plan.service), now);
        // After a loss of all power ranks stall before they give up those that are gone, and form then. A group that is shut for
        // longer has lost a rank, and nobody knows when that is back.
        let reform = self.bounds.stall + engine.form;
        let usages = self.pool.usages(&plan.service, now);
        let groups = usages.map(|usage| self.group_of(usage.upstream));
        let unavailable_since = self
            .groups
            .unavailable_since(groups)
            .unwrap_or(plan.arrived);
        let until =
            (unavailable_since.min(plan.arrived) + reform).min(plan.arrived + REFORM_PATIENCE);
        if now < until {
            return Admission::Wait(until.min(now + REFORM_LOOK));
        }
        let refusal = Refusal::of(ErrorKind::Unreachable, "all groups are shut");
        let after = self.draw(SHUT_RETURNS);
        Admission::Refuse(refusal.after(after))
    }

    /// Returns the traffic of each open group of a service.
    ///
    /// Groups that seem to stand still are left out while another one serves.
    fn traffic(&self, service: &str, now: Monotonic) -> BTreeMap<GroupId, Traffic> {
        let mut groups: BTreeMap<GroupId, Traffic> = BTreeMap::new();
        for usage in self.pool.usages(service, now) {
            let traffic = groups.entry(self.group_of(usage.upstream)).or_default();
            traffic.load.ranks += 1;
            traffic.has_open_rank |= self.is_open(usage.upstream, now);
            traffic.load.in_flight = traffic.load.in_flight.saturating_add(usage.requests);
            traffic.own += usage.own;
            traffic.report_age = traffic.report_age.max(usage.told.map(|load| load.age));
            let pace = usage.told.map_or(0, |load| load.pace);
            traffic.load.slowest = traffic.load.slowest.max(pace);
            if usage.requests > 0 {
                traffic.load.slowest_busy = traffic.load.slowest_busy.max(pace);
            }
        }
        let silent = self.silent_share(now);
        let untold = groups
            .values_mut()
            .filter(|traffic| traffic.report_age.is_none());
        untold.for_each(|traffic| traffic.add_unreported(silent));
        groups.retain(|group, _| !self.groups.is_shut(group, now));
        let is_still = |group: &GroupId| self.groups.is_stalled(group, now);
        if groups.keys().any(|group| !is_still(group)) {
            groups.retain(|group, _| !is_still(group));
        }
        groups
    }

    /// Returns how many other gateways live for each of which counts were heard; one if all were, or none.
    fn silent_share(&self, now: Monotonic) -> f64 {
        let others = self.roster.live(now) - 1;
        let heard = self.pool.neighbours(now);
        if heard == 0 {
            return 1.0;
        }
        real(others.max(heard)) / real(heard)
    }

    /// Returns an upstream's group; those of which none is known make one for their service.
    pub(crate) fn group_of(&self, upstream: &Upstream) -> GroupId {
        let known = self.groups.of(upstream.address);
        known.unwrap_or(&upstream.service).clone()
    }

    /// Draws an open group by its room for streams, or the one that is least over full if none has any.
    ///
    /// All gateways see the same counts some hundred milliseconds late; if each took the one with the most
    /// room, that one would be flooded.
    pub(crate) fn pick_group(
        &mut self,
        service: &str,
        engine: &Engine,
        longest: Duration,
        now: Monotonic,
    ) -> Option<Headroom> {
        let gateways = self.roster.live(now);
        let mut rooms = Vec::new();
        for (group, traffic) in self.traffic(service, now) {
            if !traffic.has_open_rank {
                continue;
            }
            let pace = self.paces.entry(group.clone()).or_default();
            let prediction = pace.predict(engine, longest, traffic.load);
            let mut room = Headroom {
                group,
                traffic,
                prediction,
                allowance: None,
                slots: f64::from(traffic.load.ranks) * f64::from(engine.slots),
                turnover: REPORT_INTERVAL.as_secs_f64() / prediction.stream(engine).as_secs_f64(),
                gateways,
                is_cautious: pace.is_cautious(),
            };
            room.allowance = self.allowance(&room, now);
            rooms.push(room);
        }
        let sum: f64 = rooms.iter().map(Headroom::weight).sum();
        let mut drawn = self.rng.random::<f64>() * sum;
        let taken = rooms.iter().position(|room| {
            let weight = room.weight();
            drawn -= weight;
            weight > 0.0 && drawn <= 0.0
        });
        match taken {
            Some(taken) => rooms.into_iter().nth(taken),
            None => rooms
                .into_iter()
                .max_by(|one, other| one.capacity_left().total_cmp(&other.capacity_left())),
        }
    }

    /// Returns this gateway's part of a group's room, if its lead tells the load.
    fn allowance(&mut self, room: &Headroom, now: Monotonic) -> Option<Allowance> {
        let told = now.saturating_sub(room.traffic.report_age?);
        let draw = self.rng.random();
        let allowance = self.allowances.entry(room.group.clone()).or_default();
        allowance.update(told, room.sendable(), room.gateways, draw);
        Some(*allowance)
    }

    /// Takes the pause between two events of a stream of `group`.
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
    }

    /// Returns what is known of a group's pace.
    #[must_use]
    pub fn pace(&self, group: &str) -> Option<&pace::Group> {
        self.paces.get(group)
    }
}
