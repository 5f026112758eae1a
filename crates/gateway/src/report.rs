//! What the leads of groups tell of the load of their ranks.
//!
//! A gateway hears what its neighbours have in flight only now and then, and the more of them there are the
//! less it knows. The lead of a group sees all requests at all ranks and tells them several times a second;
//! between two of its words a gateway adds what it sent itself.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use auburnline_core::time::Monotonic;
use auburnline_lockstep::message::Digest;
use auburnline_lockstep::sight::USUAL_PACE;

/// Age from which on a report is not used: two of the lead's words are missing by then.
const AGE: Duration = Duration::from_millis(600);
/// Divisor of the sends between two reports that neither of them shows: a lead tells each 0.2 s what its ranks showed
/// within the last 0.1 s, so that half of them may have come after the rank was looked at.
const UNSEEN: u32 = 2;

/// What was told of one engine.
#[derive(Clone, Copy, Debug, Default)]
struct Report {
    requests: u32,
    pace: u16,
    heard: Monotonic,
    /// Own sends before the last report that it may not show.
    carried: u32,
    /// Own sends since the last report.
    newest: u32,
}

/// Load of one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run or wait there, those on their way included.
    pub requests: u32,
    /// Times that it takes longer than it should, in hundredths.
    pub pace: u16,
    /// Age of the report.
    pub age: Duration,
}

/// What was told of all engines.
#[derive(Clone, Debug, Default)]
pub struct Reports(HashMap<SocketAddr, Report>);

impl Reports {
    /// Takes the word of a lead; returns whether a rank turned slow.
    pub fn hear(&mut self, digest: &Digest, now: Monotonic) -> bool {
        let mut has_slowed = false;
        for busy in &digest.engines {
            let report = self.0.entry(busy.engine).or_default();
            report.requests = busy.requests;
            has_slowed |= busy.pace > report.pace.max(USUAL_PACE);
            report.pace = busy.pace;
            report.heard = now;
            report.carried = report.newest / UNSEEN;
            report.newest = 0;
        }
        self.0
            .retain(|_, report| now.saturating_sub(report.heard) < AGE);
        has_slowed
    }

    /// Counts a send.
    pub fn sent(&mut self, engine: SocketAddr) {
        if let Some(report) = self.0.get_mut(&engine) {
            report.newest += 1;
        }
    }

    /// Returns the load of an engine, if it was told lately.
    #[must_use]
    pub fn load(&self, engine: SocketAddr, now: Monotonic) -> Option<Load> {
        let report = self.0.get(&engine)?;
        let age = now.saturating_sub(report.heard);
        let sent = report.carried + report.newest;
        (age < AGE).then_some(Load {
            requests: report.requests + sent,
            pace: report.pace,
            age,
        })
    }
}
