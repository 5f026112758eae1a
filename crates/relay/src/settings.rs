//! Settings of a gateway.

use std::net::SocketAddr;
use std::time::Duration;

use auburnline_gateway::gateway::Bounds;
use auburnline_settings::Error;
use auburnline_settings::Fault;
use auburnline_settings::Reason;
use serde::Deserialize;

/// Fewest descriptors that a gateway can work with.
const LEAST_DESCRIPTORS: usize = 64;

const fn heartbeat_ms() -> u64 {
    1_200
}

/// Settings of a gateway, read from JSON.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Settings {
    /// Name of the instance.
    pub instance: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Address towards callers.
    pub callers: SocketAddr,
    /// Address at which the platform asks whether this gateway is ready.
    pub readiness: SocketAddr,
    /// Address at which callers ask which gateways to use.
    pub discovery: SocketAddr,
    /// Address towards other gateways.
    pub peers: SocketAddr,
    /// Address at which metrics are read.
    pub metrics: SocketAddr,
    /// Addresses of a few other gateways.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Most descriptors of the process.
    pub descriptors: usize,
    /// Longest time for which a revoked key may work, in ms.
    pub revocation_ms: u64,
    /// Time between a signal to end and the kill, in ms.
    pub grace_ms: u64,
    /// Repetitions for each request, in the whole fleet.
    pub retry_ratio: f64,
    /// Repetitions beyond that in a window, in the whole fleet.
    pub retry_slack: f64,
    /// That window, in ms.
    pub retry_window_ms: u64,
    /// Milliseconds for which the ranks of a group stall before they give up one that is gone.
    pub stall_ms: u64,
    /// Time within which an upstream writes its entry again, in ms.
    #[serde(default = "heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Longest time for which an answer of discovery may hold, in ms.
    pub longest_answer_ms: u64,
}

impl Settings {
    /// Returns the bounds for the decisions.
    #[must_use]
    pub fn bounds(&self) -> Bounds {
        Bounds {
            revocation: Duration::from_millis(self.revocation_ms),
            retry_ratio: self.retry_ratio,
            retry_slack: self.retry_slack,
            retry_window: Duration::from_millis(self.retry_window_ms),
            stall: Duration::from_millis(self.stall_ms),
            heartbeat: Duration::from_millis(self.heartbeat_ms),
        }
    }
}

impl auburnline_settings::Settings for Settings {
    fn check(&self) -> Result<(), Error> {
        let mut faults = Vec::new();
        let mut refuse = |field: &str, is_wrong: bool, cause: &str| {
            if is_wrong {
                faults.push(Fault {
                    path: field.to_owned(),
                    reason: Reason::Malformed(cause.to_owned()),
                });
            }
        };
        refuse("instance", self.instance.is_empty(), "is empty");
        refuse("failure_domain", self.failure_domain.is_empty(), "is empty");
        refuse("revocation_ms", self.revocation_ms == 0, "is zero");
        refuse("heartbeat_ms", self.heartbeat_ms == 0, "is zero");
        refuse("grace_ms", self.grace_ms == 0, "is zero");
        refuse("retry_window_ms", self.retry_window_ms == 0, "is zero");
        let is_share = (0.0..=1.0).contains(&self.retry_ratio);
        refuse("retry_ratio", !is_share, "is no share from 0 to 1");
        let is_slack = self.retry_slack.is_finite() && self.retry_slack >= 0.0;
        refuse("retry_slack", !is_slack, "is no positive number");
        let is_few = self.descriptors < LEAST_DESCRIPTORS;
        refuse("descriptors", is_few, "is too small");
        if faults.is_empty() {
            Ok(())
        } else {
            Err(Error(faults))
        }
    }
}
