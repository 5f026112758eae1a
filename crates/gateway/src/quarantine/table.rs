//! All parts that were there at recent crashes, with what is known of each and what is held.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use auburnline_core::time::Monotonic;

use crate::prompt::Part;
use crate::quarantine::MAX_AGE;
use crate::quarantine::StartTag;
use crate::quarantine::Timestamp;
use crate::quarantine::evidence::Crash;
use crate::quarantine::evidence::Record;
use crate::quarantine::history::History;
use crate::quarantine::part::Attempt;
use crate::quarantine::part::Ground;
use crate::quarantine::part::Grounds;
use crate::quarantine::part::MAX_MARKS;
use crate::quarantine::part::Mark;
use crate::quarantine::part::Outcome;
use crate::quarantine::timestamp;
use crate::quarantine::verdict;
use crate::quarantine::verdict::Hold;

/// Time for which a part is gossiped after its last news: enough heartbeats to reach every gateway of a fleet of a thousand.
const GOSSIP_TIME: Duration = Duration::from_secs(4);
/// Longest time from the end of an attempt until a probe of its upstream has ended: its delay, its timeout and some more.
const MAX_PROBE_TIME: Timestamp = Timestamp::from_millis(600);
/// Maximum number of parts tracked: those that were there when all groups of a large fleet crashed at once.
const MAX_RECORDS: usize = 2_048;
/// Maximum number of marks in one message that repeat what is held.
const MAX_HELD_MARKS: usize = MAX_MARKS / 2;
/// Time between two requests that are let through to try a part again.
const TRIAL_INTERVAL: Duration = Duration::from_secs(30);
/// Number of requests that a gateway refuses before it lets one through while a verdict is ambiguous. Parts that many requests
/// have are so tried first.
const REFUSALS_PER_TRIAL: u32 = 2;

/// Parts that were there at recent crashes.
#[derive(Clone, Debug, Default)]
pub(super) struct Table {
    records: BTreeMap<Part, Record>,
    history: History,
    holds: Vec<Hold>,
}

impl Table {
    pub(super) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    pub(super) fn holds(&self) -> &[Hold] {
        &self.holds
    }

    /// Returns how many crashes are known of a part that no answer has cleared.
    pub(super) fn known_crashes(&self, part: Part) -> usize {
        let record = self.records.get(&part);
        record.map_or(0, |record| record.crashes.len())
    }

    /// Records that an upstream crashed under an attempt, except for parts that had a whole answer since that ended; returns
    /// whether that is news.
    pub(super) fn crashed(&mut self, attempt: &Attempt<'_>, now: Monotonic) -> bool {
        let (ended, now) = (timestamp(attempt.ended()), timestamp(now));
        let crash = attempt.crash(self.crash_time(ended, now));
        let is_news = attempt.parts().map(|part| {
            let is_cleared = self.history.last(part).is_some_and(|at| at > ended);
            !is_cleared && self.record_crash(part, crash, now)
        });
        is_news.fold(false, |any, one| any | one)
    }

    /// Returns when an upstream crashed that was found to be down at `now`, under an attempt that ended there at `ended`. If
    /// another crash is known in between, a common cause is assumed.
    fn crash_time(&self, ended: Timestamp, now: Timestamp) -> Timestamp {
        if ended == now || now.saturating_sub(ended) > MAX_PROBE_TIME {
            return now;
        }
        let crashes = self.records.values().flat_map(|record| &record.crashes);
        let between = crashes
            .map(|crash| crash.at)
            .filter(|at| (ended..=now).contains(at));
        between.max().unwrap_or(now)
    }

    /// Records that a request with these shared parts and this last one had its whole answer; returns whether that is news. Last
    /// parts are as many as requests, so those that were at no crash are not remembered.
    pub(super) fn answered(&mut self, shared: &[Part], last: Option<Part>, now: Monotonic) -> bool {
        let now = timestamp(now);
        for part in shared {
            self.history.record(*part, now);
        }
        let parts = shared.iter().copied().chain(last);
        let is_news = parts
            .map(|part| self.records.contains_key(&part) && self.record_answer(part, now, now));
        is_news.fold(false, |any, one| any | one)
    }

