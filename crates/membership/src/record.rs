//! What a view knows about one instance.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use auburnline_core::id::Incarnation;
use auburnline_core::id::InstanceId;
use auburnline_core::time::Monotonic;

use crate::heartbeat;
use crate::list::Listed;
use crate::mark::Cause;
use crate::mark::Rumour;

/// Maximum number of incarnations of one instance that a record keeps.
const MAX_INCARNATIONS: usize = 8;
/// Maximum number of entries whose suspicion of one instance a record keeps.
const MAX_REPORTERS: usize = 4;
/// Time after which a suspicion expires.
pub(crate) const SUSPICION_TTL: Duration = Duration::from_secs(10);
/// Number of entries whose suspicions together override the list.
pub(crate) const SUSPICION_QUORUM: usize = 2;

/// Open session of this process to an instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Session {
    pub(crate) heard: Monotonic,
    pub(crate) silent_at: Monotonic,
}

/// State of one instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    pub(crate) session: Option<Session>,
    pub(crate) listed: Listed,
    pub(crate) attempts: u32,
    pub(crate) reopen_at: Monotonic,
    incarnation: Option<Incarnation>,
    retired: VecDeque<Incarnation>,
    /// Leaving marks of incarnations, the oldest first.
    leaving: Vec<(Incarnation, Cause)>,
    /// Version of the list that marked the instance.
    list_mark: Option<u64>,
    preset: Option<Cause>,
    suspicions: BTreeMap<InstanceId, Monotonic>,
}

impl Record {
    pub(crate) fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Returns the source of the leaving mark that applies to the current incarnation.
    pub(crate) fn leaving(&self) -> Option<Cause> {
        if self.preset.is_some() {
            return self.preset;
        }
        if self.list_mark.is_some() {
            return Some(Cause::List);
        }
        match self.incarnation {
            Some(incarnation) => self.mark_of(incarnation),
            // The current incarnation is unknown, so any leaving mark is the newest information.
            None => self.leaving.last().map(|(_, cause)| *cause),
        }
    }

    fn mark_of(&self, incarnation: Incarnation) -> Option<Cause> {
        let mut marks = self.leaving.iter();
        let mark = marks.find(|(known, _)| *known == incarnation);
        mark.map(|(_, cause)| *cause)
    }

    /// Marks an incarnation as leaving; returns whether the mark is new.
    pub(crate) fn mark(&mut self, incarnation: Incarnation, cause: Cause) -> bool {
        if self.retired.contains(&incarnation) || self.mark_of(incarnation).is_some() {
            return false;
        }
        if self.leaving.len() == MAX_INCARNATIONS {
            let current = self.incarnation;
            let mut marks = self.leaving.iter();
            let oldest = marks.position(|(known, _)| Some(*known) != current);
            oldest.map(|oldest| self.leaving.remove(oldest));
        }
        self.leaving.push((incarnation, cause));
        true
    }

    /// Applies the state in a newer list; returns whether it added a mark.
    ///
    /// Only a change to leaving adds one: a list that keeps the state may lag behind a restart.
    pub(crate) fn list(&mut self, listed: Listed, version: u64) -> bool {
        let before = std::mem::replace(&mut self.listed, listed);
        match (before, listed) {
            (Listed::Leaving, Listed::Leaving) | (_, Listed::Absent) => false,
            (_, Listed::Leaving) => self.mark_by_list(version),
            (_, Listed::Live) => {
                self.list_mark.take_if(|marked| *marked < version);
                false
            }
        }
    }

    /// Applies a mark of the list's `version`; returns whether the instance had no list mark.
    pub(crate) fn mark_by_list(&mut self, version: u64) -> bool {
        if self.list_mark.is_some_and(|marked| marked >= version) {
            return false;
        }
        self.list_mark.replace(version).is_none()
    }

    /// Sets or clears the mark by the preset in force; returns whether it was added.
    pub(crate) fn preset(&mut self, cause: Option<Cause>) -> bool {
        let is_new = self.preset.is_none() && cause.is_some();
        self.preset = cause;
        is_new
    }

