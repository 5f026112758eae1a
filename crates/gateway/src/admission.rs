//! Whether a request may be sent now, must wait for a place, or is refused.
//!
//! A group of ranks is full when one stream more would make its passes too long. A request then waits for
//! a moment that leaves it in time, and is refused with a time to come back otherwise. While all groups
//! are shut, a request waits only as long as one that shut just now may take to form anew.

use std::collections::BTreeMap;
use std::time::Duration;

use auburnline_core::error::Kind as ErrorKind;
use auburnline_core::id::GroupId;
use auburnline_core::time::Monotonic;
use rand::Rng as _;

use crate::gateway::Gateway;
use crate::gateway::NO_UPSTREAM_RETURN;
use crate::pace;
use crate::pace::Load;
use crate::pace::Prediction;
use crate::request::Admission;
use crate::request::Plan;
use crate::request::Refusal;
use crate::route::Engine;
use crate::upstream::Upstream;

/// Part of a request's objective that it may wait for a place: the rest is for reading the prompt and
/// the first pass.
const WAIT_PART: f64 = 0.3;
/// Shortest and longest time to come back after a refusal for load: a wave of callers that all come
/// back at once would be refused again, so returns are spread over about the life of a stream.
const RETURNS: (f64, f64) = (0.2, 1.0);
/// Times that a group may take to form for which a request waits while all groups are shut. After a
/// restart of all instances engines are back within about two of them; one that is shut for longer has
/// lost a rank, and nobody knows when that is back.
const REFORM_FORMS: f64 = 2.0;
/// Time between two looks whether a group is open again.
const REFORM_LOOK: Duration = Duration::from_millis(100);
/// Shortest and longest time in seconds to come back when all groups are shut for longer: ranks that
/// crash are back after some seconds, and callers come back once only.
const SHUT_RETURNS: (f64, f64) = (1.2, 2.4);

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
        let (Some(engine), Some(longest)) = (plan.engine, plan.route.longest_pause) else {
            return Admission::Go(None);
        };
        let Some((_, load, prediction)) = self.roomy(&plan.service, &engine, longest, now) else {
            return self.await_reform(plan, &engine, now);
        };
        if f64::from(load.in_flight) < prediction.most {
            return Admission::Go(Some(prediction));
        }
        let wait = plan.route.objective.mul_f64(WAIT_PART);
        if now < plan.arrived + wait {
            return Admission::Wait(plan.arrived + wait);
        }
        let mut refusal = Refusal::of(ErrorKind::Overloaded, "the group is full");
        refusal.prediction = Some(prediction);
        let after = self.rng.random_range(RETURNS.0..RETURNS.1);
        Admission::Refuse(refusal.after(Duration::from_secs_f64(after)))
    }

    /// Decides on a request while all groups are shut: a group that shut just now may form anew at once.
    fn await_reform(&mut self, plan: &Plan, engine: &Engine, now: Monotonic) -> Admission {
        let reform = engine.form.mul_f64(REFORM_FORMS);
        let loads = self.pool.loads(&plan.service);
        let groups = loads.map(|(upstream, _)| self.group_of(upstream));
        let shut_since = self.groups.shut_since(groups).unwrap_or(plan.arrived);
        let until = shut_since.min(plan.arrived) + reform;
        if now < until {
            return Admission::Wait(until.min(now + REFORM_LOOK));
        }
        let refusal = Refusal::of(ErrorKind::Unreachable, "all groups are shut");
        let after = self.rng.random_range(SHUT_RETURNS.0..SHUT_RETURNS.1);
        Admission::Refuse(refusal.after(Duration::from_secs_f64(after)))
    }

    /// Returns the load of each open group of a service.
    fn loads(&self, service: &str, now: Monotonic) -> BTreeMap<GroupId, Load> {
        let mut loads: BTreeMap<GroupId, Load> = BTreeMap::new();
        for (upstream, in_flight) in self.pool.loads(service) {
            let group = self.group_of(upstream);
            let load = loads.entry(group).or_default();
            load.ranks += 1;
            load.in_flight = load.in_flight.saturating_add(in_flight);
        }
        loads.retain(|group, _| !self.groups.is_shut(group, now));
        loads
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
    pub(crate) fn roomy(
        &mut self,
        service: &str,
        engine: &Engine,
        longest: Duration,
        now: Monotonic,
    ) -> Option<(GroupId, Load, Prediction)> {
        let loads = self.loads(service, now).into_iter();
        let predicted = loads.map(|(group, load)| {
            let pace = self.paces.entry(group.clone()).or_default();
            let prediction = pace.predict(engine, longest, load);
            (group, load, prediction)
        });
        let predicted: Vec<_> = predicted.collect();
        let room = |load: &Load, of: &Prediction| of.most - f64::from(load.in_flight);
        let rooms = predicted
            .iter()
            .map(|(_, load, of)| room(load, of).max(0.0));
        let mut drawn = self.rng.random::<f64>() * rooms.sum::<f64>();
        let taken = predicted.iter().position(|(_, load, of)| {
            let room = room(load, of).max(0.0);
            drawn -= room;
            room > 0.0 && drawn <= 0.0
        });
        let fullest = |of: &(GroupId, Load, Prediction)| room(&of.1, &of.2);
        match taken {
            Some(taken) => predicted.into_iter().nth(taken),
            None => predicted
                .into_iter()
                .max_by(|one, other| fullest(one).total_cmp(&fullest(other))),
        }
    }

    /// Takes the pause between two events of a stream of `group`.
    pub fn observe(&mut self, plan: &Plan, group: &GroupId, pause: Duration, now: Monotonic) {
        let (Some(engine), Some(longest)) = (plan.engine, plan.route.longest_pause) else {
            return;
        };
        let Some(load) = self.loads(&plan.service, now).remove(group) else {
            return;
        };
        let pace = self.paces.entry(group.clone()).or_default();
        pace.observe(&engine, longest, pause, load, now);
    }

    /// Returns what is known of a group's pace.
    #[must_use]
    pub fn pace(&self, group: &str) -> Option<&pace::Group> {
        self.paces.get(group)
    }
}
