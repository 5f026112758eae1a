//! The decisions of one gateway, joined.
//!
//! A request passes through [`Gateway::plan`] (route, key, age of what is known),
//! [`Gateway::admit`] (whether the group can take it in time) and [`Gateway::assign`] (which
//! upstream); [`Gateway::may_repeat`] answers after a failure. Each answer tells what decided it.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use auburnline_core::error::Kind as ErrorKind;
use auburnline_core::id::FailureDomainId;
use auburnline_core::id::GroupId;
use auburnline_core::time::Monotonic;
use auburnline_lockstep::message::Ask;
use auburnline_lockstep::message::Members;
use auburnline_retries::budget;
use auburnline_retries::budget::Budget;
use rand::Rng;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::group::Groups;
use crate::knowledge::Knowledge;
use crate::neighbour::Roster;
use crate::pace;
use crate::pace::Group;
use crate::pace::Load;
use crate::pace::Prediction;
use crate::route::Engine;
use crate::route::Route;
use crate::route::ServiceId;
use crate::route::Table;
use crate::route::Workspace;
use crate::spread;
use crate::spread::Need;
use crate::spread::Spread;
use crate::upstream::Choice;
use crate::upstream::Outcome;
use crate::upstream::Pool;
use crate::upstream::Preference;
use crate::upstream::Upstream;
use crate::upstream::UpstreamId;

/// Part of a request's objective that it may wait for a place: the rest is for reading the prompt and
/// the first pass.
const WAIT_PART: f64 = 0.3;
/// Part of the fleet's retry slack that is there at once; the other part comes back over the window,
/// so that both together stay within the slack in each window.
const RESERVE_PART: f64 = 0.5;
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
/// Time to come back when no upstream takes work: a group forms anew within about a second.
const NO_UPSTREAM_RETURN: Duration = Duration::from_millis(800);
/// Time to come back to a gateway that knows too little: the caller finds another one.
const ELSEWHERE_RETURN: Duration = Duration::from_millis(100);

/// Gateways that a sidecar is told of, within one datagram.
const MOST_GATEWAYS: usize = 512;

/// Bounds that the platform's operators set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Longest time for which a key that was taken away may work.
    pub revocation: Duration,
    /// Repetitions for each request, in the whole fleet.
    pub retry_ratio: f64,
    /// Repetitions beyond that in a window, in the whole fleet.
    pub retry_slack: f64,
    /// That window.
    pub retry_window: Duration,
}

/// What a caller asks for.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Host.
    pub host: &'a str,
    /// Path without query.
    pub path: &'a str,
    /// Key.
    pub key: Option<&'a str>,
    /// How long the caller waits.
    pub patience: Option<Duration>,
}

/// How a request may be served.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Route.
    pub route: Arc<Route>,
    /// Service.
    pub service: ServiceId,
    /// Cost model, where the service is a group of ranks.
    pub engine: Option<Engine>,
    /// Holder of the key.
    pub workspace: Option<Arc<Workspace>>,
    /// Version of the configuration that decided.
    pub version: u64,
    /// Age of what was known.
    pub age: Duration,
    /// When the request arrived.
    pub arrived: Monotonic,
    /// When the final answer is due.
    pub due: Monotonic,
}

/// A request that is not served; none of these has run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Kind of answer.
    pub kind: ErrorKind,
    /// When to come back.
    pub retry_after: Option<Duration>,
    /// Why, for the log.
    pub reason: &'static str,
    /// What was predicted, where load decided.
    pub prediction: Option<Prediction>,
}

impl Refusal {
    /// Returns a refusal that tells no time to come back.
    #[must_use]
    pub const fn of(kind: ErrorKind, reason: &'static str) -> Refusal {
        Refusal {
            kind,
            retry_after: None,
            reason,
            prediction: None,
        }
    }

    fn after(mut self, time: Duration) -> Refusal {
        self.retry_after = Some(time);
        self
    }
}

/// Whether a request may be sent now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It may.
    Go(Option<Prediction>),
    /// It may wait for a place until this time.
    Wait(Monotonic),
    /// It is refused.
    Refuse(Refusal),
}

/// All that one gateway decides with.
pub struct Gateway {
    failure_domain: FailureDomainId,
    bounds: Bounds,
    table: Option<Arc<Table>>,
    paces: HashMap<GroupId, Group>,
    budget: Budget<ServiceId, ServiceId>,
    rng: ChaCha8Rng,
    /// Upstreams.
    pub pool: Pool,
    /// Other gateways.
    pub roster: Roster,
    /// Which upstreams run in lock-step.
    pub groups: Groups,
    /// Age of what is known.
    pub knowledge: Knowledge,
    /// What was read of the store.
    pub spread: Spread,
}

