//! One request on its way through the decisions.

use std::sync::Arc;
use std::time::Duration;

use auburnline_core::error::Kind as ErrorKind;
use auburnline_core::time::Monotonic;

use crate::pace::Prediction;
use crate::route::Engine;
use crate::route::Route;
use crate::route::ServiceId;
use crate::route::Workspace;

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

/// What a decision on load rested on, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Basis {
    /// What was predicted.
    pub prediction: Prediction,
    /// Requests at the group.
    pub in_flight: u32,
    /// Requests in flight of this gateway.
    pub own: u32,
    /// Gateways that share the group.
    pub gateways: u32,
    /// Whether the group is filled for the passes after a shift of demand.
    pub is_cautious: bool,
    /// Age of the lead's word; none if this gateway's and its neighbours' counts stand in.
    pub told: Option<Duration>,
    /// Requests that this gateway may still send of its share; below zero if it is ahead of it.
    pub allowance: Option<f64>,
}

/// Part of the streams that a group carries below which a refusal for load tells of a wrong judgement, not of load.
const ROOMY_PART: f64 = 2.0 / 3.0;

impl Basis {
    /// Returns whether the group had plenty of room.
    #[must_use]
    pub fn is_roomy(&self) -> bool {
        f64::from(self.in_flight) < self.prediction.most * ROOMY_PART
    }
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
    /// What it rested on, where load decided.
    pub basis: Option<Basis>,
    /// Whether all upstreams that are left are at the limits that they named, or asked for backoff.
    pub is_closed: bool,
}

impl Refusal {
    /// Returns a refusal that tells no time to come back.
    #[must_use]
    pub const fn of(kind: ErrorKind, reason: &'static str) -> Refusal {
        Refusal {
            kind,
            retry_after: None,
            reason,
            basis: None,
            is_closed: false,
        }
    }

    /// Returns the refusal with a time to come back.
    #[must_use]
    pub fn after(mut self, time: Duration) -> Refusal {
        self.retry_after = Some(time);
        self
    }
}

/// Whether a request may be sent now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It may.
    Go(Option<Basis>),
    /// It may wait for a place until this time.
    Wait(Monotonic),
    /// It is refused.
    Refuse(Refusal),
}
