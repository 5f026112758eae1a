//! Incarnations of upstreams about which more is known than their entries on the list say.
//!
//! An upstream that announced its departure, on the list or in a response, does not come back: only
//! another incarnation under its id gets requests again. Its entry may still say otherwise, because
//! it is older than the announcement, was written late, or was restored from a backup. An upstream
//! that was removed from the list may likewise be listed again after a restore.

use std::collections::BTreeMap;

use crate::upstream::Upstream;
use crate::upstream::UpstreamId;

/// Maximum recorded incarnations, several times the size of a large fleet. Beyond it the oldest
/// record is dropped.
const MAX_RECORDED: usize = 4_096;

/// One incarnation of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Incarnation {
    id: UpstreamId,
    /// Start time; `None` if the upstream never reported it.
    born: Option<u64>,
}

/// Set of incarnations, each with a sequence number that gives the order of recording.
#[derive(Clone, Debug, Default)]
pub(crate) struct Incarnations {
    known: BTreeMap<Incarnation, u64>,
    sequence: u64,
}

impl Incarnations {
    /// Records an incarnation. One without a start time is assumed to be among those already
    /// recorded under its id, if there are any.
    pub(crate) fn record(&mut self, upstream: &Upstream) {
        self.record_start(&upstream.id, upstream.born);
    }

    /// Records the incarnation under an id of which nothing else is known.
    pub(crate) fn record_unknown(&mut self, id: &str) {
        self.record_start(&id.into(), None);
    }

    fn record_start(&mut self, id: &UpstreamId, born: Option<u64>) {
        self.sequence += 1;
        let is_recorded = born.is_none() && self.of(id).next().is_some();
        if is_recorded {
            return;
        }
        let incarnation = Incarnation {
            id: id.clone(),
            born,
        };
        self.known.insert(incarnation, self.sequence);
        if self.known.len() > MAX_RECORDED {
            let first = self.known.iter().min_by_key(|(_, number)| **number);
            if let Some(first) = first.map(|(incarnation, _)| incarnation.clone()) {
                self.known.remove(&first);
            }
        }
    }

    /// Removes all incarnations recorded under an id.
    pub(crate) fn forget(&mut self, id: &UpstreamId) {
        let recorded: Vec<_> = self.of(id).collect();
        for born in recorded {
            let id = id.clone();
            self.known.remove(&Incarnation { id, born });
        }
    }

    /// Returns whether an incarnation is recorded. An entry without a start time matches any
    /// recorded incarnation under its id.
    pub(crate) fn contains(&self, upstream: &Upstream) -> bool {
        self.of(&upstream.id).any(|born| {
            let start_times = born.zip(upstream.born);
            start_times.is_none_or(|(known, told)| known == told)
        })
    }

    /// Returns the start times of the incarnations recorded under an id.
    fn of(&self, id: &UpstreamId) -> impl Iterator<Item = Option<u64>> {
        let incarnation = |born| Incarnation {
            id: id.clone(),
            born,
        };
        let all = self
            .known
            .range(incarnation(None)..=incarnation(Some(u64::MAX)));
        all.map(|(incarnation, _)| incarnation.born)
    }
}
