//! Quarantine of requests, and of parts of prompts, that crash the upstreams that run them.
//!
//! A request may crash every upstream that starts to run it. Its caller only sees a broken
//! connection and retries, through any gateway. Each run takes a group of ranks out of service for
//! some seconds, so a few retries stop a whole service. Gateways therefore tell each other of
//! crashes. A request that was running at [`CRASH_LIMIT`] successive crashes is held back by all
//! gateways until nothing has been heard of it for [`RETENTION`].
//!
//! The other requests that run at a crash are not its cause, and mostly their next upstream answers
//! them: an answer clears a request. A restarted upstream counts as a different one, so that each
//! crash counts once, whichever gateways report it. The same holds for requests that differ but share a part of their prompts
//! ([`part`]). A crash that a part explains does not count against the requests that were there.

mod evidence;
mod history;
pub mod part;
mod table;
mod verdict;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use auburnline_core::hash::stable;
use auburnline_core::time::Monotonic;
use serde::Deserialize;
use serde::Serialize;

use crate::prompt::Part;
use crate::quarantine::part::Grounds;
use crate::quarantine::table::Table;
use crate::upstream::Upstream;

/// Hash that identifies a request; all attempts of the caller have the same one.
pub type Fingerprint = u64;

/// Number of crashes at which a request is held back. Each takes a group out of service for
/// seconds, and gateways that have lost their state need the same number again.
pub const CRASH_LIMIT: usize = 2;
/// Time for which a crash is remembered.
pub const RETENTION: Duration = Duration::from_mins(5);
/// Age from which on reports of other gateways are ignored: longer than anything is remembered.
const MAX_AGE: Duration = Duration::from_hours(2);
/// Time for which a request is gossiped after its last news: enough heartbeats to reach every
/// gateway of a fleet of hundreds.
const GOSSIP_TIME: Duration = Duration::from_secs(4);
/// Maximum number of requests tracked: those that were running when some groups crashed at once.
const MAX_RECORDS: usize = 2_048;
/// Maximum number of crashes remembered for one request.
const MAX_CRASHES: usize = 4;
/// Maximum number of marks in one message, so that it fits into one packet.
pub const MAX_MARKS: usize = 48;

/// Returns the fingerprint of the request with this method, path, key and body.
#[must_use]
pub fn fingerprint(method: &str, path: &str, key: Option<&str>, body: &[u8]) -> Fingerprint {
    let parts = [method.as_bytes(), path.as_bytes()];
    let parts = parts
        .into_iter()
        .chain([key.unwrap_or_default().as_bytes(), body]);
    parts.fold(0, stable)
}

/// Hash that identifies one start of an upstream; all gateways compute the same one.
pub type StartTag = u64;

/// Returns the tag of an upstream's present start.
#[must_use]
pub fn start_tag(upstream: &Upstream) -> StartTag {
    stable(upstream.born.unwrap_or(0), upstream.id.as_bytes())
}

/// How a run of a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// This start of an upstream crashed while the request was running there.
    Crashed(StartTag),
    /// The request was answered.
    Answered,
}

/// Report of one run of a request, as gateways exchange it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// How the run ended.
    pub outcome: Outcome,
    /// Time since then, in milliseconds.
    pub age_ms: u32,
}

/// Crash of an upstream that was running the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Crash {
    upstream: StartTag,
    at: Timestamp,
}

/// Crashes and last answer known of one request.
#[derive(Clone, Debug)]
struct Record {
    /// Crashes since the last answer.
    crashes: Vec<Crash>,
    answered: Option<Timestamp>,
    /// When the record last changed.
    changed: Timestamp,
}

impl Record {
    /// Records a crash; returns `false` if it is known, was followed by an answer or is one too
    /// many.
    fn add_crash(&mut self, crash: Crash) -> bool {
        let is_cleared = self.answered.is_some_and(|at| crash.at <= at);
        let is_known = |known: &Crash| known.upstream == crash.upstream;
        if is_cleared || self.crashes.len() >= MAX_CRASHES || self.crashes.iter().any(is_known) {
            return false;
        }
        self.crashes.push(crash);
        true
    }

