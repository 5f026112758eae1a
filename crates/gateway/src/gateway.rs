//! All routing state and decisions of one gateway.
//!
//! A request passes through [`Gateway::plan`] (route, key and age of the known state),
//! [`Gateway::admit`] (whether a group can serve it in time) and [`Gateway::assign`] (which
//! upstream). After a failure, [`Gateway::take_retry`] decides whether it may be retried. Plans,
//! admissions and refusals carry the inputs that they were decided on, for the log.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use auburnline_admission::comeback::Deadlines;
use auburnline_admission::feature::Feature;
use auburnline_admission::feature::Features;
use auburnline_admission::queue::Queue;
use auburnline_admission::queue::Ticket;
use auburnline_admission::startup::Room;
use auburnline_core::error::Kind as ErrorKind;
use auburnline_core::id::FailureDomainId;
use auburnline_core::id::GroupId;
use auburnline_core::time::Monotonic;
use auburnline_lockstep::message::Digest;
use auburnline_retries::budget::Budget;
use rand::Rng;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::allowance::Allowance;
use crate::backoff::Backoffs;
pub use crate::bounds::Bounds;
use crate::demand::Demand;
use crate::duration::Durations;
use crate::freshness::Freshness;
use crate::group::Groups;
use crate::limit::Limits;
use crate::neighbour::Roster;
use crate::pace::Group;
use crate::quarantine::Quarantine;
use crate::request::Plan;
use crate::request::Refusal;
use crate::request::Request;
use crate::retry_budget;
use crate::route;
use crate::route::Route;
use crate::route::ServiceId;
use crate::route::Table;
use crate::settled::Agreement;
use crate::spread::Spread;
use crate::subscription::Subscribers;
use crate::transfer::Receivers;
use crate::transfer::Transfer;
use crate::unread::Unread;
use crate::upstream::Outcome;
use crate::upstream::Pool;
use crate::version::Lag;
use crate::warm_up::WarmUps;

/// Retry time when no upstream accepts work: a group forms again within about a second.
pub(crate) const NO_UPSTREAM_RETRY: Duration = Duration::from_millis(800);
/// Retry time when this gateway's configuration is missing or too old: the caller finds another
/// gateway.
pub(crate) const NOT_READY_RETRY: Duration = Duration::from_millis(100);
/// Reason of a refusal while a key may have been taken away without this gateway's knowledge.
const OUTDATED: &str = "configuration may be outdated";

/// What a group leader's digest changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Update {
    /// Whether the group opened or closed.
    pub is_changed: bool,
    /// Whether a rank of the group became slow.
    pub has_slowed: bool,
}

/// State of one gateway. It is changed by what the gateway learns and by its own decisions.
pub struct Gateway {
    pub(crate) failure_domain: FailureDomainId,
    pub(crate) bounds: Bounds,
    /// Time of day of the process start, since the Unix epoch; the maximum if it is unknown.
    pub(crate) started: Duration,
    table: Option<Arc<Table>>,
    pub(crate) paces: HashMap<GroupId, Group>,
    pub(crate) allowances: HashMap<GroupId, Allowance>,
    /// When a request last found all groups of a service closed.
    pub(crate) all_unavailable_at: HashMap<ServiceId, Monotonic>,
    pub(crate) budget: Budget<ServiceId, ServiceId>,
    pub(crate) rng: ChaCha8Rng,
    /// How long the answers of each route take.
    pub(crate) durations: Durations,
    /// Requests that wait for capacity, by service.
    pub(crate) queues: HashMap<ServiceId, Queue>,
    /// Ticket of the newest request.
    last_ticket: Ticket,
    /// Demand here and at other gateways.
    pub(crate) demand: Demand,
    /// Decisions that the settings enable.
    pub(crate) features: Features,
    /// Requests held until this gateway can serve.
    pub(crate) startup: Room,
    /// How long new callers of each route wait.
    pub(crate) deadlines: Deadlines,
    /// Known upstreams and the requests in flight there.
    pub pool: Pool,
    /// This gateway and the others that it knows.
    pub roster: Roster,
    /// Which upstreams run in lock-step, and which of these groups serve.
    pub groups: Groups,
    /// Age of the known state of the store.
    pub freshness: Freshness,
    /// How far this gateway's configuration may be behind those of others.
    pub(crate) lag: Lag,
    /// How far the store has been read, and what is passed on to other gateways.
    pub spread: Spread,
    /// Gateways that are informed of changes.
    pub(crate) subscribers: Subscribers,
    /// What other gateways agreed on about missing upstreams.
    pub(crate) agreement: Agreement,
    /// Requests held back because they crash the upstreams that run them.
    pub quarantine: Quarantine,
    /// Rate limits that upstreams announced.
    pub(crate) limits: Limits,
    /// Attempts that may not have been read, and upstreams that show nothing.
    pub(crate) unread: Unread,
    /// Upstreams that asked this gateway for backoff.
    pub(crate) backoffs: Backoffs,
    /// Upstreams that are cold.
    pub(crate) warm_ups: WarmUps,
    /// This gateway's request for the published state, and others' requests to it.
    pub(crate) transfer: Transfer,
    pub(crate) receivers: Receivers,
}

