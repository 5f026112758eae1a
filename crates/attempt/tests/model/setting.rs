//! Settings and counts of a simulation run.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::fmt::Formatter;

/// Defects that the simulation can inject into its own entries, to show that the checks detect
/// them. The crate itself has no such option.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Defect {
    /// Runs a later attempt without a claim.
    NoClaim,
    /// Uses the age that the caller stated, without the request's time in transit.
    NoSilence,
    /// Reports "not run" when a session is lost.
    FalseNotRun,
    /// Passes on every received frame unchecked.
    NoFrameCheck,
}

/// Mean times between faults, in milliseconds; zero disables a fault.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    pub(crate) slot_kill: u64,
    pub(crate) slot_pause: u64,
    pub(crate) entry_kill: u64,
    pub(crate) entry_freeze: u64,
    pub(crate) upstream_kill: u64,
    pub(crate) partition: u64,
    pub(crate) membership: u64,
    /// Messages in 1,000 that are lost together with their session; as many are duplicated, and as
    /// many reordered.
    pub(crate) lost: u32,
    /// Messages in 1,000 that are delayed by up to 50 s, and requests in 1,000 by up to 60 s.
    pub(crate) late: u32,
    /// Frames in 1,000 before which a copy of an earlier frame is injected.
    pub(crate) stray: u32,
}

/// Settings of a simulation run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setting {
    pub(crate) slots: usize,
    pub(crate) entries: usize,
    pub(crate) seconds: u64,
    /// Mean time between new requests, in microseconds.
    pub(crate) request_interval_us: u64,
    /// Mean time of a run at the upstream, in milliseconds.
    pub(crate) service_ms: u64,
    /// Number of slots, by rendezvous order, that may get a request; zero for all.
    pub(crate) candidates: usize,
    /// Requests in 100 whose caller numbers its attempts.
    pub(crate) numbered: u32,
    /// Requests in 100 that are idempotent.
    pub(crate) idempotent: u32,
    /// Requests in 100 whose caller has a short timeout and sends some retries twice at once.
    pub(crate) impatient: u32,
    /// Greatest lag of the published list, in milliseconds.
    pub(crate) lag_ms: u64,
    /// Greatest time until entries detect the loss of a killed slot's sessions, in milliseconds.
    pub(crate) detection_ms: u64,
    /// Greatest downtime of a killed process beyond the fixed 100 ms, in milliseconds.
    pub(crate) downtime_ms: u64,
    pub(crate) faults: Faults,
    pub(crate) defect: Option<Defect>,
}

/// Counts of one or several runs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Report {
    /// Number of simulation events handled.
    pub(crate) events: u64,
    /// Number of distinct requests, not counting repeated attempts.
    pub(crate) requests: u64,
    /// Requests by the outcome of their last answer; `answered` stays once reached.
    pub(crate) ends: BTreeMap<&'static str, u64>,
    /// Unknown answers by cause.
    pub(crate) causes: BTreeMap<String, u64>,
    /// Faults by kind.
    pub(crate) faults: BTreeMap<&'static str, u64>,
    /// Queries and submissions sent from entries to slots; resent submissions count again.
    pub(crate) messages: u64,
    /// Times from an attempt's arrival at an entry to each of its submissions, in microseconds.
    pub(crate) waits: Vec<u64>,
    /// Frames dropped by receivers.
    pub(crate) dropped: u64,
    /// Attempts that needed a claim.
    pub(crate) later: u64,
    /// Steps of claims by kind.
    pub(crate) claims: BTreeMap<&'static str, u64>,
}

impl Report {
    /// Adds the counts of another run.
    pub(crate) fn add(&mut self, other: &Report) {
        self.events += other.events;
        self.requests += other.requests;
        self.messages += other.messages;
        self.dropped += other.dropped;
        self.later += other.later;
        self.waits.extend(&other.waits);
        merge(&mut self.claims, &other.claims);
        merge(&mut self.ends, &other.ends);
        merge(&mut self.causes, &other.causes);
        merge(&mut self.faults, &other.faults);
    }
}

fn merge<K: Ord + Clone>(into: &mut BTreeMap<K, u64>, from: &BTreeMap<K, u64>) {
    for (key, count) in from {
        *into.entry(key.clone()).or_default() += count;
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{} events, {} requests, {} later attempts, {} messages, {} submissions, \
             {} frames dropped; claims {:?}; ends {:?}; unknown by cause {:?}; faults {:?}",
            self.events,
            self.requests,
            self.later,
            self.messages,
            self.waits.len(),
            self.dropped,
            self.claims,
            self.ends,
            self.causes,
            self.faults,
        )
    }
}