    /// Records an answer; returns whether it cleared a crash.
    fn add_answer(&mut self, at: Timestamp) -> bool {
        let before = self.crashes.len();
        self.crashes.retain(|crash| crash.at > at);
        self.answered = self.answered.max(Some(at));
        self.crashes.len() < before
    }

    fn is_held(&self) -> bool {
        self.crashes.len() >= CRASH_LIMIT
    }

    /// Returns whether the request was running at all of these crashes.
    fn was_at(&self, crashes: &BTreeSet<StartTag>) -> bool {
        let was_at = |upstream| self.crashes.iter().any(|crash| crash.upstream == upstream);
        crashes.iter().copied().all(was_at)
    }

    /// Returns whether the request is held by crashes that no part explains.
    fn is_held_beside(&self, parts: &Table) -> bool {
        let is_explained = |crash: &Crash| {
            let mut holds = parts.holds().iter();
            holds.any(|hold| hold.crashes.contains(&crash.upstream))
        };
        let left = self.crashes.iter().filter(|crash| !is_explained(crash));
        left.count() >= CRASH_LIMIT
    }

    fn last_event(&self) -> Timestamp {
        let crashes = self.crashes.iter().map(|crash| crash.at);
        crashes.chain(self.answered).max().unwrap_or_default()
    }

    fn marks(&self, request: Fingerprint, now: Timestamp) -> impl Iterator<Item = Mark> {
        let crashes = self.crashes.iter();
        let crashes = crashes.map(|crash| (Outcome::Crashed(crash.upstream), crash.at));
        let answered = self.answered.map(|at| (Outcome::Answered, at));
        answered
            .into_iter()
            .chain(crashes)
            .map(move |(outcome, at)| Mark {
                request,
                outcome,
                age_ms: millis(now.saturating_sub(at)),
            })
    }
}

/// Time since [`MAX_AGE`] before the start of the process: a crash that another gateway reports
/// may have happened before this one started.
type Timestamp = Duration;

fn timestamp(now: Monotonic) -> Timestamp {
    now + MAX_AGE
}

/// All requests, and all parts of prompts, that were running at a recent crash.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: BTreeMap<Fingerprint, Record>,
    parts: Table,
    /// Whether there is news since the last verdict on parts.
    has_news: bool,
}

