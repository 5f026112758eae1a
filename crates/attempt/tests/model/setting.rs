//! Settings of a model run.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::fmt::Formatter;

/// Deliberate defects of the driver, to show that the checks catch them. The crate has no such switch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Defect {
    /// Runs a later attempt without a claim.
    NoClaim,
    /// Believes the caller's age and forgets how long the request was on its way.
    NoSilence,
    /// Says "not run" when a session is lost.
    FalseNotRun,
    /// Passes on every frame that arrives.
    NoFrameCheck,
}

/// Mean times between faults, in milliseconds; zero for never.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    pub(crate) slot_kill: u64,
    pub(crate) slot_pause: u64,
    pub(crate) entry_kill: u64,
    pub(crate) entry_freeze: u64,
    pub(crate) upstream_kill: u64,
    pub(crate) partition: u64,
    pub(crate) membership: u64,
    /// Messages in 1,000 that are lost with their session, and as many doubled and swapped.
    pub(crate) lost: u32,
    /// Messages in 1,000 that are late by up to 50 s, and requests by up to 60 s.
    pub(crate) late: u32,
    /// Frames in 1,000 beside which a stray one arrives.
    pub(crate) stray: u32,
}

/// Settings of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setting {
    pub(crate) slots: usize,
    pub(crate) entries: usize,
    pub(crate) seconds: u64,
    /// Mean time between new requests, in microseconds.
    pub(crate) request_interval_us: u64,
    /// Mean time of a run at the upstream, in milliseconds.
    pub(crate) service_ms: u64,
    /// Slots by rendezvous that may get a request; zero for all.
    pub(crate) candidates: usize,
    /// Requests in 100 whose caller counts attempts.
    pub(crate) numbered: u32,
    /// Requests in 100 that may be repeated.
    pub(crate) idempotent: u32,
    /// Requests in 100 whose caller is impatient and doubles its retries.
    pub(crate) impatient: u32,
    /// Longest lag of the published list, in milliseconds.
    pub(crate) lag_ms: u64,
    /// Longest time until a killed slot's sessions are known to be lost, in milliseconds.
    pub(crate) detection_ms: u64,
    /// Longest downtime of a killed process, in milliseconds.
    pub(crate) downtime_ms: u64,
    pub(crate) faults: Faults,
    pub(crate) defect: Option<Defect>,
}

/// Counts of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Report {
    /// Events handled.
    pub(crate) events: u64,
    /// Requests.
    pub(crate) requests: u64,
    /// Requests by how their last answer ended.
    pub(crate) ends: BTreeMap<&'static str, u64>,
    /// Unknown answers by cause.
    pub(crate) causes: BTreeMap<String, u64>,
    /// Faults by kind.
    pub(crate) faults: BTreeMap<&'static str, u64>,
    /// Questions and submissions between entries and slots.
    pub(crate) messages: u64,
    /// Times from a request's arrival at an entry to its submission, in microseconds.
    pub(crate) waits: Vec<u64>,
    /// Frames dropped by receivers.
    pub(crate) dropped: u64,
    /// Later attempts.
    pub(crate) later: u64,
    /// Claims by how they ended.
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
