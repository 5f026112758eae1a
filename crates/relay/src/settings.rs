//! Settings of a gateway.

use std::net::SocketAddr;
use std::time::Duration;

use auburnline_admission::feature::Features;
use auburnline_duty::memory::MIN_MEBIBYTES;
use auburnline_gateway::gateway::Bounds;
use auburnline_settings::Error;
use auburnline_settings::Fault;
use auburnline_settings::Reason;
use auburnline_settings::number;
use serde::Deserialize;

/// Minimum number of file descriptors that a gateway needs.
pub(crate) const MIN_DESCRIPTORS: usize = 64;

const fn default_heartbeat() -> Duration {
    Duration::from_millis(1_200)
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
    #[serde(deserialize_with = "number::limit")]
    pub descriptors: usize,
    /// Memory of the process in MiB, at least 32; what the system allows if absent.
    #[serde(default, deserialize_with = "number::optional_limit")]
    pub memory_mb: Option<usize>,
    /// Maximum time in ms for which a revoked key may still be accepted.
    #[serde(rename = "revocation_ms", deserialize_with = "number::millis")]
    pub revocation: Duration,
    /// Time between the termination signal and the kill by the platform, in ms or in seconds.
    #[serde(default, deserialize_with = "number::optional_millis")]
    grace_ms: Option<Duration>,
    #[serde(default, deserialize_with = "number::optional_seconds")]
    grace_s: Option<Duration>,
    /// Retries allowed per request in the whole fleet, from 0 to 1.
    pub retry_ratio: f64,
    /// Retries allowed beyond that per window in the whole fleet; at least 0.
    pub retry_slack: f64,
    /// Length of the window of `retry_slack`, in ms or in seconds.
    #[serde(default, deserialize_with = "number::optional_millis")]
    retry_window_ms: Option<Duration>,
    #[serde(default, deserialize_with = "number::optional_seconds")]
    retry_window_s: Option<Duration>,
    /// Time in ms for which the ranks of a group stall before they give up on a lost rank.
    #[serde(rename = "stall_ms", deserialize_with = "number::millis")]
    pub stall: Duration,
    /// Interval in ms at which an upstream renews its entry in the store; 1200 if absent.
    #[serde(
        rename = "heartbeat_ms",
        default = "default_heartbeat",
        deserialize_with = "number::millis"
    )]
    pub heartbeat: Duration,
    /// Maximum lifetime of a discovery response, in ms or in seconds.
    #[serde(default, deserialize_with = "number::optional_millis")]
    longest_answer_ms: Option<Duration>,
    #[serde(default, deserialize_with = "number::optional_seconds")]
    longest_answer_s: Option<Duration>,
    /// Optional decisions that are enabled; none if absent.
    #[serde(default)]
    pub features: Features,
}

/// A time that is given in one of two units, each with a field of its own.
struct Time {
    ms: (&'static str, Option<Duration>),
    s: (&'static str, Option<Duration>),
}

impl Time {
    /// Returns the time; zero if it is missing, which the check refuses.
    fn value(&self) -> Duration {
        self.ms.1.or(self.s.1).unwrap_or_default()
    }

    /// Returns the field that is given.
    fn field(&self) -> &'static str {
        if self.s.1.is_some() {
            self.s.0
        } else {
            self.ms.0
        }
    }

    /// Returns why the fields can't be used together.
    fn fault(&self) -> Option<&'static str> {
        match (self.ms.1, self.s.1) {
            (None, None) => Some("missing field"),
            (Some(_), Some(_)) => Some("given in milliseconds too"),
            (Some(_), None) | (None, Some(_)) => None,
        }
    }
}

impl Settings {
    /// Returns the time between the termination signal and the kill by the platform.
    #[must_use]
    pub fn grace(&self) -> Duration {
        self.grace_time().value()
    }

    /// Returns the length of the window of `retry_slack`.
    #[must_use]
    pub fn retry_window(&self) -> Duration {
        self.retry_window_time().value()
    }

    /// Returns the maximum lifetime of a discovery response.
    #[must_use]
    pub fn longest_answer(&self) -> Duration {
        self.longest_answer_time().value()
    }

    const fn grace_time(&self) -> Time {
        Time {
            ms: ("grace_ms", self.grace_ms),
            s: ("grace_s", self.grace_s),
        }
    }

    const fn retry_window_time(&self) -> Time {
        Time {
            ms: ("retry_window_ms", self.retry_window_ms),
            s: ("retry_window_s", self.retry_window_s),
        }
    }

    const fn longest_answer_time(&self) -> Time {
        Time {
            ms: ("longest_answer_ms", self.longest_answer_ms),
            s: ("longest_answer_s", self.longest_answer_s),
        }
    }

    /// Returns the bounds for the gateway's decisions.
    #[must_use]
    pub fn bounds(&self) -> Bounds {
        Bounds {
            revocation: self.revocation,
            retry_ratio: self.retry_ratio,
            retry_slack: self.retry_slack,
            retry_window: self.retry_window(),
            stall: self.stall,
            heartbeat: self.heartbeat,
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
            self.revocation.is_zero(),
            "must be greater than zero",
        );
        refuse(
            "heartbeat_ms",
            self.heartbeat.is_zero(),
            "must be greater than zero",
        );
        let (grace, window) = (self.grace_time(), self.retry_window_time());
        for time in [&grace, &window, &self.longest_answer_time()] {
            let fault = time.fault();
            refuse(time.field(), fault.is_some(), fault.unwrap_or_default());
        }
        for time in [grace, window] {
            let is_zero = time.fault().is_none() && time.value().is_zero();
            refuse(time.field(), is_zero, "must be greater than zero");
        }
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
