//! Loads under the present popularity and under the one forecast for later.

use crate::to_f64;

/// Popularity of a layer's experts, and the other conditions of a search.
#[derive(Clone, Copy, Debug)]
pub struct Conditions<'a> {
    /// Present share of each expert, which determines the slowest rank.
    pub now: &'a [f64],
    /// Share of each expert that is forecast for later.
    pub later: &'a [f64],
    /// Factor by which each rank takes longer for the same load; 1.0 for ranks beyond the end of the slice.
    pub slowness: &'a [f64],
    /// Whether a place may be left empty, by repeating an expert of its rank.
    pub may_empty: bool,
}

impl<'a> Conditions<'a> {
    /// Returns conditions without drift, for ranks of equal speed.
    #[must_use]
    pub const fn steady(shares: &'a [f64]) -> Self {
        Conditions {
            now: shares,
            later: shares,
            slowness: &[],
            may_empty: false,
        }
    }

    /// Sets the slowness of the ranks.
    #[must_use]
    pub const fn slowed(self, slowness: &'a [f64]) -> Self {
        Conditions { slowness, ..self }
    }

    /// Allows places to be left empty.
    #[must_use]
    pub const fn with_empty_places(self) -> Self {
        Conditions {
            may_empty: true,
            ..self
        }
    }

    pub(super) fn slowness(&self, rank: usize) -> f64 {
        self.slowness.get(rank).copied().unwrap_or(1.0)
    }

    pub(super) fn at(&self, expert: usize) -> Load {
        Load {
            now: self.now[expert],
            later: self.later[expert],
        }
    }
}

/// Load of a rank or of a replica, at present and as forecast for later.
#[derive(Clone, Copy, Default)]
pub(super) struct Load {
    pub(super) now: f64,
    pub(super) later: f64,
}

impl Load {
    pub(super) fn plus(self, other: Load) -> Load {
        Load {
            now: self.now + other.now,
            later: self.later + other.later,
        }
    }

    pub(super) fn minus(self, other: Load) -> Load {
        Load {
            now: self.now - other.now,
            later: self.later - other.later,
        }
    }

    pub(super) fn over(self, count: usize) -> Load {
        let count = to_f64(count);
        Load {
            now: self.now / count,
            later: self.later / count,
        }
    }

    pub(super) fn times(self, factor: f64) -> Load {
        Load {
            now: self.now * factor,
            later: self.later * factor,
        }
    }

    pub(super) fn max(self, other: Load) -> Load {
        Load {
            now: self.now.max(other.now),
            later: self.later.max(other.later),
        }
    }

    /// Returns the gain when the load of the slowest rank decreases to this one.
    ///
    /// It is the mean of the gain now and the gain later. The gain later counts as at least
    /// `min_later_gain` and at most the gain now.
    pub(super) fn gain(self, slowest: Load, min_later_gain: f64) -> f64 {
        let now = slowest.now - self.now;
        let later = (slowest.now - self.later).max(min_later_gain);
        f64::midpoint(now, now.min(later))
    }
}
