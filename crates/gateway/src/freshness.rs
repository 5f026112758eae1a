//! Age of the published state as this gateway knows it.
//!
//! An answer of the store reflects a state no older than the request for it, so knowledge is as old
//! as the request that was answered last. A revoked API key must not work for longer than the
//! revocation bound, so a gateway whose knowledge is older refuses requests.

use std::time::Duration;

use auburnline_core::time::Monotonic;

/// Safety margin below the revocation bound, for clock drift and for the time between checking the
/// age and sending the request.
const REVOCATION_MARGIN: Duration = Duration::from_millis(250);

/// Time after the store recovers during which missing upstreams are kept, since their entries may
/// be written again.
///
/// Live upstreams write their entries within about two seconds of the recovery; the rest is for the
/// propagation of the changes.
pub const RECOVERY_GRACE: Duration = Duration::from_millis(2_600);

/// Age of the local knowledge from which a gateway reads the store itself, reader or not: two
/// periods of a watch, a relay's query, a follower's and some time for the messages, and well before
/// API keys stop being trusted.
const SELF_READ_AGE: Duration = Duration::from_millis(3_100);

/// Age of the published state as known here, and whether the store answers.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    max_age: Duration,
    current_at: Option<Monotonic>,
    /// When the store was lost; `None` while it answers.
    lost_at: Option<Monotonic>,
    recovered_at: Option<Monotonic>,
    /// Since when the store has been followed without a gap.
    followed_since: Option<Monotonic>,
}

/// Change of the store's availability.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// No change.
    None,
    /// The store answers again after it had failed.
    Regained,
    /// The store stopped answering.
    Lost,
}

impl Freshness {
    /// Returns the state before anything is known, with the given revocation bound.
    #[must_use]
    pub const fn new(revocation: Duration) -> Freshness {
        Freshness {
            max_age: revocation.saturating_sub(REVOCATION_MARGIN),
            current_at: None,
            lost_at: None,
            recovered_at: None,
            followed_since: None,
        }
    }

    /// Sets the revocation bound.
    pub const fn set_bound(&mut self, revocation: Duration) {
        self.max_age = revocation.saturating_sub(REVOCATION_MARGIN);
    }

    /// Records that the state is known as of `asked`, when a request was sent that the store
    /// answered.
    pub fn record_success(&mut self, asked: Monotonic, now: Monotonic) -> Change {
        self.current_at = self.current_at.max(Some(asked));
        self.followed_since.get_or_insert(now);
        self.record_answer(asked, now)
    }

    /// Records that the store answered a request that was sent at `asked`, to this gateway or to
    /// another one. An answer from before the loss doesn't show that the store is back.
    pub fn record_answer(&mut self, asked: Monotonic, now: Monotonic) -> Change {
        if self.lost_at.is_none_or(|lost_at| asked < lost_at) {
            return Change::None;
        }
        self.lost_at = None;
        self.record_recovery(now);
        Change::Regained
    }

    /// Records that a request to the store failed at `now`.
    pub const fn record_failure(&mut self, now: Monotonic) -> Change {
        if self.lost_at.is_some() {
            return Change::None;
        }
        self.lost_at = Some(now);
        Change::Lost
    }

    /// Records that the store was restored from a backup, so that entries may be missing until
    /// their upstreams write them again.
    pub const fn record_restore(&mut self, now: Monotonic) {
        self.record_recovery(now);
    }

    const fn record_recovery(&mut self, now: Monotonic) {
        self.recovered_at = Some(now);
        self.followed_since = Some(now);
    }

    /// Records that the store was not followed for a while, whether or not it was available.
    pub(crate) const fn record_gap(&mut self, now: Monotonic) {
        self.followed_since = Some(now);
    }

    /// Returns the age of the knowledge; `None` if nothing is known yet.
    #[must_use]
    pub fn age(&self, now: Monotonic) -> Option<Duration> {
        self.current_at.map(|at| now.saturating_sub(at))
    }

    /// Returns whether the knowledge is recent enough for API keys to be trusted.
    #[must_use]
    pub fn is_fresh(&self, now: Monotonic) -> bool {
        self.age(now).is_some_and(|age| age < self.max_age)
    }

    /// Returns for how long the knowledge has been too old to be trusted; `None` if it is recent, or
    /// if nothing is known yet.
    #[must_use]
    pub fn outdated_for(&self, now: Monotonic) -> Option<Duration> {
        self.age(now)?.checked_sub(self.max_age)
    }

    /// Returns whether the store is unavailable or recently was, so that a missing entry doesn't
    /// mean that its upstream is gone.
    #[must_use]
    pub fn may_lack_entries(&self, now: Monotonic) -> bool {
        let just_recovered = |at| now.saturating_sub(at) < RECOVERY_GRACE;
        self.lost_at.is_some() || self.recovered_at.is_some_and(just_recovered)
    }

    /// Returns whether the store has been followed for long enough that live upstreams have entries.
    #[must_use]
    pub fn is_settled(&self, now: Monotonic) -> bool {
        let followed_long = |since| now.saturating_sub(since) >= RECOVERY_GRACE;
        self.lost_at.is_none() && self.followed_since.is_some_and(followed_long)
    }
}

/// Returns whether knowledge of this age requires a gateway to read the store itself.
#[must_use]
pub fn must_read_itself(age: Option<Duration>) -> bool {
    age.is_none_or(|age| age > SELF_READ_AGE)
}