    /// Sets the incarnation that the instance itself sent; returns whether it replaced another.
    pub(crate) fn confirm_incarnation(&mut self, incarnation: Incarnation) -> bool {
        let before = self.incarnation.replace(incarnation);
        self.retired.retain(|&retired| retired != incarnation);
        let Some(before) = before.filter(|&before| before != incarnation) else {
            return false;
        };
        self.retire(before);
        self.list_mark = None;
        self.invariant_not_retired();
        true
    }

    /// Applies gossip that `incarnation` replaced `retired`; returns whether it was new.
    pub(crate) fn replaced(&mut self, incarnation: Incarnation, retired: &[Incarnation]) -> bool {
        if self.retired.contains(&incarnation) {
            return false;
        }
        let is_known = self.incarnation == Some(incarnation);
        let contradicts_session = self.session.is_some() && !is_known;
        let is_outdated = self
            .incarnation
            .is_none_or(|current| retired.contains(&current));
        if contradicts_session || !(is_outdated || is_known) {
            return false;
        }
        let mut is_new = !is_known;
        if self.incarnation.replace(incarnation).is_some() && !is_known {
            self.list_mark = None;
        }
        for &old in retired.iter().filter(|&&old| old != incarnation) {
            is_new |= self.retire(old);
        }
        self.invariant_not_retired();
        is_new
    }

    /// Asserts that the current incarnation is not one that was replaced.
    fn invariant_not_retired(&self) {
        let is_retired = |incarnation| self.retired.contains(&incarnation);
        assert!(
            !self.incarnation.is_some_and(is_retired),
            "a replaced incarnation came back"
        );
    }

    fn retire(&mut self, incarnation: Incarnation) -> bool {
        self.leaving.retain(|(known, _)| *known != incarnation);
        if self.retired.contains(&incarnation) {
            return false;
        }
        if self.retired.len() == MAX_INCARNATIONS {
            self.retired.pop_front();
        }
        self.retired.push_back(incarnation);
        true
    }

    /// Records a message over the session, which announced the next one in `next`.
    pub(crate) fn heard(&mut self, next: Duration, now: Monotonic) {
        self.suspicions.clear();
        self.attempts = 0;
        self.session = Some(Session {
            heard: now,
            silent_at: heartbeat::silent_at(now, next),
        });
    }

    /// Adds or renews another entry's suspicion; returns whether it was added.
    pub(crate) fn suspect(
        &mut self,
        reporter: InstanceId,
        incarnation: Incarnation,
        now: Monotonic,
    ) -> bool {
        let is_other = self.incarnation.is_some_and(|known| known != incarnation);
        if is_other || self.session.is_some() {
            return false;
        }
        let is_full = self.suspicions.len() == MAX_REPORTERS;
        if is_full && !self.suspicions.contains_key(&reporter) {
            return false;
        }
        self.suspicions
            .insert(reporter, now + SUSPICION_TTL)
            .is_none()
    }

    /// Returns whether a quorum of entries suspects the instance.
    pub(crate) fn is_suspect(&self, now: Monotonic) -> bool {
        let mut fresh = BTreeSet::new();
        for (reporter, &until) in &self.suspicions {
            if until > now {
                fresh.insert(reporter);
            }
        }
        fresh.len() >= SUSPICION_QUORUM
    }

    /// Returns the marks and replacements of this instance, to send to another entry.
    pub(crate) fn rumours(&self, instance: &InstanceId) -> Vec<Rumour> {
        let leaving = self.leaving.iter().map(|(incarnation, _)| Rumour::Leaving {
            instance: instance.clone(),
            incarnation: *incarnation,
        });
        let mut rumours: Vec<Rumour> = leaving.collect();
        rumours.extend(self.list_mark.map(|version| Rumour::Listed {
            instance: instance.clone(),
            version,
        }));
        if let Some(incarnation) = self.incarnation.filter(|_| !self.retired.is_empty()) {
            rumours.push(Rumour::Replaced {
                instance: instance.clone(),
                incarnation,
                retired: self.retired.iter().copied().collect(),
            });
        }
        rumours
    }
}
