//! Lookup table of the configuration in force.
//!
//! A [`Table`] is built from one version of the configuration and is immutable; a newer version
//! replaces it. Its main lookups are the route that applies to a request and the workspace that
//! holds a key.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use auburnline_admission::standing::Urgency;
use auburnline_core::id::WorkspaceId;
use auburnline_lockstep::cost::Cost;
use auburnline_lockstep::cost::scaled;
use auburnline_lockstep::layout::Shape;
use serde::Deserialize;
use serde::Serialize;

/// Name that identifies a service.
pub type ServiceId = Arc<str>;
/// Version of the configuration; increases monotonically.
pub type Version = u64;

/// Whether the requests of a route may be retried, and how they are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Idempotent: may run more than once.
    Safe,
    /// Non-idempotent: runs at most once for each attempt of the caller.
    Unsafe,
    /// Answered by a stream of events. Idempotent only if it is resumable.
    Stream {
        /// Whether another run can resume the stream after a given event.
        resumable: bool,
    },
}

impl Kind {
    /// Returns whether a request may run more than once.
    #[must_use]
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Kind::Safe | Kind::Stream { resumable: true })
    }

    /// Returns whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Kind::Stream { .. })
    }
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the service.
    pub service: ServiceId,
    /// Relative weight among the route's targets.
    pub weight: u32,
}

/// Rules for the requests under one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name used in logs.
    pub name: String,
    /// Host of the request, compared without regard to case.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// Whether requests may be retried, and how they are answered.
    pub kind: Kind,
    /// Maximum time until the final answer; a caller may ask for less.
    pub timeout: Duration,
    /// Latency objective for the answer, or for the first event of a stream.
    pub objective: Duration,
    /// Objective for the longest pause between two events; `None` if answers are not streams.
    pub longest_pause: Option<Duration>,
    /// Services among which requests are distributed by weight.
    pub targets: Vec<Target>,
    /// Maximum number of upstreams that one attempt of a caller may be sent to.
    pub max_attempts: u32,
    /// Whether requests are accepted without a key.
    pub is_anonymous: bool,
    /// Rank among the operators' routes; 0 is the most urgent.
    pub priority: u8,
}

/// Published cost model of a group of ranks that run in lock-step.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Maximum number of requests that one rank runs concurrently.
    pub slots: u32,
    /// Steps per pass while any request is decoding. A stream gets one event per pass.
    pub steps: u32,
    /// Duration of a step without requests.
    pub step: Duration,
    /// Time that each decoding request adds to a step.
    pub per_request: Duration,
    /// Time that 1,000 tokens of context add to a step.
    pub per_context: Duration,
    /// Prefill rate, in prompt tokens per second.
    pub prefill_rate: f64,
    /// Fraction of the work per token that is done by experts.
    pub expert_part: f64,
    /// Mean prompt length, in tokens.
    pub mean_prompt_tokens: f64,
    /// Mean answer length, in tokens.
    pub mean_answer_tokens: f64,
    /// Time that a group takes to form again.
    pub form_time: Duration,
    /// Layout of the model's experts; `None` if it has none.
    pub shape: Option<Shape>,
}

impl Engine {
    /// Returns the duration of a pass without requests.
    #[must_use]
    pub fn base(&self) -> Duration {
        self.step.saturating_mul(self.steps)
    }

    /// Returns the number of passes that decode an answer of mean length; at least 1.
    #[must_use]
    pub fn passes(&self) -> f64 {
        (self.mean_answer_tokens / f64::from(self.steps.max(1))).max(1.0)
    }

    /// Returns the time that decoding a request of mean length adds to a pass of its rank.
    #[must_use]
    pub fn decode_time(&self) -> Duration {
        let context = (self.mean_prompt_tokens + self.mean_answer_tokens / 2.0) / 1_000.0;
        let request = self
            .per_request
            .saturating_add(scaled(self.per_context, context));
        request.saturating_mul(self.steps)
    }

    /// Returns the prefill time of a prompt of mean length, averaged over its request's passes.
    #[must_use]
    pub fn prefill_time(&self) -> Duration {
        let prompt = self.mean_prompt_tokens / self.prefill_rate.max(1.0);
        scaled(Duration::from_secs(1), prompt / self.passes())
    }

    /// Returns the cost of a pass, for callers whose objective is a pause of at most
    /// `longest_pause`.
    #[must_use]
    pub fn cost(&self, longest_pause: Duration) -> Cost {
        Cost {
            base: self.base(),
            request: self.decode_time().saturating_add(self.prefill_time()),
            expert_part: self.expert_part,
            longest_pause,
        }
    }
}

/// A service that routes refer to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name that targets refer to.
    pub name: ServiceId,
    /// Cost model; `None` if the service does not run on groups of ranks.
    pub engine: Option<Engine>,
    /// Requests per second that a cold upstream of the service bears from all gateways together;
    /// `None` if it bears any number.
    pub warm_up_rate: Option<f64>,
    /// Path at which an upstream of the service answers whether it is well; `None` if it has none.
    pub health_path: Option<String>,
}

