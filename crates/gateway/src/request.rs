//! A request, and what the gateway decides about it.

use std::sync::Arc;
use std::time::Duration;

use auburnline_admission::patience::Patience;
use auburnline_admission::queue::Ticket;
use auburnline_admission::standing::Standing;
use auburnline_admission::standing::Urgency;
use auburnline_core::error::Kind as ErrorKind;
use auburnline_core::time::Monotonic;

use crate::pace::Prediction;
use crate::route::Engine;
use crate::route::Route;
use crate::route::ServiceId;
use crate::route::Workspace;

/// What a caller requests, as far as routing depends on it.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Host that the request names.
    pub host: &'a str,
    /// Path without the query.
    pub path: &'a str,
    /// Key; `None` if the request has none.
    pub key: Option<&'a str>,
    /// How long the caller waits for the final answer; `None` for as long as the route's timeout,
    /// which is the upper bound.
    pub timeout: Option<Duration>,
}

/// How a request is to be served.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Route that applies to the request.
    pub route: Arc<Route>,
    /// Service drawn from the route's targets.
    pub service: ServiceId,
    /// Cost model; `None` if the service does not run on groups of ranks.
    pub engine: Option<Engine>,
    /// Workspace that holds the key; `None` on an anonymous route.
    pub workspace: Option<Arc<Workspace>>,
    /// Urgency among the requests to the service.
    pub urgency: Urgency,
    /// Identifies the request among those that wait at this gateway.
    pub ticket: Ticket,
    /// Time that the caller spent on the request before this attempt; zero if this may be its first.
    pub spent: Duration,
    /// Version of the configuration that the plan is based on.
    pub version: u64,
    /// Age of the known state at that time; [`Duration::MAX`] if nothing was known.
    pub age: Duration,
    /// When the request arrived.
    pub arrived: Monotonic,
    /// Deadline of the final answer.
    pub deadline: Monotonic,
}

impl Plan {
    /// Returns the request's position among those that want the same capacity.
    #[must_use]
    pub fn standing(&self, now: Monotonic) -> Standing {
        Standing {
            is_late: now > self.patience().start_by(),
            urgency: self.urgency,
        }
    }

    /// Returns how long the request may be held.
    #[must_use]
    pub fn patience(&self) -> Patience {
        Patience {
            arrived: self.arrived,
            spent: self.spent,
            objective: self.route.objective,
            longest_pause: self.route.longest_pause,
            deadline: self.deadline,
        }
    }

    /// Returns until when a first event, or an answer, meets the route's objective.
    #[must_use]
    pub fn in_time_until(&self) -> Monotonic {
        self.arrived + self.route.objective.saturating_sub(self.spent)
    }
}

/// Inputs of a load-based decision, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Basis {
    /// Predicted capacity and pass time of the group.
    pub prediction: Prediction,
    /// Requests in flight at the group, from all gateways.
    pub in_flight: u32,
    /// Those of this gateway.
    pub own: u32,
    /// Live gateways that share the group, this one included.
    pub gateways: u32,
    /// Whether the group is filled less, so that passes stay in time right after a shift of demand.
    pub is_cautious: bool,
    /// Age of the load that the group's leader reported; `None` if the counts of this gateway and
    /// its peers are used instead.
    pub told: Option<Duration>,
    /// Requests for which capacity is withheld since they go first.
    pub withheld: u16,
    /// Requests left of this gateway's share of the group's capacity; negative if it is overdrawn,
    /// `None` if the leader does not report the load.
    pub allowance: Option<f64>,
}

/// Fraction of a group's predicted capacity below which a refusal for load indicates a wrong
/// decision rather than load.
const SPARE_CAPACITY_FRACTION: f64 = 2.0 / 3.0;

impl Basis {
    /// Returns whether the group had so much spare capacity that a refusal for load was wrong.
    #[must_use]
    pub fn has_spare_capacity(&self) -> bool {
        f64::from(self.in_flight) < self.prediction.most * SPARE_CAPACITY_FRACTION
    }
}

/// Refusal of a request that no upstream has run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Kind of error that the caller gets.
    pub kind: ErrorKind,
    /// Time after which the caller should retry; `None` if it is told none.
    pub retry_after: Option<Duration>,
    /// Reason, for the log.
    pub reason: &'static str,
    /// Inputs of the decision; `None` unless the load of a group decided.
    pub basis: Option<Basis>,
    /// Whether all remaining upstreams are at the rate limits that they announced or have asked for
    /// backoff.
    pub is_throttled: bool,
    /// Requests that waited ahead of this one; `None` unless it had a place in the queue.
    pub ahead: Option<u16>,
    /// Whether a wait was predicted to be in vain, so that the request was not held.
    pub is_predicted: bool,
}

impl Refusal {
    /// Returns a refusal without a retry time.
    #[must_use]
    pub const fn new(kind: ErrorKind, reason: &'static str) -> Refusal {
        Refusal {
            kind,
            retry_after: None,
            reason,
            basis: None,
            is_throttled: false,
            ahead: None,
            is_predicted: false,
        }
    }

    /// Sets the time after which the caller should retry.
    #[must_use]
    pub fn with_retry_after(mut self, time: Duration) -> Refusal {
        self.retry_after = Some(time);
        self
    }
}

/// Whether a request may be sent now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It may be sent, on this basis; `None` if load was not considered.
    Admit(Option<Basis>),
    /// It waits for capacity and is decided on again at this time at the latest.
    Wait(Monotonic),
    /// It is not served.
    Refuse(Refusal),
}
