//! Requests that crash the upstreams that run them.
//!
//! A request may bring down each upstream that begins to run it, and its caller, who sees only a broken connection, sends
//! it again, through any gateway. Each run costs a group of ranks some seconds, so that a few repetitions stop a whole
//! service. Gateways tell each other of crashes. A request that was running at [`LIMIT`] crashes, one after the other, is
//! held back everywhere until nothing was heard of it for [`MEMORY`].
//!
//! What else runs at a crash is innocent, and mostly is served by its next upstream: an answer clears a request. An upstream
//! that starts anew is another one, so that each crash counts once, whoever tells of it.

use std::collections::BTreeMap;
use std::time::Duration;

use auburnline_core::hash::stable;
use auburnline_core::time::Monotonic;
use serde::Deserialize;
use serde::Serialize;

use crate::upstream::Upstream;

/// What tells one request from others, whatever attempt of its caller it is.
pub type Fingerprint = u64;

/// Crashes from which on a request is held back. Each takes a group out of service for seconds, and where gateways lost
/// what they knew, so many more are needed again.
pub const LIMIT: usize = 2;
/// Time for which a crash is remembered.
pub const MEMORY: Duration = Duration::from_mins(5);
/// Time for which a crash is told after it was heard first: enough beats to reach each gateway of a fleet of hundreds.
const TOLD: Duration = Duration::from_secs(4);
/// Requests that are remembered at most: those that ran at the crash of some groups at once.
const MOST_CASES: usize = 2_048;
/// Crashes of one request that are remembered at most.
const MOST_CRASHES: usize = 4;
/// Marks in one message, which then stays within one packet.
pub const MOST_MARKS: usize = 48;

/// Returns what tells the request with this method, path, key and body from others.
#[must_use]
pub fn fingerprint(method: &str, path: &str, key: Option<&str>, body: &[u8]) -> Fingerprint {
    let parts = [method.as_bytes(), path.as_bytes()];
    let parts = parts
        .into_iter()
        .chain([key.unwrap_or_default().as_bytes(), body]);
    parts.fold(0, stable)
}

/// Number of one start of an upstream, which all gateways know it by.
pub type StartTag = u64;

/// Returns the number of this start of an upstream.
#[must_use]
pub fn start_tag(upstream: &Upstream) -> StartTag {
    stable(upstream.born.unwrap_or(0), upstream.id.as_bytes())
}

/// What became of one run of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// Its upstream crashed.
    Crashed(StartTag),
    /// It was answered.
    Answered,
}

/// What one gateway tells others of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// Request.
    pub request: Fingerprint,
    /// What became of it.
    pub end: End,
    /// Milliseconds since then.
    pub age_ms: u32,
}

/// A crash at which a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Crash {
    upstream: StartTag,
    at: Moment,
}

/// What is known of one request.
#[derive(Clone, Debug)]
struct Case {
    /// Crashes since it was answered last.
    crashes: Vec<Crash>,
    answered: Option<Moment>,
    /// When something new was heard last.
    heard: Moment,
}

impl Case {
    /// Takes a crash; returns whether it is news.
    fn crashed(&mut self, crash: Crash) -> bool {
        let is_cleared = self.answered.is_some_and(|at| crash.at <= at);
        let is_known = |known: &Crash| known.upstream == crash.upstream;
        if is_cleared || self.crashes.len() >= MOST_CRASHES || self.crashes.iter().any(is_known) {
            return false;
        }
        self.crashes.push(crash);
        true
    }

    /// Takes an answer; returns whether it is news.
    fn answered(&mut self, at: Moment) -> bool {
        let before = self.crashes.len();
        self.crashes.retain(|crash| crash.at > at);
        self.answered = self.answered.max(Some(at));
        self.crashes.len() < before
    }

    fn is_held(&self) -> bool {
        self.crashes.len() >= LIMIT
    }

    fn newest(&self) -> Moment {
        let crashes = self.crashes.iter().map(|crash| crash.at);
        crashes.chain(self.answered).max().unwrap_or_default()
    }

