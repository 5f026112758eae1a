//! The configuration in force, as a gateway uses it.
//!
//! A [`Table`] is built whole from one version and never changes; a newer version replaces it. It
//! answers two questions: which route takes a request, and which workspace holds a key.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use auburnline_core::id::WorkspaceId;
use auburnline_lockstep::cost::Cost;
use auburnline_lockstep::layout::Shape;
use serde::Deserialize;
use serde::Serialize;

/// Name of a service.
pub type ServiceId = Arc<str>;
/// Version of the configuration; it only grows.
pub type Version = u64;

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Idempotent: may run more than once.
    Safe,
    /// Non-idempotent: runs at most once for each attempt of the caller.
    Unsafe,
    /// Answered by events. Idempotent only where another run can go on after an event.
    Stream {
        /// Whether another run can go on after an event.
        resumable: bool,
    },
}

impl Kind {
    /// Returns whether a request may run more than once.
    #[must_use]
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Kind::Safe | Kind::Stream { resumable: true })
    }

    /// Returns whether the answer comes as events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Kind::Stream { .. })
    }
}

/// A service that takes a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Service.
    pub service: ServiceId,
    /// Share relative to the route's other targets.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host that the request names.
    pub host: String,
    /// Beginning of the path, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time until the final answer.
    pub timeout: Duration,
    /// Time to the answer, or to its first event, that callers aim at.
    pub objective: Duration,
    /// Longest pause between two events that callers aim at; none if answers are not streams.
    pub longest_pause: Option<Duration>,
    /// Services, each with its share.
    pub targets: Vec<Target>,
    /// Most upstreams that one attempt of a caller may be sent to.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub is_anonymous: bool,
}

/// Published cost model of a group of ranks in lock-step.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that one rank runs at once.
    pub slots: u32,
    /// Steps of one pass while anything is written; each event of a stream is one pass.
    pub steps: u32,
    /// Time of a step without requests.
    pub step: Duration,
    /// Time that each request in writing adds to a step.
    pub per_request: Duration,
    /// Time that 1,000 tokens of context add to a step.
    pub per_context: Duration,
    /// Tokens of prompts that are read in a second.
    pub read_rate: f64,
    /// Part of the work for tokens that goes to experts.
    pub expert_part: f64,
    /// Mean tokens of a prompt.
    pub usual_prompt: f64,
    /// Mean tokens of an answer.
    pub usual_answer: f64,
    /// Time that a group needs to form anew.
    pub form: Duration,
    /// Shape of its experts, where it has some.
    pub shape: Option<Shape>,
}

impl Engine {
    /// Returns a pass without requests.
    #[must_use]
    pub fn base(&self) -> Duration {
        self.step * self.steps
    }

    /// Returns the passes in which a usual answer is written.
    #[must_use]
    pub fn passes(&self) -> f64 {
        (self.usual_answer / f64::from(self.steps.max(1))).max(1.0)
    }

    /// Returns what a usual request adds to a pass of its rank by writing.
    #[must_use]
    pub fn writing(&self) -> Duration {
        let context = (self.usual_prompt + self.usual_answer / 2.0) / 1_000.0;
        let request = self.per_request + self.per_context.mul_f64(context);
        request * self.steps
    }

    /// Returns what reading a usual prompt adds to each pass of its request, in the mean.
    #[must_use]
    pub fn reading(&self) -> Duration {
        let prompt = self.usual_prompt / self.read_rate.max(1.0);
        Duration::try_from_secs_f64(prompt / self.passes()).unwrap_or_default()
    }

    /// Returns the cost of passes for callers that aim at pauses of at most `longest_pause`.
    #[must_use]
    pub fn cost(&self, longest_pause: Duration) -> Cost {
        Cost {
            base: self.base(),
            request: self.writing() + self.reading(),
            expert_part: self.expert_part,
            longest_pause,
        }
    }
}

/// One service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: ServiceId,
    /// Cost model, where the service is a group of ranks.
    pub engine: Option<Engine>,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Most bytes of a request's head.
    pub header_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time that a connection may stay idle, and that a body may take to arrive.
    pub idle: Duration,
}

/// A workspace, as the holder of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name.
    pub name: WorkspaceId,
}

/// What a table is built from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Content {
    /// Version.
    pub version: Version,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Workspaces with their keys.
    pub workspaces: Vec<(Workspace, Vec<String>)>,
    /// Bounds on what callers may send.
    pub limits: Limits,
}

/// One version of the configuration, ready for lookups.
#[derive(Clone, Debug)]
pub struct Table {
    version: Version,
    routes: HashMap<String, HashMap<String, Arc<Route>>>,
    services: BTreeMap<ServiceId, Arc<Service>>,
    keys: HashMap<String, Arc<Workspace>>,
    limits: Limits,
}

impl Table {
    /// Builds the table of one version.
    #[must_use]
    pub fn new(content: Content) -> Table {
        let mut routes: HashMap<String, HashMap<String, Arc<Route>>> = HashMap::new();
        for route in content.routes {
            let host = routes.entry(route.host.to_ascii_lowercase()).or_default();
            host.insert(route.prefix.clone(), Arc::new(route));
        }
        let services = content.services.into_iter();
        let services = services.map(|service| (Arc::clone(&service.name), Arc::new(service)));
        let mut keys = HashMap::new();
        for (workspace, held) in content.workspaces {
            let workspace = Arc::new(workspace);
            keys.extend(held.into_iter().map(|key| (key, Arc::clone(&workspace))));
        }
        Table {
            version: content.version,
            routes,
            services: services.collect(),
            keys,
            limits: content.limits,
        }
    }

    /// Returns the version.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Returns the bounds on what callers may send.
    #[must_use]
    pub const fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the route with the longest prefix that begins `path` on `host`.
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

    /// Returns a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns the shortest of the longest pauses that callers of a service aim at.
    #[must_use]
    pub fn longest_pause(&self, service: &str) -> Option<Duration> {
        let routes = self.routes.values().flat_map(HashMap::values);
        let routes = routes.filter(|route| {
            let mut targets = route.targets.iter();
            targets.any(|target| *target.service == *service)
        });
        routes.filter_map(|route| route.longest_pause).min()
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }
}