impl Gateway {
    /// Returns a gateway that knows nothing yet.
    #[must_use]
    pub fn new(
        failure_domain: FailureDomainId,
        bounds: Bounds,
        roster: Roster,
        seed: u64,
    ) -> Gateway {
        Gateway {
            failure_domain,
            table: None,
            paces: HashMap::new(),
            groups: Groups::default(),
            budget: Budget::new(shares(&bounds, None)),
            rng: ChaCha8Rng::seed_from_u64(seed),
            pool: Pool::default(),
            roster,
            knowledge: Knowledge::new(bounds.revocation),
            spread: Spread::default(),
            bounds,
        }
    }

    /// Sets the operators' bounds.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.knowledge.set_bound(bounds.revocation);
        self.bounds = bounds;
    }

    /// Takes a configuration; returns whether it is newer than the one in force.
    pub fn set_table(&mut self, table: Table) -> bool {
        let version = self.version();
        if version.is_some_and(|version| version >= table.version()) {
            return false;
        }
        self.table = Some(Arc::new(table));
        true
    }

    /// Returns the version in force.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.table.as_ref().map(|table| table.version())
    }

    /// Returns the configuration in force.
    #[must_use]
    pub const fn table(&self) -> Option<&Arc<Table>> {
        self.table.as_ref()
    }

    /// Does what is due now and then: shares of the retry budget follow the fleet's size.
    pub fn tick(&mut self, now: Monotonic) {
        let is_settled = now > crate::neighbour::LIFE;
        let fleet = is_settled.then_some(self.roster.most());
        self.budget.resize(shares(&self.bounds, fleet));
        self.budget.tick(now);
    }

    /// Returns whether this gateway can serve callers.
    #[must_use]
    pub fn is_able(&self, now: Monotonic) -> bool {
        self.table.is_some() && self.knowledge.is_fresh(now)
    }

    /// Says what this gateway has to read of the store now.
    #[must_use]
    pub fn need(&self, now: Monotonic) -> Need {
        let (_, is_reader) = self.roster.readers(now);
        let is_alone = spread::helps_itself(self.knowledge.age(now));
        self.spread.need(is_reader || is_alone)
    }

    /// Finds out how a request may be served.
    ///
    /// # Errors
    ///
    /// Returns why it may not.
    pub fn plan(&mut self, request: &Request<'_>, now: Monotonic) -> Result<Plan, Refusal> {
        let Some(table) = self.table.clone() else {
            let refusal = Refusal::of(ErrorKind::NotReady, "no configuration");
            return Err(refusal.after(ELSEWHERE_RETURN));
        };
        let age = self.knowledge.age(now).unwrap_or(Duration::MAX);
        let is_fresh = self.knowledge.is_fresh(now);
        let stale = Refusal::of(ErrorKind::NotReady, "configuration may be outdated");
        let stale = stale.after(ELSEWHERE_RETURN);
        let Some(route) = table.route(request.host, request.path) else {
            let refusal = Refusal::of(ErrorKind::UnknownRoute, "no route");
            return Err(if is_fresh { refusal } else { stale });
        };
        let workspace = request.key.and_then(|key| table.workspace(key)).cloned();
        if !route.is_anonymous {
            if !is_fresh {
                return Err(stale);
            }
            if workspace.is_none() {
                return Err(Refusal::of(ErrorKind::Unauthorized, "unknown key"));
            }
        }
        let service = self.service(route);
        let engine = table.service(&service).and_then(|service| service.engine);
        let patience = request.patience.unwrap_or(route.timeout).min(route.timeout);
        Ok(Plan {
            route: Arc::clone(route),
            service,
            engine,
            workspace: if route.is_anonymous { None } else { workspace },
            version: table.version(),
            age,
            arrived: now,
            due: now + patience,
        })
    }

    /// Draws one of a route's services by weight, among those that have upstreams.
    fn service(&mut self, route: &Route) -> ServiceId {
        let usable = |service: &str| self.pool.ready(service) > 0;
        let mut targets: Vec<_> = route.targets.iter().collect();
        if targets
            .iter()
            .any(|target| target.weight > 0 && usable(&target.service))
        {
            targets.retain(|target| usable(&target.service));
        }
        let sum: u32 = targets.iter().map(|target| target.weight).sum();
        let mut drawn = self.rng.random_range(0..sum.max(1));
        for target in &targets {
            if drawn < target.weight {
                return Arc::clone(&target.service);
            }
            drawn -= target.weight;
        }
        targets
            .first()
            .map_or_else(|| Arc::from(""), |target| Arc::clone(&target.service))
    }

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
        let shut_since = self.groups.shut_since().unwrap_or(plan.arrived);
        let until = (shut_since + reform).min(plan.arrived + reform);
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
    fn group_of(&self, upstream: &Upstream) -> GroupId {
        let known = self.groups.of(upstream.address);
        known.unwrap_or(&upstream.service).clone()
    }

    /// Draws an open group by its room for streams, or the one that is least over full if none has any.
    ///
    /// All gateways see the same counts some hundred milliseconds late; if each took the one with the most
    /// room, that one would be flooded.
    fn roomy(
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

    /// Answers a sidecar that asks who serves a service.
    #[must_use]
    pub fn members(&self, ask: &Ask, now: Monotonic) -> Members {
        let service = self
            .table
            .as_ref()
            .and_then(|table| table.service(&ask.service));
        let engine = service.and_then(|service| service.engine);
        let upstreams = self.pool.iter();
        let upstreams = upstreams.filter(|upstream| *upstream.service == *ask.service);
        Members {
            service: ask.service.clone(),
            upstreams: upstreams.map(|upstream| upstream.address).collect(),
            gateways: self.roster.addresses(now, MOST_GATEWAYS),
            shape: engine.and_then(|engine| engine.shape),
        }
    }

    /// Returns what is known of a group's pace.
    #[must_use]
    pub fn pace(&self, group: &str) -> Option<&pace::Group> {
        self.paces.get(group)
    }

    /// Chooses the upstream of the next send and counts it there.
    ///
    /// # Errors
    ///
    /// Returns a refusal if none is left.
    pub fn assign(
        &mut self,
        plan: &Plan,
        tried: &[UpstreamId],
        now: Monotonic,
    ) -> Result<(Choice, GroupId), Refusal> {
        let is_new = |upstream: &Upstream| !tried.contains(&upstream.id);
        let mut rng = ChaCha8Rng::from_rng(&mut self.rng);
        let choice = match (plan.engine, plan.route.longest_pause) {
            (Some(engine), Some(longest)) => {
                let roomy = self.roomy(&plan.service, &engine, longest, now);
                roomy.and_then(|(group, ..)| {
                    let may_take =
                        |upstream: &Upstream| is_new(upstream) && self.group_of(upstream) == group;
                    self.choose(plan, Preference::EvenLoad, may_take, now, &mut rng)
                })
            }
            _ => self.choose(plan, Preference::ShortestTime, is_new, now, &mut rng),
        };
        let Some(choice) = choice else {
            let refusal = Refusal::of(ErrorKind::Unreachable, "no upstream is left");
            return Err(refusal.after(NO_UPSTREAM_RETURN));
        };
        self.pool.begin(&choice.upstream.id);
        if tried.is_empty() {
            self.budget.first(now, &plan.service, &plan.service);
        }
        let group = self.group_of(&choice.upstream);
        Ok((choice, group))
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

    /// Takes that an upstream refused a request, unrun. One that had a place for it belongs to a group that
    /// is shut.
    pub fn refused(&mut self, plan: &Plan, id: &str, group: &GroupId, now: Monotonic) {
        let mut loads = self.pool.loads(&plan.service);
        let load = loads.find(|(upstream, _)| *upstream.id == *id);
        let had_place = load.is_some_and(|(upstream, in_flight)| in_flight <= upstream.slots);
        if plan.engine.is_some() && had_place {
            self.groups.suspect(group, now);
        }
    }

    /// Takes how a send ended.
    pub fn end(&mut self, id: &str, outcome: Outcome, now: Monotonic) {
        self.pool.end(id, outcome, now);
    }

    /// Takes a repetition out of the fleet's budget, if one is left.
    pub fn may_repeat(&mut self, plan: &Plan, now: Monotonic) -> bool {
        let permit = self.budget.repeat(now, &plan.service, &plan.service);
        permit.is_ok()
    }
}

/// Returns this gateway's share of the fleet's retry budget; no slack while the fleet's size is unknown.
fn shares(bounds: &Bounds, fleet: Option<usize>) -> budget::Settings {
    let slack = fleet.map_or(0.0, |fleet| {
        let fleet = u32::try_from(fleet).unwrap_or(u32::MAX);
        bounds.retry_slack / f64::from(fleet.max(1))
    });
    let reserve = slack * RESERVE_PART;
    let refill = bounds.retry_window.as_secs_f64() / (slack - reserve).max(0.01);
    budget::Settings {
        share: thousandths(bounds.retry_ratio),
        reserve: whole(reserve),
        refill: Duration::from_secs_f64(refill),
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a published share between 0 and 1"
)]
fn thousandths(ratio: f64) -> u64 {
    (ratio.clamp(0.0, 1.0) * 1_000.0) as u64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a small positive number, rounded down"
)]
fn whole(number: f64) -> u64 {
    number.max(0.0) as u64
}