    /// Merges the marks of another gateway; returns whether any is news.
    pub(super) fn merge(&mut self, marks: &[Mark], now: Monotonic) -> bool {
        let now = timestamp(now);
        self.repeat_answers(marks, now);
        let is_news = marks.iter().map(|mark| {
            let at = now.saturating_sub(Duration::from_millis(mark.age_ms.into()));
            match mark.outcome {
                Outcome::Crashed {
                    upstream,
                    stage,
                    prompts,
                } => {
                    let crash = Crash {
                        upstream,
                        at,
                        stage,
                        prompts,
                    };
                    self.record_crash(mark.part, crash, now)
                }
                Outcome::Answered => self.record_answer(mark.part, at, now),
                Outcome::Survived => false,
            }
        });
        is_news.fold(false, |any, one| any | one)
    }

    /// Makes those parts news again that had a whole answer which the sender of `marks` does not know of.
    fn repeat_answers(&mut self, marks: &[Mark], now: Timestamp) {
        let is_answer = |mark: &&Mark| mark.outcome == Outcome::Answered;
        let answered = marks.iter().filter(is_answer).map(|mark| mark.part);
        let answered: BTreeSet<Part> = answered.collect();
        for mark in marks.iter().filter(|mark| !answered.contains(&mark.part)) {
            let record = self.records.get_mut(&mark.part);
            if let Some(record) = record.filter(|record| !record.is_unknown()) {
                record.changed = now;
            }
        }
    }

    /// Drops what is out of date; returns whether there was any.
    pub(super) fn expire(&mut self, now: Monotonic) -> bool {
        let now = timestamp(now);
        let before = self.records.len();
        self.records.retain(|_, record| record.is_current(now));
        self.records.len() < before
    }

    /// Reaches the verdict anew; returns the sets of parts that are held from now on.
    pub(super) fn judge(
        &mut self,
        is_one_request: impl Fn(&BTreeSet<StartTag>) -> bool,
    ) -> Vec<Vec<Part>> {
        let holds = verdict::judge(&self.records, is_one_request);
        let before = std::mem::replace(&mut self.holds, holds);
        let was_held = |parts: &Vec<Part>| before.iter().any(|hold| hold.parts == *parts);
        let held = self.holds.iter().map(|hold| &hold.parts);
        held.filter(|parts| !was_held(parts)).cloned().collect()
    }

    /// Returns why a request with these parts is held; `None` if it is not.
    pub(super) fn held(&self, parts: &[Part], now: Monotonic) -> Option<Grounds> {
        let now = timestamp(now);
        let hold = self.hits(parts).next()?;
        let record = self.records.get(hold.parts.first()?)?;
        let silent = now.saturating_sub(record.last_crash()?);
        if !record.is_current(now) {
            return None;
        }
        let crashes = record.crashes.iter();
        let crashes = crashes.filter(|crash| hold.crashes.contains(&crash.upstream));
        let crashes = crashes.map(|crash| Ground {
            upstream: crash.upstream,
            age: now.saturating_sub(crash.at),
            stage: crash.stage,
        });
        Some(Grounds {
            parts: hold.parts.clone(),
            crashes: crashes.collect(),
            left: record
                .hold_time()
                .saturating_sub(silent)
                .max(TRIAL_INTERVAL),
        })
    }

    /// Returns whether a request with these parts, which are held, is let through to try them again. While the verdict is
    /// ambiguous, that is one of several requests with the parts that most requests have. Otherwise only the home of the parts
    /// tries them, some time after the last crash. A request that is held for several reasons would tell nothing.
    pub(super) fn take_trial(
        &mut self,
        parts: &[Part],
        now: Monotonic,
        is_home: impl Fn(&[Part]) -> bool,
    ) -> bool {
        let now = timestamp(now);
        let hits: Vec<Hold> = self.hits(parts).cloned().collect();
        let [hold] = &hits[..] else {
            return false;
        };
        let most_refused = self.most_refused(hold);
        let first = hold.parts.first();
        let Some(record) = first.and_then(|first| self.records.get_mut(first)) else {
            return false;
        };
        record.refused += 1;
        let is_recent = |at: Timestamp, time| now.saturating_sub(at) < time;
        let hold_time = record.hold_time();
        let is_early = record
            .last_crash()
            .is_some_and(|at| is_recent(at, hold_time));
        let is_tried = record.tried.is_some_and(|at| is_recent(at, TRIAL_INTERVAL));
        let is_due = !is_early && !is_tried && is_home(&hold.parts);
        let is_telling = hold.is_ambiguous && record.refused > REFUSALS_PER_TRIAL.max(most_refused);
        let is_let_through = is_due || is_telling;
        if is_let_through {
            record.tried = Some(now);
            record.refused = 0;
        }
        is_let_through
    }

