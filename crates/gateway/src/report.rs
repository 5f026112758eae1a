//! Load of the ranks, as reported by the leaders of their groups.
//!
//! Gateways exchange their counts of requests in flight only periodically, and the more gateways
//! there are, the less current these are. The leader of a group sees all requests at all ranks and
//! reports them several times a second. Between two reports a gateway adds the requests that it
//! sent itself.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use auburnline_core::time::Monotonic;
use auburnline_lockstep::message::Digest;
use auburnline_lockstep::rank::NOMINAL_SLOWDOWN_PERCENT;

/// Age from which a report is ignored; by then two reports of the leader are missing.
const MAX_REPORT_AGE: Duration = Duration::from_millis(600);
/// Divisor of this gateway's requests between two reports, for the part that the later one may not
/// include. A leader reports every 0.2 s what its ranks showed within the last 0.1 s, so about half
/// of the requests may have arrived after the rank was sampled.
const UNSEEN_DIVISOR: u32 = 2;

/// Last report on one engine.
#[derive(Clone, Copy, Debug, Default)]
struct Report {
    requests: u32,
    pace: u16,
    heard: Monotonic,
    /// Requests sent from here before the report that it may not include.
    sent_before: u32,
    /// Requests sent from here since the report.
    sent_since: u32,
}

/// Load of one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run or wait there, including those on the way.
    pub requests: u32,
    /// Slowdown relative to the expected speed, in hundredths.
    pub pace: u16,
    /// Age of the report on which this is based.
    pub age: Duration,
}

/// Last reports on all engines.
#[derive(Clone, Debug, Default)]
pub struct Reports(HashMap<SocketAddr, Report>);

impl Reports {
    /// Applies the report of a leader; returns whether a rank has become slower than before.
    pub fn apply(&mut self, digest: &Digest, now: Monotonic) -> bool {
        let mut has_slowed = false;
        for reported in &digest.engines {
            let report = self.0.entry(reported.engine).or_default();
            report.requests = reported.requests;
            has_slowed |= reported.slowdown_percent > report.pace.max(NOMINAL_SLOWDOWN_PERCENT);
            report.pace = reported.slowdown_percent;
            report.heard = now;
            report.sent_before = report.sent_since / UNSEEN_DIVISOR;
            report.sent_since = 0;
        }
        self.0
            .retain(|_, report| now.saturating_sub(report.heard) < MAX_REPORT_AGE);
        has_slowed
    }

    /// Records that this gateway sent a request to the engine.
    pub fn sent(&mut self, engine: SocketAddr) {
        if let Some(report) = self.0.get_mut(&engine) {
            report.sent_since += 1;
        }
    }

    /// Returns the load of an engine; `None` without a recent report.
    #[must_use]
    pub fn load(&self, engine: SocketAddr, now: Monotonic) -> Option<Load> {
        let report = self.0.get(&engine)?;
        let age = now.saturating_sub(report.heard);
        let sent = report.sent_before + report.sent_since;
        (age < MAX_REPORT_AGE).then_some(Load {
            requests: report.requests + sent,
            pace: report.pace,
            age,
        })
    }
}
