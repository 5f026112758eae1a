//! The decisions of one gateway, joined.
//!
//! A request passes through [`Gateway::plan`] (route, key, age of what is known),
//! [`Gateway::admit`] (whether the group can take it in time) and [`Gateway::assign`] (which
//! upstream); [`Gateway::may_repeat`] answers after a failure. Each answer tells what decided it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use auburnline_core::error::Kind as ErrorKind;
use auburnline_core::id::FailureDomainId;
use auburnline_core::id::GroupId;
use auburnline_core::time::Monotonic;
use auburnline_lockstep::message::Ask;
use auburnline_lockstep::message::Digest;
use auburnline_lockstep::message::Members;
use auburnline_retries::budget::Budget;
use rand::Rng;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::allowance::Allowance;
use crate::backoff::Backoffs;
use crate::group::Groups;
use crate::knowledge::Knowledge;
use crate::limit::Limits;
use crate::neighbour::Roster;
use crate::pace::Group;
use crate::quarantine::Quarantine;
use crate::request::Plan;
use crate::request::Refusal;
use crate::request::Request;
use crate::route::Route;
use crate::route::ServiceId;
use crate::route::Table;
use crate::share::shares;
use crate::spread;
use crate::spread::Need;
use crate::spread::Reading;
use crate::spread::Revision;
use crate::spread::Spread;
use crate::upstream::Change;
use crate::upstream::Outcome;
use crate::upstream::Pool;
use crate::upstream::Upstream;
use crate::version::Lag;

/// Time to come back when no upstream takes work: a group forms anew within about a second.
pub(crate) const NO_UPSTREAM_RETURN: Duration = Duration::from_millis(800);
/// Time to come back to a gateway that knows too little: the caller finds another one.
const ELSEWHERE_RETURN: Duration = Duration::from_millis(100);

/// Heartbeats of upstreams within which an entry lapses that nobody writes: three, and one for the way of the news.
const HEARTBEATS_DOUBTED: u32 = 4;

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
    /// Time for which the ranks of a group stall before they give up one that is gone.
    pub stall: Duration,
    /// Time within which an upstream writes its entry again.
    pub heartbeat: Duration,
}

/// What the word of a lead changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heard {
    /// Whether its group opened or shut.
    pub is_changed: bool,
    /// Whether a rank turned slow.
    pub has_slowed: bool,
}

/// All that one gateway decides with.
pub struct Gateway {
    pub(crate) failure_domain: FailureDomainId,
    pub(crate) bounds: Bounds,
    table: Option<Arc<Table>>,
    pub(crate) paces: HashMap<GroupId, Group>,
    pub(crate) allowances: HashMap<GroupId, Allowance>,
    /// When a request last found all groups of a service shut.
    pub(crate) shut_at: HashMap<ServiceId, Monotonic>,
    pub(crate) budget: Budget<ServiceId, ServiceId>,
    pub(crate) rng: ChaCha8Rng,
    /// Upstreams.
    pub pool: Pool,
    /// Other gateways.
    pub roster: Roster,
    /// Which upstreams run in lock-step.
    pub groups: Groups,
    /// Age of what is known.
    pub knowledge: Knowledge,
    /// How far this gateway may be behind others.
    pub(crate) lag: Lag,
    /// What was read of the store.
    pub spread: Spread,
    /// Requests that crash what runs them.
    pub quarantine: Quarantine,
    /// Rate limits that upstreams named.
    pub(crate) limits: Limits,
    /// Upstreams that asked this gateway to back off.
    pub(crate) backoffs: Backoffs,
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
            allowances: HashMap::new(),
            shut_at: HashMap::new(),
            groups: Groups::default(),
            budget: Budget::new(shares(&bounds, None)),
            rng: ChaCha8Rng::seed_from_u64(seed),
            pool: Pool::default(),
            roster,
            knowledge: Knowledge::new(bounds.revocation),
            lag: Lag::default(),
            spread: Spread::default(),
            quarantine: Quarantine::default(),
            limits: Limits::default(),
            backoffs: Backoffs::default(),
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
        let services = table.services().map(|service| Arc::clone(&service.name));
        self.pool.set_services(services);
        self.roster.set_version(table.version());
        self.table = Some(Arc::new(table));
        true
    }

    /// Takes all that is published, as of `revision`, with a configuration written at `configuration`; returns what changed.
    pub fn read_all(
        &mut self,
        upstreams: Vec<Upstream>,
        revision: Revision,
        configuration: Revision,
        now: Monotonic,
    ) -> Vec<Change> {
        match self.spread.read_all(revision, configuration) {
            Reading::Whole => self.pool.replace(upstreams),
            Reading::Restored => {
                self.knowledge.restored(now);
                let until = now + self.bounds.heartbeat * HEARTBEATS_DOUBTED;
                self.pool.restore(upstreams, until)
            }
        }
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
        self.backoffs.forget(now);
    }

    /// Returns whether this gateway can serve callers.
    #[must_use]
    pub fn is_able(&self, now: Monotonic) -> bool {
        self.table.is_some() && self.knowledge.is_fresh(now)
    }

    /// Says what this gateway has to read of the store now.
    pub fn need(&mut self, now: Monotonic) -> Need {
        let (_, is_reader) = self.roster.readers(now);
        let is_alone = spread::helps_itself(self.knowledge.age(now));
        self.spread.need(is_reader || is_alone, now)
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

    /// Answers a sidecar that asks who serves a service.
    #[must_use]
    pub fn members(&self, ask: &Ask, now: Monotonic) -> Members {
        let table = self.table.as_ref();
        let service = table.and_then(|table| table.service(&ask.service));
        let engine = service.and_then(|service| service.engine);
        let longest = table.and_then(|table| table.longest_pause(&ask.service));
        let upstreams = self.pool.iter();
        let upstreams = upstreams.filter(|upstream| *upstream.service == *ask.service);
        Members {
            service: ask.service.clone(),
            upstreams: upstreams.map(|upstream| upstream.address).collect(),
            gateways: self.roster.addresses(now, MOST_GATEWAYS),
            shape: engine.and_then(|engine| engine.shape),
            cost: engine
                .zip(longest)
                .map(|(engine, longest)| engine.cost(longest)),
        }
    }

    /// Takes the word of a group's lead; returns what it changes.
    pub fn hear(&mut self, digest: &Digest, now: Monotonic) -> Heard {
        let has_slowed = self.pool.reports.hear(digest, now);
        let is_changed = self.groups.hear(digest, now);
        if is_changed {
            // It forms with the first map, on which passes are longer than those that were seen.
            self.paces.remove(digest.group.as_str());
        }
        Heard {
            is_changed,
            has_slowed,
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