impl Quarantine {
    /// Returns whether nothing is tracked, so that lookups can be skipped.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.parts.is_empty()
    }

    /// Returns for how much longer a request is held back; `None` if it is not.
    #[must_use]
    pub fn held_for(&self, request: Fingerprint, now: Monotonic) -> Option<Duration> {
        let record = self
            .records
            .get(&request)
            .filter(|record| record.is_held_beside(&self.parts))?;
        let left = (record.last_event() + RETENTION).saturating_sub(timestamp(now));
        (!left.is_zero()).then_some(left)
    }

    /// Records that an upstream crashed while it was running a request; returns whether that puts
    /// the request into quarantine.
    pub fn crashed(&mut self, request: Fingerprint, upstream: StartTag, now: Monotonic) -> bool {
        let at = timestamp(now);
        let is_held = self.record_crash(request, Crash { upstream, at }, at);
        self.judge();
        is_held
    }

    /// Records that a request was answered.
    pub fn answered(&mut self, request: Fingerprint, now: Monotonic) {
        let now = timestamp(now);
        self.clear(request, now, now);
    }

    /// Returns why a request with these shared parts is held; `None` if it is not.
    #[must_use]
    pub fn parts_held(&self, parts: &[Part], now: Monotonic) -> Option<Grounds> {
        self.parts.held(parts, now)
    }

    /// Returns whether a request with these shared parts, which are held, is let through to try them again. `is_home` tells
    /// whether this gateway is the one that tries these parts.
    pub fn take_trial(
        &mut self,
        parts: &[Part],
        now: Monotonic,
        is_home: impl Fn(&[Part]) -> bool,
    ) -> bool {
        self.parts.take_trial(parts, now, is_home)
    }

    /// Records that an upstream crashed under an attempt; returns the sets of parts that this puts into quarantine.
    pub fn parts_crashed(&mut self, attempt: &part::Attempt<'_>, now: Monotonic) -> Vec<Vec<Part>> {
        self.has_news |= self.parts.crashed(attempt, now);
        self.judge()
    }

    /// Records that a request with these shared parts and this last one had its whole answer.
    pub fn parts_answered(&mut self, shared: &[Part], last: Option<Part>, now: Monotonic) {
        self.has_news |= self.parts.answered(shared, last, now);
        self.judge();
    }

    /// Merges the marks on parts of another gateway; returns the sets of parts that these put into quarantine.
    pub fn merge_parts(&mut self, marks: &[part::Mark], now: Monotonic) -> Vec<Vec<Part>> {
        self.has_news |= self.parts.merge(marks, now);
        self.judge()
    }

    /// Returns the marks on parts to send to another gateway.
    pub fn part_marks(&mut self, now: Monotonic) -> Vec<part::Mark> {
        self.has_news |= self.parts.expire(now);
        self.judge();
        self.parts.marks(now)
    }

    /// Returns how many crashes are known of each of these parts that no answer has cleared.
    #[must_use]
    pub fn known_crashes(&self, parts: &[Part]) -> Vec<usize> {
        let counts = parts.iter().map(|part| self.parts.known_crashes(*part));
        counts.collect()
    }

    /// Returns the number of parts in quarantine.
    #[must_use]
    pub fn held_parts(&self) -> usize {
        self.parts.holds().iter().map(|hold| hold.parts.len()).sum()
    }

    /// Reaches the verdict on parts anew after news; returns the sets that are held from now on.
    fn judge(&mut self) -> Vec<Vec<Part>> {
        if !std::mem::take(&mut self.has_news) {
            return Vec::new();
        }
        let records = &self.records;
        let is_one_request = |crashes: &BTreeSet<StartTag>| {
            let mut records = records.values();
            records.any(|record| record.was_at(crashes))
        };
        self.parts.judge(is_one_request)
    }

    /// Merges the marks of another gateway; returns the requests that these put into quarantine.
    pub fn merge(&mut self, marks: &[Mark], now: Monotonic) -> Vec<Fingerprint> {
        let now = timestamp(now);
        let mut held = Vec::new();
        for mark in marks {
            let at = now.saturating_sub(Duration::from_millis(mark.age_ms.into()));
            match mark.outcome {
                Outcome::Answered => self.clear(mark.request, at, now),
                Outcome::Crashed(upstream) => {
                    if self.record_crash(mark.request, Crash { upstream, at }, now) {
                        held.push(mark.request);
                    }
                }
            }
        }
        self.judge();
        held
    }

    /// Returns the marks to send to another gateway: requests in quarantine first and always,
    /// others only for a time after their last news.
    #[must_use]
    pub fn marks(&self, now: Monotonic) -> Vec<Mark> {
        let now = timestamp(now);
        let is_gossiped =
            |record: &Record| record.is_held() || now.saturating_sub(record.changed) < GOSSIP_TIME;
        let gossiped = self
            .records
            .iter()
            .filter(|(_, record)| is_gossiped(record));
        let mut gossiped: Vec<_> = gossiped.collect();
        gossiped.sort_by_key(|(_, record)| (!record.is_held(), now.saturating_sub(record.changed)));
        let marks = gossiped
            .into_iter()
            .flat_map(|(request, record)| record.marks(*request, now));
        marks.take(MAX_MARKS).collect()
    }

    fn record_crash(&mut self, request: Fingerprint, crash: Crash, now: Timestamp) -> bool {
        self.expire(now);
        let is_old = now.saturating_sub(crash.at) >= RETENTION;
        let is_new = !self.records.contains_key(&request);
        if is_old || (is_new && self.records.len() >= MAX_RECORDS) {
            return false;
        }
        let record = self.records.entry(request).or_insert_with(|| Record {
            crashes: Vec::new(),
            answered: None,
            changed: now,
        });
        let was_held = record.is_held();
        if record.add_crash(crash) {
            record.changed = now;
            self.has_news = true;
        }
        record.is_held() && !was_held
    }

    fn clear(&mut self, request: Fingerprint, at: Timestamp, now: Timestamp) {
        if let Some(record) = self.records.get_mut(&request)
            && record.add_answer(at)
        {
            record.changed = now;
        }
    }

    fn expire(&mut self, now: Timestamp) {
        self.records
            .retain(|_, record| now.saturating_sub(record.last_event()) < RETENTION);
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