/// Limits on the requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum time that a connection may be idle, and that a request's body may take to arrive.
    pub idle: Duration,
}

/// A workspace that holds keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name used in logs.
    pub name: WorkspaceId,
    /// Rank that replaces that of a route for requests of this workspace; `None` if it has none.
    pub priority: Option<u8>,
}

/// One version of the configuration, from which a [`Table`] is built.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version; a table is only replaced by one of a newer version.
    pub version: Version,
    /// Routes; the last one wins where several have the same host and prefix.
    pub routes: Vec<Route>,
    /// Services; the last one wins where several have the same name.
    pub services: Vec<Service>,
    /// Workspaces, each with the keys that it holds.
    pub workspaces: Vec<(Workspace, Vec<String>)>,
    /// Limits on the requests of callers.
    pub limits: Limits,
}

/// One version of the configuration, indexed for lookups.
#[derive(Clone, Debug)]
pub struct Table {
    version: Version,
    routes: HashMap<String, HashMap<String, Arc<Route>>>,
    services: BTreeMap<ServiceId, Arc<Service>>,
    keys: HashMap<String, Arc<Workspace>>,
    limits: Limits,
    /// Distinct priorities of the requests to each service, the most urgent first.
    priorities: HashMap<ServiceId, BTreeSet<Priority>>,
}

impl Table {
    /// Indexes one version of the configuration.
    #[must_use]
    pub fn new(configuration: Configuration) -> Table {
        let priorities = priorities(&configuration);
        let mut routes: HashMap<String, HashMap<String, Arc<Route>>> = HashMap::new();
        for route in configuration.routes {
            let host = routes.entry(route.host.to_ascii_lowercase()).or_default();
            host.insert(route.prefix.clone(), Arc::new(route));
        }
        let services = configuration.services.into_iter();
        let services = services.map(|service| (Arc::clone(&service.name), Arc::new(service)));
        let mut keys = HashMap::new();
        for (workspace, held) in configuration.workspaces {
            let workspace = Arc::new(workspace);
            keys.extend(held.into_iter().map(|key| (key, Arc::clone(&workspace))));
        }
        Table {
            version: configuration.version,
            routes,
            services: services.collect(),
            keys,
            limits: configuration.limits,
            priorities,
        }
    }

    /// Returns the urgency of a request to `service` among all requests to it: the workspace's
    /// priority goes before the route's. It is 0 for all of them where no priorities differ.
    #[must_use]
    pub fn urgency(&self, service: &str, route: &Route, workspace: Option<&Workspace>) -> Urgency {
        let Some(priorities) = self.priorities.get(service) else {
            return 0;
        };
        let priority = Priority::of(route, workspace);
        Urgency::try_from(priorities.range(..priority).count()).unwrap_or(Urgency::MAX)
    }

    /// Returns how many urgencies the requests to `service` have.
    #[must_use]
    pub fn urgencies(&self, service: &str) -> usize {
        self.priorities.get(service).map_or(1, BTreeSet::len)
    }

    /// Returns the version that the table was built from.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Returns the limits on the requests of callers.
    #[must_use]
    pub const fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the route on `host` with the longest prefix of `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(&host.to_ascii_lowercase())?;
        let mut ends = path.rmatch_indices('/').map(|(at, _)| at);
        ends.find_map(|at| routes.get(&path[..=at]))
    }

    /// Returns the workspace that holds `key`.
    #[must_use]
    pub fn workspace(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.keys.get(key)
    }

    /// Returns the service of this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns the strictest pause objective of the routes to a service; `None` if none of them has
    /// one.
    #[must_use]
    pub fn longest_pause(&self, service: &str) -> Option<Duration> {
        let routes = self.routes.values().flat_map(HashMap::values);
        let routes = routes.filter(|route| {
            let mut targets = route.targets.iter();
            targets.any(|target| *target.service == *service)
        });
        routes.filter_map(|route| route.longest_pause).min()
    }

    /// Returns all services, in order of their names.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }
}

/// Priority of a request; the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Priority {
    /// That of the workspace, or of the route if the workspace has none.
    workspace: u8,
    route: u8,
}

impl Priority {
    fn of(route: &Route, workspace: Option<&Workspace>) -> Priority {
        let workspace = workspace.and_then(|workspace| workspace.priority);
        Priority {
            workspace: workspace.unwrap_or(route.priority),
            route: route.priority,
        }
    }
}

/// Returns the distinct priorities of the requests to each service.
fn priorities(configuration: &Configuration) -> HashMap<ServiceId, BTreeSet<Priority>> {
    let mut priorities: HashMap<ServiceId, BTreeSet<Priority>> = HashMap::new();
    for route in &configuration.routes {
        let workspaces = configuration.workspaces.iter();
        let workspaces = workspaces.map(|(workspace, _)| Priority::of(route, Some(workspace)));
        let of_route: BTreeSet<Priority> = if route.is_anonymous {
            BTreeSet::from([Priority::of(route, None)])
        } else {
            workspaces.collect()
        };
        for target in &route.targets {
            let of_service = priorities.entry(Arc::clone(&target.service)).or_default();
            of_service.extend(&of_route);
        }
    }
    priorities
}
