//! Upstreams that are about to leave, by the list or by their own answers.
//!
//! An upstream that said so once does not come back: only another start under its id takes work again. Its entry on the list may say
//! otherwise, since it may be older than the word, written late, or restored from a copy; so the word is kept apart from the
//! entry.

use std::collections::BTreeMap;

use crate::upstream::State;
use crate::upstream::Upstream;
use crate::upstream::UpstreamId;

/// Starts that are kept at most, several times a large fleet; of more, those that were heard of first are let go.
const MOST_KEPT: usize = 4_096;

/// What is known of one id.
#[derive(Clone, Copy, Debug)]
struct Departure {
    /// Start that leaves; none if it was never told.
    born: Option<u64>,
    /// Number of the word, in the order of hearing.
    number: u64,
}

/// Starts of upstreams that are about to leave or have left.
#[derive(Clone, Debug, Default)]
pub(crate) struct Departures {
    known: BTreeMap<UpstreamId, Departure>,
    words: u64,
}

impl Departures {
    /// Takes that a start of an upstream leaves.
    pub(crate) fn note(&mut self, upstream: &Upstream) {
        self.words += 1;
        let known = self.known.get(&upstream.id);
        let departure = Departure {
            born: upstream.born.or_else(|| known?.born),
            number: self.words,
        };
        self.known.insert(upstream.id.clone(), departure);
        if self.known.len() > MOST_KEPT {
            let first = self.known.iter().min_by_key(|(_, one)| one.number);
            if let Some(first) = first.map(|(id, _)| id.clone()) {
                self.known.remove(&first);
            }
        }
    }

    /// Takes the entry of an upstream, and corrects the state of a start that is known to leave.
    pub(crate) fn correct(&mut self, upstream: &mut Upstream) {
        if upstream.state == State::Draining || self.holds(upstream) {
            upstream.state = State::Draining;
            self.note(upstream);
        }
    }

    /// Returns whether a start of an upstream is known to leave. An entry that tells no start is taken for the known one.
    fn holds(&self, upstream: &Upstream) -> bool {
        self.known.get(&upstream.id).is_some_and(|departure| {
            let starts = departure.born.zip(upstream.born);
            starts.is_none_or(|(known, told)| known == told)
        })
    }
}
