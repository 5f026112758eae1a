//! Loads now and later.

use crate::to_f64;

/// Popularity of a layer's experts that a search works for.
#[derive(Clone, Copy, Debug)]
pub struct Outlook<'a> {
    /// Shares that the slowest rank is told by.
    pub now: &'a [f64],
    /// Shares expected later.
    pub later: &'a [f64],
    /// Times that each rank takes longer for the same load; once where it is empty.
    pub slowness: &'a [f64],
    /// Whether a place may be left empty, by an expert that its rank holds already.
    pub may_empty: bool,
}

impl<'a> Outlook<'a> {
    /// Expects no change.
    #[must_use]
    pub const fn steady(shares: &'a [f64]) -> Self {
        Outlook {
            now: shares,
            later: shares,
            slowness: &[],
            may_empty: false,
        }
    }

    /// Takes ranks to be slow: each counts for as much as it takes longer.
    #[must_use]
    pub const fn slowed(self, slowness: &'a [f64]) -> Self {
        Outlook { slowness, ..self }
    }

    /// Lets places be left empty.
    #[must_use]
    pub const fn with_empty_places(self) -> Self {
        Outlook {
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

/// Load of a rank or of a replica, now and later.
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

    /// Gain of coming down from the slowest rank's load to this one: half for now, and half for
    /// later, which counts no less than `least`.
    pub(super) fn gain(self, slowest: Load, least: f64) -> f64 {
        let now = slowest.now - self.now;
        let later = (slowest.now - self.later).max(least);
        f64::midpoint(now, now.min(later))
    }
}