    fn marks(&self, request: Fingerprint, now: Moment) -> impl Iterator<Item = Mark> {
        let crashes = self.crashes.iter();
        let crashes = crashes.map(|crash| (End::Crashed(crash.upstream), crash.at));
        let answered = self.answered.map(|at| (End::Answered, at));
        answered
            .into_iter()
            .chain(crashes)
            .map(move |(end, at)| Mark {
                request,
                end,
                age_ms: millis(now.saturating_sub(at)),
            })
    }
}

/// Time since [`MEMORY`] before the start of the process: a crash that others tell of may be older than this gateway.
type Moment = Duration;

fn since_memory(now: Monotonic) -> Moment {
    now + MEMORY
}

/// All requests that ran at a crash of late.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    cases: BTreeMap<Fingerprint, Case>,
}

impl Quarantine {
    /// Returns whether no request ran at a crash of late, so that none needs to be looked for.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// Returns for how much longer a request is held back, if it is.
    #[must_use]
    pub fn held_for(&self, request: Fingerprint, now: Monotonic) -> Option<Duration> {
        let case = self.cases.get(&request).filter(|case| case.is_held())?;
        let left = (case.newest() + MEMORY).saturating_sub(since_memory(now));
        (!left.is_zero()).then_some(left)
    }

    /// Takes that an upstream crashed that ran a request; returns whether the request is held back from now on.
    pub fn crashed(&mut self, request: Fingerprint, upstream: StartTag, now: Monotonic) -> bool {
        let now = since_memory(now);
        self.take(request, Crash { upstream, at: now }, now)
    }

    /// Takes that a request was answered.
    pub fn answered(&mut self, request: Fingerprint, now: Monotonic) {
        let now = since_memory(now);
        self.clear(request, now, now);
    }

    /// Takes what another gateway tells; returns the requests that are held back from now on.
    pub fn hear(&mut self, marks: &[Mark], now: Monotonic) -> Vec<Fingerprint> {
        let now = since_memory(now);
        let mut held = Vec::new();
        for mark in marks {
            let at = now.saturating_sub(Duration::from_millis(mark.age_ms.into()));
            match mark.end {
                End::Answered => self.clear(mark.request, at, now),
                End::Crashed(upstream) => {
                    if self.take(mark.request, Crash { upstream, at }, now) {
                        held.push(mark.request);
                    }
                }
            }
        }
        held
    }

    /// Returns what to tell another gateway: of requests that are held back always, of others while they are news.
    #[must_use]
    pub fn marks(&self, now: Monotonic) -> Vec<Mark> {
        let now = since_memory(now);
        let is_told = |case: &Case| case.is_held() || now.saturating_sub(case.heard) < TOLD;
        let told = self.cases.iter().filter(|(_, case)| is_told(case));
        let mut told: Vec<_> = told.collect();
        told.sort_by_key(|(_, case)| (!case.is_held(), now.saturating_sub(case.heard)));
        let marks = told
            .into_iter()
            .flat_map(|(request, case)| case.marks(*request, now));
        marks.take(MOST_MARKS).collect()
    }

    fn take(&mut self, request: Fingerprint, crash: Crash, now: Moment) -> bool {
        self.forget(now);
        let is_old = now.saturating_sub(crash.at) >= MEMORY;
        let is_new = !self.cases.contains_key(&request);
        if is_old || (is_new && self.cases.len() >= MOST_CASES) {
            return false;
        }
        let case = self.cases.entry(request).or_insert_with(|| Case {
            crashes: Vec::new(),
            answered: None,
            heard: now,
        });
        let was_held = case.is_held();
        if case.crashed(crash) {
            case.heard = now;
        }
        case.is_held() && !was_held
    }

    fn clear(&mut self, request: Fingerprint, at: Moment, now: Moment) {
        if let Some(case) = self.cases.get_mut(&request)
            && case.answered(at)
        {
            case.heard = now;
        }
    }

    fn forget(&mut self, now: Moment) {
        self.cases
            .retain(|_, case| now.saturating_sub(case.newest()) < MEMORY);
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
