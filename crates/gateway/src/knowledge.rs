//! How old the published state may be.
//!
//! What a store answered was true no earlier than when it was asked, so knowledge is as old as the
//! question of the last answer. A key that was taken away must not work longer than the bound on
//! revocation; a gateway whose knowledge is older can't tell, and refuses.

use std::time::Duration;

use auburnline_core::time::Monotonic;

/// Part of the bound on revocation kept in hand, for clocks that run at unlike speed and for the
/// time between the look at the age and the send.
const MARGIN: Duration = Duration::from_millis(250);

/// Time that entries of the list stay after the store was away, while they may be written anew.
///
/// Upstreams that live are back within about two seconds of the store's return; the rest is for the
/// way of the news.
pub const RETURN_GRACE: Duration = Duration::from_millis(2_600);

/// Age of what a gateway knows.
#[derive(Clone, Copy, Debug)]
pub struct Knowledge {
    longest: Duration,
    current_at: Option<Monotonic>,
    /// Whether the last question had no answer.
    is_failing: bool,
    returned_at: Option<Monotonic>,
}

/// What an answer or its lack changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    None,
    /// The store answers after questions without answer.
    Regained,
    /// The store stopped answering.
    Lost,
}

impl Knowledge {
    /// Returns no knowledge, under a bound on revocation.
    #[must_use]
    pub const fn new(revocation: Duration) -> Knowledge {
        Knowledge {
            longest: revocation.saturating_sub(MARGIN),
            current_at: None,
            is_failing: false,
            returned_at: None,
        }
    }

    /// Sets the bound on revocation.
    pub const fn set_bound(&mut self, revocation: Duration) {
        self.longest = revocation.saturating_sub(MARGIN);
    }

    /// Takes that a question asked at `asked` was answered.
    pub fn confirm(&mut self, asked: Monotonic, now: Monotonic) -> Change {
        self.current_at = self.current_at.max(Some(asked));
        if !self.is_failing {
            return Change::None;
        }
        self.is_failing = false;
        self.returned_at = Some(now);
        Change::Regained
    }

    /// Takes that a question had no answer.
    pub const fn miss(&mut self) -> Change {
        if self.is_failing {
            return Change::None;
        }
        self.is_failing = true;
        Change::Lost
    }

    /// Takes that the store came back from a copy, so that entries are missing that are written again.
    pub const fn restored(&mut self, now: Monotonic) {
        self.returned_at = Some(now);
    }

    /// Returns the age; none if nothing is known.
    #[must_use]
    pub fn age(&self, now: Monotonic) -> Option<Duration> {
        self.current_at.map(|at| now.saturating_sub(at))
    }

    /// Returns whether keys may be trusted.
    #[must_use]
    pub fn is_fresh(&self, now: Monotonic) -> bool {
        self.age(now).is_some_and(|age| age < self.longest)
    }

    /// Returns whether the store is or just was away, so that a missing entry proves little.
    #[must_use]
    pub fn is_doubtful(&self, now: Monotonic) -> bool {
        let just_returned = |at| now.saturating_sub(at) < RETURN_GRACE;
        self.is_failing || self.returned_at.is_some_and(just_returned)
    }
}