impl Gateway {
    /// Returns a gateway without any knowledge of the fleet, which can't serve yet.
    #[must_use]
    pub fn new(
        failure_domain: FailureDomainId,
        bounds: Bounds,
        roster: Roster,
        seed: u64,
    ) -> Gateway {
        Gateway {
            failure_domain,
            started: Duration::MAX,
            table: None,
            paces: HashMap::new(),
            allowances: HashMap::new(),
            all_unavailable_at: HashMap::new(),
            durations: Durations::default(),
            queues: HashMap::new(),
            last_ticket: 0,
            groups: Groups::default(),
            budget: Budget::with_reserve_at(
                retry_budget::settings(
                    &roster.own_entry().instance,
                    &bounds,
                    None,
                    Monotonic::ZERO,
                ),
                bounds.retry_window,
            ),
            rng: ChaCha8Rng::seed_from_u64(seed),
            pool: Pool::default(),
            roster,
            freshness: Freshness::new(bounds.revocation),
            lag: Lag::default(),
            spread: Spread::default(),
            subscribers: Subscribers::default(),
            agreement: Agreement::default(),
            quarantine: Quarantine::default(),
            limits: Limits::default(),
            unread: Unread::default(),
            backoffs: Backoffs::default(),
            warm_ups: WarmUps::default(),
            transfer: Transfer::default(),
            receivers: Receivers::default(),
            demand: Demand::default(),
            features: Features::new(),
            startup: Room::default(),
            deadlines: Deadlines::default(),
            bounds,
        }
    }

    /// Sets the time of day of the process start, since the Unix epoch, by which upstreams that
    /// started at the same time are recognized.
    pub const fn set_start_time(&mut self, started: Duration) {
        self.started = started;
    }

    /// Replaces the set of enabled features.
    pub fn set_features(&mut self, features: Features) {
        self.features = features;
    }

