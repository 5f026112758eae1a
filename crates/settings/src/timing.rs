//! Intervals and timeouts of a process, in milliseconds, with their defaults.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::check;
use crate::error::Fault;
use crate::error::Reason;

/// Largest value of any field: one day.
const MAX_MS: u64 = 24 * 60 * 60 * 1000;

/// Intervals and timeouts of a process; each must be greater than zero and at most one day.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// Interval between heartbeats of a session.
    pub heartbeat_ms: u64,
    /// Time without a message after which a session is closed and reopened.
    pub silence_ms: u64,
    /// Timeout for opening a connection.
    pub connect_ms: u64,
    /// Time for which a caller may use the addresses of a discovery.
    pub discovery_lifetime_ms: u64,
    /// Time allowed for work in flight to finish after this process was told to stop.
    pub drain_deadline_ms: u64,
    /// Timeout for a caller to send its headers, and again to send its body.
    pub slow_sender_ms: u64,
    /// Time for which an unacknowledged answer is kept.
    pub answer_lifetime_ms: u64,
    /// Time without data from an upstream after which its connection is considered broken.
    pub upstream_silence_ms: u64,
    /// Timeout of calls to the configuration service and the instance list.
    pub platform_timeout_ms: u64,
    /// Interval at which a group's expert counts are read.
    pub report_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            heartbeat_ms: 500,
            silence_ms: 2_000,
            connect_ms: 500,
            discovery_lifetime_ms: 5_000,
            drain_deadline_ms: 120_000,
            slow_sender_ms: 5_000,
            answer_lifetime_ms: 60_000,
            upstream_silence_ms: 10_000,
            platform_timeout_ms: 2_000,
            report_ms: 5_000,
        }
    }
}

impl Timing {
    /// Returns `heartbeat_ms` as a duration.
    #[must_use]
    pub const fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    /// Returns `silence_ms` as a duration.
    #[must_use]
    pub const fn silence(&self) -> Duration {
        Duration::from_millis(self.silence_ms)
    }

    /// Returns `connect_ms` as a duration.
    #[must_use]
    pub const fn connect(&self) -> Duration {
        Duration::from_millis(self.connect_ms)
    }

    /// Returns `discovery_lifetime_ms` as a duration.
    #[must_use]
    pub const fn discovery_lifetime(&self) -> Duration {
        Duration::from_millis(self.discovery_lifetime_ms)
    }

    /// Returns `drain_deadline_ms` as a duration.
    #[must_use]
    pub const fn drain_deadline(&self) -> Duration {
        Duration::from_millis(self.drain_deadline_ms)
    }

    /// Returns `slow_sender_ms` as a duration.
    #[must_use]
    pub const fn slow_sender(&self) -> Duration {
        Duration::from_millis(self.slow_sender_ms)
    }

    /// Returns `report_ms` as a duration.
    #[must_use]
    pub const fn report(&self) -> Duration {
        Duration::from_millis(self.report_ms)
    }

    /// Returns `answer_lifetime_ms` as a duration.
    #[must_use]
    pub const fn answer_lifetime(&self) -> Duration {
        Duration::from_millis(self.answer_lifetime_ms)
    }

    /// Returns `upstream_silence_ms` as a duration.
    #[must_use]
    pub const fn upstream_silence(&self) -> Duration {
        Duration::from_millis(self.upstream_silence_ms)
    }

    /// Returns `platform_timeout_ms` as a duration.
    #[must_use]
    pub const fn platform_timeout(&self) -> Duration {
        Duration::from_millis(self.platform_timeout_ms)
    }

    const fn fields(&self) -> [(&'static str, u64); 10] {
        [
            ("timing.heartbeat_ms", self.heartbeat_ms),
            ("timing.silence_ms", self.silence_ms),
            ("timing.connect_ms", self.connect_ms),
            ("timing.discovery_lifetime_ms", self.discovery_lifetime_ms),
            ("timing.drain_deadline_ms", self.drain_deadline_ms),
            ("timing.slow_sender_ms", self.slow_sender_ms),
            ("timing.answer_lifetime_ms", self.answer_lifetime_ms),
            ("timing.upstream_silence_ms", self.upstream_silence_ms),
            ("timing.platform_timeout_ms", self.platform_timeout_ms),
            ("timing.report_ms", self.report_ms),
        ]
    }

    pub(crate) fn check(&self, faults: &mut Vec<Fault>) {
        for (path, value) in self.fields() {
            check::number(path, value, MAX_MS, faults);
        }
        if self.silence_ms <= self.heartbeat_ms && self.silence_ms > 0 {
            faults.push(Fault::new(
                "timing.silence_ms",
                Reason::SilenceWithinHeartbeat,
            ));
        }
    }
}
