//! Callers who return: the time at which a refused one is to come back, and how long one that may
//! have come back has waited already.
//!
//! A caller returns once or a few times within its deadline, and honours the time that it is told
//! up to a third of what it has left. A return into the same shortage is wasted, and callers that
//! all return at once make the next shortage.
//!
//! An attempt says how long its caller still waits. While nobody is refused, those who come are new,
//! and the least that they say is what a new caller of that route has left. One that says less has
//! spent the difference before. Nothing is concluded where callers choose their deadlines freely.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use auburnline_core::time::Monotonic;

/// Identifies a route: a hash of its name.
pub type RouteTag = u64;

/// Shortest time that makes a difference: below it, the caller is back before anything has changed.
pub const MIN_RETRY: Duration = Duration::from_millis(100);
/// Part of the time left up to which callers honour a retry time; the rest is for being served.
const HONOURED_FRACTION: f64 = 1.0 / 3.0;
/// Part of the longest retry time from which returns are spread where capacity is expected later.
const LAST_FRACTION: f64 = 0.75;

/// A shortage, as the caller that is refused sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortage {
    /// Time until capacity is expected.
    pub expected: Duration,
    /// Time over which capacity then frees.
    pub spread: Duration,
    /// Time that the caller has left.
    pub left: Duration,
}

/// Returns the time after which a refused caller should come back; `draw`, from 0 to 1, is its place
/// among those that are refused in the same shortage.
#[must_use]
pub fn retry_after(shortage: &Shortage, draw: f64) -> Duration {
    let most = shortage.left.mul_f64(HONOURED_FRACTION);
    let soonest = MIN_RETRY.min(most);
    // Capacity that is expected too late for the caller may still come earlier.
    let first = shortage
        .expected
        .clamp(soonest, most.mul_f64(LAST_FRACTION).max(soonest));
    let end = shortage.expected.saturating_add(shortage.spread);
    let span = end.min(most).saturating_sub(first);
    first + span.mul_f64(draw.clamp(0.0, 1.0))
}

/// New callers' attempts by which a route's usual deadline is known.
const SAMPLES: usize = 16;
/// Time after which attempts no longer tell the usual deadline.
const MAX_AGE: Duration = Duration::from_mins(1);
/// Part of the longest deadline of new callers that the shortest one has at least; where it has
/// less, callers choose freely.
const FREE_FRACTION: f64 = 0.75;
/// Part of a caller's deadline for which it may wait after a refusal before it comes back.
const RETURN_FRACTION: f64 = 0.5;
/// Maximum number of routes whose deadlines are known.
const MAX_ROUTES: usize = 1_024;

#[derive(Clone, Debug, Default)]
struct Usual {
    /// Time left of the newest attempts that were no returns.
    new: VecDeque<Duration>,
    newest: Monotonic,
}

impl Usual {
    /// Returns the least that a new caller has left, if that is known.
    fn least(&self, now: Monotonic) -> Option<Duration> {
        let is_recent = now.saturating_sub(self.newest) < MAX_AGE;
        if self.new.len() < SAMPLES || !is_recent {
            return None;
        }
        let least = self.new.iter().min().copied()?;
        let most = self.new.iter().max().copied()?;
        (least >= most.mul_f64(FREE_FRACTION)).then_some(least)
    }
}

/// Usual deadlines of the callers of each route, as one gateway sees them.
#[derive(Clone, Debug, Default)]
pub struct Deadlines {
    routes: HashMap<RouteTag, Usual>,
    /// When a caller was last refused.
    refused_at: Option<Monotonic>,
}

impl Deadlines {
    /// Returns the time that the caller of an attempt has spent on the request before it, as far as
    /// that is proved.
    #[must_use]
    pub fn spent(&self, route: RouteTag, left: Duration, now: Monotonic) -> Duration {
        let usual = self.routes.get(&route).and_then(|usual| usual.least(now));
        usual.map_or(Duration::ZERO, |usual| usual.saturating_sub(left))
    }

    /// Records an attempt whose caller has `left`.
    pub fn record_attempt(&mut self, route: RouteTag, left: Duration, now: Monotonic) {
        let since = self.refused_at.map(|at| now.saturating_sub(at));
        if since.is_some_and(|since| since < left.mul_f64(RETURN_FRACTION)) {
            return;
        }
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(&route) {
            self.routes
                .retain(|_, usual| now.saturating_sub(usual.newest) < MAX_AGE);
            if self.routes.len() >= MAX_ROUTES {
                return;
            }
        }
        let usual = self.routes.entry(route).or_default();
        if now.saturating_sub(usual.newest) >= MAX_AGE {
            usual.new.clear();
        }
        if usual.new.len() == SAMPLES {
            usual.new.pop_front();
        }
        usual.new.push_back(left);
        usual.newest = now;
    }

    /// Records that a caller was refused and may come back.
    pub const fn record_refusal(&mut self, now: Monotonic) {
        self.refused_at = Some(now);
    }

    /// Returns the number of routes known.
    #[must_use]
    pub fn routes(&self) -> usize {
        self.routes.len()
    }
}