    /// Replaces the operators' bounds.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.freshness.set_bound(bounds.revocation);
        self.bounds = bounds;
    }

    /// Puts a configuration into force if it is newer than the present one; returns whether it is.
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

    /// Returns the version of the configuration in force.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.table.as_ref().map(|table| table.version())
    }

    /// Returns the configuration in force.
    #[must_use]
    pub const fn table(&self) -> Option<&Arc<Table>> {
        self.table.as_ref()
    }

    /// Does periodic work: adjusts this gateway's share of the retry budget to the size of the
    /// fleet, and drops backoffs and warm-ups that are over and counts of silent neighbours.
    pub fn tick(&mut self, now: Monotonic) {
        // Drops full accounts, so that these start again with the reserve if it grows now.
        self.budget.tick(now);
        let instance = &self.roster.own_entry().instance;
        let fleet = self.budget_members(now);
        self.budget
            .set_settings(retry_budget::settings(instance, &self.bounds, fleet, now));
        self.backoffs.forget(now);
        self.forget_unread(now);
        self.pool.forget_neighbours(now);
        self.end_transfer(now);
        self.forget_warm(now);
    }

    /// Returns whether this gateway has a configuration and knows that it is current enough to
    /// serve.
    #[must_use]
    pub fn can_serve(&self, now: Monotonic) -> bool {
        self.table.is_some() && self.freshness.is_fresh(now)
    }

    /// Decides how a request is to be served.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the route or the key is unknown, or if this gateway's configuration is
    /// missing or may be outdated.
    pub fn plan(&mut self, request: &Request<'_>, now: Monotonic) -> Result<Plan, Refusal> {
        self.plan_since(request, now, now)
    }

    /// Decides at `now` how a request that arrived earlier is to be served.
    ///
    /// # Errors
    ///
    /// Returns a refusal as [`Gateway::plan`] does.
    pub fn plan_since(
        &mut self,
        request: &Request<'_>,
        arrived: Monotonic,
        now: Monotonic,
    ) -> Result<Plan, Refusal> {
        let waited = now.saturating_sub(arrived);
        let left = request.timeout.map(|time| time.saturating_sub(waited));
        let Some(table) = self.table.clone() else {
            return Err(self.not_ready("no configuration", left, now));
        };
        let age = self.freshness.age(now).unwrap_or(Duration::MAX);
        let is_fresh = self.freshness.is_fresh(now);
        let Some(route) = table.route(request.host, request.path) else {
            if !is_fresh {
                return Err(self.not_ready(OUTDATED, left, now));
            }
            return Err(Refusal::new(ErrorKind::UnknownRoute, "no route"));
        };
        let workspace = request.key.and_then(|key| table.workspace(key)).cloned();
        if !route.is_anonymous {
            if !is_fresh {
                return Err(self.not_ready(OUTDATED, left, now));
            }
            if workspace.is_none() {
                return Err(Refusal::new(ErrorKind::Unauthorized, "unknown key"));
            }
        }
        let Some(service) = self.service(route) else {
            let reason = "no target of the route has a weight";
            let refusal = Refusal::new(ErrorKind::Unreachable, reason);
            return Err(refusal.with_retry_after(NO_UPSTREAM_RETRY));
        };
        let engine = table.service(&service).and_then(|service| service.engine);
        let timeout = request.timeout.unwrap_or(route.timeout).min(route.timeout);
        let workspace = workspace.filter(|_| !route.is_anonymous);
        let urgency = if self.features.contains(&Feature::Urgency) {
            table.urgency(&service, route, workspace.as_deref())
        } else {
            0
        };
        self.last_ticket += 1;
        if engine.is_some() && self.follows_demand() {
            self.demand.record(&service, urgency, now);
        }
        Ok(Plan {
            route: Arc::clone(route),
            urgency,
            ticket: self.last_ticket,
            spent: self.spent(route, request.timeout, now),
            service,
            engine,
            workspace,
            version: table.version(),
            age,
            arrived,
            deadline: arrived + timeout,
        })
    }

    fn not_ready(
        &mut self,
        reason: &'static str,
        left: Option<Duration>,
        now: Monotonic,
    ) -> Refusal {
        let after = self.not_ready_retry(NOT_READY_RETRY, left, now);
        Refusal::new(ErrorKind::NotReady, reason).with_retry_after(after)
    }

    /// Draws one of a route's services by weight, among those with upstreams that accept work if
    /// there are any; `None` if no target has a weight.
    fn service(&mut self, route: &Route) -> Option<ServiceId> {
        let usable = |service: &str| self.pool.ready(service) > 0;
        let mut targets: Vec<_> = route.targets.iter().collect();
        if targets
            .iter()
            .any(|target| target.weight > 0 && usable(&target.service))
        {
            targets.retain(|target| usable(&target.service));
        }
        let weights = targets.iter().map(|target| target.weight);
        let sum = weights.fold(0, u32::saturating_add);
        let mut drawn = (sum > 0).then(|| self.rng.random_range(0..sum))?;
        for target in &targets {
            if drawn < target.weight {
                return Some(Arc::clone(&target.service));
            }
            drawn -= target.weight;
        }
        None
    }

    /// Returns the cost model of a service's engines, if it has one.
    pub(crate) fn engine(&self, service: &str) -> Option<route::Engine> {
        let table = self.table.as_ref()?;
        table.service(service)?.engine
    }

    /// Applies the digest of a group's leader; returns what it changed.
    pub fn apply_digest(&mut self, digest: &Digest, now: Monotonic) -> Update {
        let has_slowed = self.pool.reports.apply(digest, now);
        let is_changed = self.groups.apply_digest(digest, now);
        if is_changed {
            // A group forms with the initial map, on which passes take longer than those seen
            // before.
            self.paces.remove(digest.group.as_str());
            if self.features.contains(&Feature::SharedForecasts) {
                let group = GroupId::from(digest.group.as_str());
                self.paces.insert(group, Group::formed(now));
            }
        }
        if let Some(allowance) = self.allowances.get_mut(digest.group.as_str()) {
            allowance.hear(is_changed, now);
        }
        Update {
            is_changed,
            has_slowed,
        }
    }

    /// Records how a send to an upstream ended.
    pub fn end(&mut self, id: &str, outcome: Outcome, now: Monotonic) {
        self.pool.end(id, outcome, now);
    }
}