    /// Returns how many requests were refused for any other parts that explain the same crashes.
    fn most_refused(&self, hold: &Hold) -> u32 {
        let rivals = self.holds.iter().filter(|other| {
            let has_same_crashes = other.crashes == hold.crashes;
            has_same_crashes && other.parts != hold.parts
        });
        let records = rivals.filter_map(|rival| self.records.get(rival.parts.first()?));
        records.map(|record| record.refused).max().unwrap_or(0)
    }

    /// Returns all that holds a request with these parts.
    fn hits(&self, parts: &[Part]) -> impl Iterator<Item = &Hold> {
        let is_hit = |hold: &&Hold| hold.parts.iter().all(|part| parts.contains(part));
        self.holds.iter().filter(is_hit)
    }

    /// Returns the marks to send to another gateway: what is held always, the rest for a time after its last news. What was
    /// sent longest ago goes first.
    pub(super) fn marks(&mut self, now: Monotonic) -> Vec<Mark> {
        let now = timestamp(now);
        let is_held = |part: &Part| self.holds.iter().any(|hold| hold.parts.contains(part));
        let is_news = |record: &Record| now.saturating_sub(record.changed) < GOSSIP_TIME;
        let records = self.records.iter_mut();
        let (mut held, mut news): (Vec<_>, Vec<_>) = records
            .filter(|(part, record)| is_held(part) || is_news(record))
            .partition(|(part, _)| is_held(part));
        held.sort_by_key(|(_, record)| record.sent);
        news.sort_by_key(|(_, record)| (record.crashes.len() < 2, record.sent));
        let mut marks = Vec::new();
        for (records, most) in [(held, MAX_HELD_MARKS), (news, MAX_MARKS)] {
            for (part, record) in records {
                if marks.len() >= most {
                    break;
                }
                record.sent = now;
                marks.extend(record.marks(*part, now));
            }
        }
        marks.truncate(MAX_MARKS);
        marks
    }

    fn record_crash(&mut self, part: Part, crash: Crash, now: Timestamp) -> bool {
        if now.saturating_sub(crash.at) >= MAX_AGE {
            return false;
        }
        let record = self.record(part);
        let is_news = record.add_crash(crash);
        // Who tells of a crash that is cleared here has not heard of the answer.
        if is_news || record.is_cleared(&crash) {
            record.changed = now;
        }
        is_news
    }

    fn record_answer(&mut self, part: Part, at: Timestamp, now: Timestamp) -> bool {
        if now.saturating_sub(at) >= MAX_AGE {
            return false;
        }
        let record = self.record(part);
        let is_news = record.add_answer(at);
        if is_news {
            record.changed = now;
        }
        is_news
    }

    /// Returns the record of a part, which begins with what was known of it before.
    fn record(&mut self, part: Part) -> &mut Record {
        if !self.records.contains_key(&part) {
            self.make_room();
        }
        let known = self.history.last(part);
        self.records.entry(part).or_insert_with(|| {
            let mut record = Record::default();
            if let Some(at) = known {
                record.add_answer(at);
            }
            record
        })
    }

    /// Drops the least suspicious records until there is room for another.
    fn make_room(&mut self) {
        while self.records.len() >= MAX_RECORDS {
            let records = self.records.iter();
            let least = records.min_by_key(|(_, record)| (record.crashes.len(), record.changed));
            let Some(least) = least.map(|(part, _)| *part) else {
                return;
            };
            self.records.remove(&least);
        }
    }
}
