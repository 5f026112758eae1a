//! What is known of one instance.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use auburnline_core::id::Incarnation;
use auburnline_core::id::InstanceId;
use auburnline_core::time::Monotonic;

use crate::beat;
use crate::list::Listed;
use crate::mark::Cause;
use crate::mark::Rumour;

/// Incarnations of one instance that are kept in mind.
const MAX_INCARNATIONS: usize = 8;
/// Entries whose suspicion of one instance is kept in mind.
const MAX_REPORTERS: usize = 4;
/// Time that a suspicion counts.
pub(crate) const SUSPICION_TTL: Duration = Duration::from_secs(10);
/// Entries whose word together outweighs the list.
pub(crate) const SUSPICION_QUORUM: usize = 2;

/// Session of this process to an instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Session {
    pub(crate) heard: Monotonic,
    pub(crate) silent_at: Monotonic,
}

/// One instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    pub(crate) session: Option<Session>,
    pub(crate) listed: Listed,
    pub(crate) attempts: u32,
    pub(crate) reopen_at: Monotonic,
    incarnation: Option<Incarnation>,
    retired: VecDeque<Incarnation>,
    leaving: BTreeMap<Incarnation, Cause>,
    /// Version of the list that marked the instance.
    list_mark: Option<u64>,
    preset: Option<Cause>,
    suspicions: BTreeMap<InstanceId, Monotonic>,
}

impl Record {
    pub(crate) fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Returns who says that the instance leaves, as it is now.
    pub(crate) fn leaving(&self) -> Option<Cause> {
        if self.preset.is_some() {
            return self.preset;
        }
        if self.list_mark.is_some() {
            return Some(Cause::List);
        }
        match self.incarnation {
            Some(incarnation) => self.leaving.get(&incarnation).copied(),
            // Without a word from the instance, the newest thing known is that it left.
            None => self.leaving.values().next().copied(),
        }
    }

    /// Marks an incarnation as leaving; returns whether this is news.
    pub(crate) fn mark(&mut self, incarnation: Incarnation, cause: Cause) -> bool {
        if self.retired.contains(&incarnation) || self.leaving.contains_key(&incarnation) {
            return false;
        }
        if self.leaving.len() == MAX_INCARNATIONS {
            let current = self.incarnation;
            let oldest = self.leaving.keys().find(|&&known| Some(known) != current);
            if let Some(oldest) = oldest.copied() {
                self.leaving.remove(&oldest);
            }
        }
        self.leaving.insert(incarnation, cause);
        true
    }

    /// Takes what a newer list says; returns whether a mark is new.
    ///
    /// Only the step to leaving marks: a list that goes on saying so may lag behind a replacement.
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

    /// Takes a mark of the list's `version`; returns whether it is new.
    pub(crate) fn mark_by_list(&mut self, version: u64) -> bool {
        if self.list_mark.is_some_and(|marked| marked >= version) {
            return false;
        }
        self.list_mark.replace(version).is_none()
    }

    /// Takes whether the preset in force drains the instance; returns whether a mark is new.
    pub(crate) fn preset(&mut self, cause: Option<Cause>) -> bool {
        let is_new = self.preset.is_none() && cause.is_some();
        self.preset = cause;
        is_new
    }

    /// Takes the incarnation that the instance itself gave; returns whether it replaced another.
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

    /// Takes another entry's word that `incarnation` took the place of `retired`.
    pub(crate) fn replaced(&mut self, incarnation: Incarnation, retired: &[Incarnation]) -> bool {
        if self.retired.contains(&incarnation) {
            return false;
        }
        let is_known = self.incarnation == Some(incarnation);
        let is_wrong = self.session.is_some() && !is_known;
        let outdated = self
            .incarnation
            .is_none_or(|current| retired.contains(&current));
        if is_wrong || !(outdated || is_known) {
            return false;
        }
        let mut news = !is_known;
        if self.incarnation.replace(incarnation).is_some() && !is_known {
            self.list_mark = None;
        }
        for &old in retired.iter().filter(|&&old| old != incarnation) {
            news |= self.retire(old);
        }
        self.invariant_not_retired();
        news
    }

    /// Asserts that an incarnation which was replaced does not come back.
    fn invariant_not_retired(&self) {
        let is_retired = |incarnation| self.retired.contains(&incarnation);
        assert!(
            !self.incarnation.is_some_and(is_retired),
            "a replaced incarnation came back"
        );
    }

    fn retire(&mut self, incarnation: Incarnation) -> bool {
        self.leaving.remove(&incarnation);
        if self.retired.contains(&incarnation) {
            return false;
        }
        if self.retired.len() == MAX_INCARNATIONS {
            self.retired.pop_front();
        }
        self.retired.push_back(incarnation);
        true
    }

    /// Takes a word from the instance over its session.
    pub(crate) fn heard(&mut self, next: Duration, now: Monotonic) {
        self.suspicions.clear();
        self.attempts = 0;
        self.session = Some(Session {
            heard: now,
            silent_at: beat::silent_at(now, next),
        });
    }

    /// Takes another entry's suspicion; returns whether it is news.
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

    /// Returns whether enough entries suspect the instance.
    pub(crate) fn is_suspect(&self, now: Monotonic) -> bool {
        let mut fresh = BTreeSet::new();
        for (reporter, &until) in &self.suspicions {
            if until > now {
                fresh.insert(reporter);
            }
        }
        fresh.len() >= SUSPICION_QUORUM
    }

    /// Returns what another entry should know of this instance.
    pub(crate) fn rumours(&self, instance: &InstanceId) -> Vec<Rumour> {
        let leaving = self.leaving.keys().map(|&incarnation| Rumour::Leaving {
            instance: instance.clone(),
            incarnation,
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
