//! Settings of a gateway.

use std::net::SocketAddr;
use std::time::Duration;

use auburnline_admission::feature::Features;
use auburnline_duty::memory::MIN_MEBIBYTES;
use auburnline_gateway::gateway::Bounds;
use auburnline_settings::Error;
use auburnline_settings::Fault;
use auburnline_settings::Reason;
use serde::Deserialize;

/// Minimum number of file descriptors that a gateway needs.
pub(crate) const MIN_DESCRIPTORS: usize = 64;

const fn heartbeat_ms() -> u64 {
    1_200
}

/// Settings of a gateway, read from JSON.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Settings {
    /// Name of the instance; must not be empty.
    pub instance: String,
    /// Failure domain of the instance; must not be empty.
    pub failure_domain: String,
    /// Address at which callers' requests are served.
    pub callers: SocketAddr,
    /// Address of the readiness probe.
    pub readiness: SocketAddr,
    /// Address at which callers discover the gateways to use.
    pub discovery: SocketAddr,
    /// UDP address for messages of other gateways and of sidecars.
    pub peers: SocketAddr,
    /// UDP address to listen on if it differs from `peers`, as behind an address translation.
    #[serde(default)]
    pub peers_listen: Option<SocketAddr>,
    /// Address at which metrics are scraped.
    pub metrics: SocketAddr,
    /// Peer addresses of a few other gateways, used to join the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Maximum number of file descriptors of the process; at least 64.
    pub descriptors: usize,
    /// Memory of the process in MiB, at least 32; what the system allows if absent.
    #[serde(default)]
    pub memory_mb: Option<usize>,
    /// Maximum time in ms for which a revoked key may still be accepted.
    pub revocation_ms: u64,
    /// Time in ms between the termination signal and the kill by the platform.
    pub grace_ms: u64,
    /// Retries allowed per request in the whole fleet, from 0 to 1.
    pub retry_ratio: f64,
    /// Retries allowed beyond that per window in the whole fleet; at least 0.
    pub retry_slack: f64,
    /// Length of the window of `retry_slack`, in ms.
    pub retry_window_ms: u64,
    /// Time in ms for which the ranks of a group stall before they give up on a lost rank.
    pub stall_ms: u64,
    /// Interval in ms at which an upstream renews its entry in the store; 1200 if absent.
    #[serde(default = "heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Maximum lifetime of a discovery response, in ms.
    pub longest_answer_ms: u64,
    /// Optional decisions that are enabled; none if absent.
    #[serde(default)]
    pub features: Features,
}

impl Settings {
    /// Returns the bounds for the gateway's decisions.
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
        refuse("instance", self.instance.is_empty(), "must not be empty");
        refuse(
            "failure_domain",
            self.failure_domain.is_empty(),
            "must not be empty",
        );
        refuse(
            "revocation_ms",
            self.revocation_ms == 0,
            "must be greater than zero",
        );
        refuse(
            "heartbeat_ms",
            self.heartbeat_ms == 0,
            "must be greater than zero",
        );
        refuse("grace_ms", self.grace_ms == 0, "must be greater than zero");
        refuse(
            "retry_window_ms",
            self.retry_window_ms == 0,
            "must be greater than zero",
        );
        let is_share = (0.0..=1.0).contains(&self.retry_ratio);
        refuse("retry_ratio", !is_share, "must be between 0 and 1");
        let is_slack = self.retry_slack.is_finite() && self.retry_slack >= 0.0;
        refuse(
            "retry_slack",
            !is_slack,
            "must be a finite number of at least 0",
        );
        let is_few = self.descriptors < MIN_DESCRIPTORS;
        refuse("descriptors", is_few, "must be at least 64");
        let is_small = self.memory_mb.is_some_and(|memory| memory < MIN_MEBIBYTES);
        refuse("memory_mb", is_small, "must be at least 32");
        if faults.is_empty() {
            Ok(())
        } else {
            Err(Error(faults))
        }
    }
}
