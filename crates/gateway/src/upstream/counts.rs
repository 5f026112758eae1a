//! Requests that neighbours have in flight.

use std::time::Duration;

use auburnline_core::time::Monotonic;

use super::Counts;
use super::Pool;

/// Age at which a neighbour's counts are dropped; by then several of its messages are missing.
const MAX_COUNTS_AGE: Duration = Duration::from_millis(1_500);

impl Pool {
    /// Sets the requests that a neighbour has in flight.
    pub fn set_neighbour_counts(&mut self, neighbour: u64, counts: Counts, now: Monotonic) {
        let counts = counts.into_iter().collect();
        self.neighbours.insert(neighbour, (now, counts));
        self.drop_silent_neighbours(now);
        self.sum_neighbours();
    }

    /// Drops the counts of neighbours that no longer report any.
    pub(crate) fn forget_neighbours(&mut self, now: Monotonic) {
        if self.drop_silent_neighbours(now) {
            self.sum_neighbours();
        }
    }

    /// Returns whether there are any.
    fn drop_silent_neighbours(&mut self, now: Monotonic) -> bool {
        let before = self.neighbours.len();
        self.neighbours
            .retain(|_, (at, _)| now.saturating_sub(*at) < MAX_COUNTS_AGE);
        self.neighbours.len() < before
    }

    fn sum_neighbours(&mut self) {
        self.neighbour_sums.clear();
        for (_, counts) in self.neighbours.values() {
            for (tag, count) in counts {
                let sum = self.neighbour_sums.entry(*tag).or_default();
                *sum = sum.saturating_add(*count);
            }
        }
    }

    /// Returns the number of neighbours that recently reported their requests in flight.
    pub(crate) fn neighbours(&self, now: Monotonic) -> usize {
        let heard = self.neighbours.values();
        heard
            .filter(|(at, _)| now.saturating_sub(*at) < MAX_COUNTS_AGE)
            .count()
    }
}
