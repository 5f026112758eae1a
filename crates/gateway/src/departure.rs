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

/// What is known of one id.
#[derive(Clone, Copy, Debug)]
struct Start {
    /// Time of the start; none if it was never told.
    born: Option<u64>,
    /// Number of the note, in the order of noting.
    number: u64,
}

/// Some starts of upstreams.
#[derive(Clone, Debug, Default)]
pub(crate) struct Starts {
    known: BTreeMap<UpstreamId, Start>,
    notes: u64,
}

impl Starts {
    /// Takes a start in, in place of an earlier one under its id.
    pub(crate) fn note(&mut self, upstream: &Upstream) {
        self.notes += 1;
        let known = self.known.get(&upstream.id);
        let start = Start {
            born: upstream.born.or_else(|| known?.born),
            number: self.notes,
        };
        self.known.insert(upstream.id.clone(), start);
        if self.known.len() > MOST_KEPT {
            let first = self.known.iter().min_by_key(|(_, one)| one.number);
            if let Some(first) = first.map(|(id, _)| id.clone()) {
                self.known.remove(&first);
            }
        }
    }

    /// Leaves out what was noted under an id.
    pub(crate) fn forget(&mut self, id: &str) {
        self.known.remove(id);
    }

    /// Returns whether a start was noted. An entry that tells no time of its start is taken for the noted one.
    pub(crate) fn holds(&self, upstream: &Upstream) -> bool {
        self.known.get(&upstream.id).is_some_and(|start| {
            let starts = start.born.zip(upstream.born);
            starts.is_none_or(|(known, told)| known == told)
        })
    }
}
