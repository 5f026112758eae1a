//! Starts of upstreams of which something holds beyond their entries on the list.
//!
//! An upstream that said that it leaves, on the list or in an answer, does not come back: only another start under its id takes work
//! again. Its entry may say otherwise, since it may be older than the word, written late, or restored from a copy. And an
//! upstream that was removed from the list may be on it again in a copy.

use std::collections::BTreeMap;

use crate::upstream::Upstream;
use crate::upstream::UpstreamId;

/// Starts that are kept at most, several times a large fleet; of more, those that were noted first are let go.
const MOST_KEPT: usize = 4_096;

/// One start under an id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Incarnation {
    id: UpstreamId,
    /// Time of the start; none if it was never told.
    born: Option<u64>,
}

/// Some starts of upstreams, each with the number of its note, in the order of noting.
#[derive(Clone, Debug, Default)]
pub(crate) struct Incarnations {
    known: BTreeMap<Incarnation, u64>,
    notes: u64,
}

impl Incarnations {
    /// Takes a start in. One that tells no time is taken for those noted under its id, if there are any.
    pub(crate) fn record(&mut self, upstream: &Upstream) {
        self.notes += 1;
        let is_untold = upstream.born.is_none() && self.of(&upstream.id).next().is_some();
        if is_untold {
            return;
        }
        let incarnation = Incarnation {
            id: upstream.id.clone(),
            born: upstream.born,
        };
        self.known.insert(incarnation, self.notes);
        if self.known.len() > MOST_KEPT {
            let first = self.known.iter().min_by_key(|(_, number)| **number);
            if let Some(first) = first.map(|(incarnation, _)| incarnation.clone()) {
                self.known.remove(&first);
            }
        }
    }

    /// Leaves out what was noted under an id.
    pub(crate) fn forget(&mut self, id: &UpstreamId) {
        let noted: Vec<_> = self.of(id).collect();
        for born in noted {
            let id = id.clone();
            self.known.remove(&Incarnation { id, born });
        }
    }

    /// Returns whether a start was noted. An entry that tells no time of its start is taken for a noted one.
    pub(crate) fn contains(&self, upstream: &Upstream) -> bool {
        self.of(&upstream.id).any(|born| {
            let starts = born.zip(upstream.born);
            starts.is_none_or(|(known, told)| known == told)
        })
    }

    /// Returns the times of the starts that were noted under an id.
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
