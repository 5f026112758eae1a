//! Slots of one pool that a request may have been sent to, across changes of the published list.
//!
//! A later attempt must query every slot that an earlier attempt may have reached, including slots
//! that have been removed from the list since. An entry records the removals that it has observed,
//! and a queried slot adds those that it has observed, so that an entry that has just started does
//! not miss any. If the two are at different revisions, the slot adds its whole list
//! ([`Candidates::unknown_to`]), because a slot that lags behind still lists a removed slot as
//! current.
//!
//! After a slot joins the list, it gets no first attempt of non-idempotent work that was first sent
//! less than [`SETTLING_TIME`] later, because a later attempt through an entry whose list lags
//! would not query it. An entry that was paused may handle such a request much later, so the check
//! includes the request's age.

use std::collections::BTreeMap;
use std::time::Duration;

use auburnline_core::id::InstanceId;
use auburnline_core::id::Revision;
use auburnline_core::time::Monotonic;

use crate::ledger::RETRY_WINDOW;

/// Greatest assumed delay between two processes in applying the same change of the list.
pub const MAX_LIST_LAG: Duration = Duration::from_secs(10);
/// Time after a slot joined during which it gets no first attempt of non-idempotent work.
pub const SETTLING_TIME: Duration = MAX_LIST_LAG;
/// Greatest number of removed slots that are remembered.
pub const MAX_RETIRED: usize = 1024;

/// Current and recently removed slots of a pool. `joined` is `None` for slots of the first list,
/// and `horizon` is the removal time of the latest slot evicted at [`MAX_RETIRED`].
#[derive(Clone, Debug, Default)]
pub struct Candidates {
    joined: BTreeMap<InstanceId, Option<Monotonic>>,
    retired: BTreeMap<InstanceId, Monotonic>,
    horizon: Option<Monotonic>,
    first_observed: Monotonic,
    revision: Option<Revision>,
}

impl Candidates {
    /// Returns an empty pool that has seen no list yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the list of admitting slots published at `revision`, unless a newer one was applied.
    pub fn observe(&mut self, now: Monotonic, revision: Revision, slots: &[InstanceId]) {
        if self.revision.is_some_and(|known| revision < known) {
            return;
        }
        if self.revision.is_none() {
            self.first_observed = now;
        }
        for name in self.missing_from(slots) {
            self.joined.remove(&name);
            self.retired.insert(name, now);
        }
        for name in slots {
            self.retired.remove(name);
            let joined = self.revision.map(|_| now);
            self.joined.entry(name.clone()).or_insert(joined);
        }
        self.revision = Some(revision);
        self.prune(now);
    }

    /// Returns the slots of the newest list, sorted by name.
    pub fn current(&self) -> impl Iterator<Item = &InstanceId> {
        self.joined.keys()
    }

    /// Returns the time since the first list was applied, zero before that.
    #[must_use]
    pub fn known_for(&self, now: Monotonic) -> Duration {
        let known = |_| now.saturating_sub(self.first_observed);
        self.revision.map_or(Duration::ZERO, known)
    }

    /// Returns whether `slot` may get a first attempt of non-idempotent work that was first sent
    /// `age` ago.
    #[must_use]
    pub fn allows_first_attempt(&self, now: Monotonic, age: Duration, slot: &InstanceId) -> bool {
        match self.joined.get(slot) {
            Some(Some(joined)) => now.saturating_sub(*joined) >= age + SETTLING_TIME,
            Some(None) => true,
            None => false,
        }
    }

    /// Returns every slot, sorted by name, that may have got a request first sent `age` ago.
    ///
    /// Returns `None` if one of them may have been evicted from the removed slots.
    #[must_use]
    pub fn reachable_slots(&self, now: Monotonic, age: Duration) -> Option<Vec<InstanceId>> {
        let since = now.saturating_sub(age + MAX_LIST_LAG);
        if self.horizon.is_some_and(|horizon| since <= horizon) {
            return None;
        }
        let mut reachable_slots: Vec<InstanceId> = self.joined.keys().cloned().collect();
        reachable_slots.extend(self.retired(now, age));
        reachable_slots.sort();
        Some(reachable_slots)
    }

    /// Returns the slots that a claim from an entry at revision `asker` may be missing.
    #[must_use]
    pub fn unknown_to(&self, now: Monotonic, asker: Revision) -> Vec<InstanceId> {
        let mut unknown = self.retired(now, RETRY_WINDOW);
        if self.revision != Some(asker) {
            unknown.extend(self.current().cloned());
        }
        unknown
    }

    /// Returns the slots removed since [`MAX_LIST_LAG`] before a request of `age` was first sent.
    #[must_use]
    pub fn retired(&self, now: Monotonic, age: Duration) -> Vec<InstanceId> {
        let since = now.saturating_sub(age + MAX_LIST_LAG);
        let recent = |(_, left): &(&InstanceId, &Monotonic)| **left >= since;
        self.retired
            .iter()
            .filter(recent)
            .map(|(name, _)| name.clone())
            .collect()
    }

    fn missing_from(&self, slots: &[InstanceId]) -> Vec<InstanceId> {
        let missing = |name: &&InstanceId| !slots.contains(name);
        self.joined.keys().filter(missing).cloned().collect()
    }

    fn prune(&mut self, now: Monotonic) {
        let cutoff = now.saturating_sub(RETRY_WINDOW + MAX_LIST_LAG);
        self.retired.retain(|_, left| *left >= cutoff);
        while self.retired.len() > MAX_RETIRED {
            let oldest = self.retired.iter().min_by_key(|(_, left)| **left);
            let Some((name, left)) = oldest.map(|(name, left)| (name.clone(), *left)) else {
                return;
            };
            self.horizon = self.horizon.max(Some(left));
            self.retired.remove(&name);
        }
    }
}
