//! Hints about which units cache which prefixes.
//!
//! Hints come from this process's own sends and from cache events, which are delayed, sampled and
//! may be missing; a wrong hint only costs time. They are kept in a set-associative table of fixed
//! size with four ways: a new hint replaces the oldest one in its row.

use std::time::Duration;

use auburnline_core::time::Monotonic;

/// Hints in a row, and so the maximum number of units with a hint for one prefix.
pub(crate) const WAYS: usize = 4;
const ROWS: usize = 4096;

/// A change in the prefix cache of a unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The prefix with this key was stored.
    Stored(u64),
    /// The prefix with this key was evicted.
    Evicted(u64),
    /// All prefixes were dropped.
    Cleared,
}

/// A unit that probably caches a prefix, as of `at`.
#[derive(Clone, Copy, Debug)]
struct Hint {
    key: u64,
    unit: u32,
    at: Monotonic,
}

/// Set-associative table of hints.
#[derive(Debug)]
pub(crate) struct Table {
    rows: Vec<[Option<Hint>; WAYS]>,
}

impl Table {
    pub(crate) fn new() -> Self {
        Table {
            rows: vec![[None; WAYS]; ROWS],
        }
    }

    /// Returns the row of `key`; the conversion cannot fail, as [`ROWS`] fits any `usize`.
    fn row(key: u64) -> usize {
        usize::try_from(key % ROWS as u64).unwrap_or_default()
    }

    pub(crate) fn store(&mut self, key: u64, unit: u32, at: Monotonic) {
        let row = &mut self.rows[Self::row(key)];
        let same = row
            .iter()
            .position(|hint| hint.is_some_and(|hint| hint.key == key && hint.unit == unit));
        let oldest = || {
            let ages = row.iter().map(|hint| hint.map(|hint| hint.at));
            ages.enumerate().min_by_key(|&(_, at)| at)
        };
        let way = same.or_else(|| oldest().map(|(way, _)| way));
        if let Some(way) = way {
            let known = same.and_then(|way| row[way]).map(|hint| hint.at);
            let at = known.map_or(at, |known| known.max(at));
            row[way] = Some(Hint { key, unit, at });
        }
    }

    pub(crate) fn evict(&mut self, key: u64, unit: u32) {
        for way in &mut self.rows[Self::row(key)] {
            if way.is_some_and(|hint| hint.key == key && hint.unit == unit) {
                *way = None;
            }
        }
    }

    /// Removes all hints for `unit`.
    pub(crate) fn clear(&mut self, unit: u32) {
        for way in self.rows.iter_mut().flatten() {
            if way.is_some_and(|hint| hint.unit == unit) {
                *way = None;
            }
        }
    }

    /// Returns the units that probably cache the prefix `key`, with the ages of their hints.
    pub(crate) fn holders(
        &self,
        key: u64,
        now: Monotonic,
    ) -> impl Iterator<Item = (u32, Duration)> {
        let row = self.rows[Self::row(key)].iter().flatten();
        row.filter(move |hint| hint.key == key)
            .map(move |hint| (hint.unit, now.saturating_sub(hint.at)))
    }
}
