//! Leases of one workspace at one entry.

use std::time::Duration;

use auburnline_core::id::InstanceId;
use auburnline_core::id::WorkspaceId;
use auburnline_core::time::Monotonic;

use crate::lease::View;

/// Maximum number of leases kept; beyond it the second to expire is merged into the first, which expires earlier.
const MAX_LEASES: usize = 16;
/// Demand in tokens per second below which a workspace counts as idle.
const IDLE_RATE: f64 = 1.0;
/// Time without requests after which a workspace counts as idle, whatever its last demand.
const IDLE_AFTER: Duration = Duration::from_secs(16);
/// Minimum time between two asks for one workspace.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between an ask and a later one for which no request is pending.
const MIN_PREFETCH_INTERVAL: Duration = Duration::from_millis(400);
/// Number of requests over which the mean cost is smoothed.
const COST_WINDOW: f64 = 8.0;

/// Tokens that may be spent until an instant.
#[derive(Clone, Copy, Debug)]
struct Lease {
    until: Monotonic,
    tokens: u64,
}

/// Demand of requests in tokens per second, smoothed over the lease time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    /// Tokens per second at `updated`; decays exponentially from then on.
    rate: f64,
    /// Mean tokens of a request.
    cost: f64,
    updated: Monotonic,
}

impl Demand {
    pub(super) fn record(&mut self, now: Monotonic, tokens: u64, lease_time: Duration) {
        self.rate = self.rate(now, lease_time) + to_float(tokens) / lease_time.as_secs_f64();
        self.updated = now;
        self.cost += (to_float(tokens) - self.cost) / COST_WINDOW;
    }

    /// Returns the mean tokens of a request.
    fn cost(&self) -> u64 {
        to_tokens(self.cost)
    }

    fn rate(&self, now: Monotonic, lease_time: Duration) -> f64 {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        self.rate * (-age / lease_time.as_secs_f64()).exp()
    }

    /// Returns the demand in tokens during `time` at the current rate.
    fn within(&self, now: Monotonic, time: Duration, lease_time: Duration) -> u64 {
        to_tokens(self.rate(now, lease_time) * time.as_secs_f64())
    }
}

/// Leases of one workspace, with its demand and the state of asks to its home.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    pub(super) demand: Demand,
    /// Ordered by expiry, earliest first.
    leases: Vec<Lease>,
    /// Tokens of the largest pending request that no ask covers yet.
    need: u64,
    /// Sum of tokens of the pending requests that no ask covers yet.
    pending: u64,
    /// Time and need of the unanswered ask, if any.
    outstanding: Option<(Monotonic, u64)>,
    /// Time until which the home can't grant a need of this many tokens or more.
    denied: (Monotonic, u64),
    /// Whether the home has few tokens left, as of its last answer.
    scarce: bool,
    /// Time of the last ask with a need; zero before the first.
    last_ask: Monotonic,
    /// Home, and the epoch of the view from which it was computed.
    home: Option<(u64, InstanceId)>,
}

impl Bucket {
    pub(super) fn new(now: Monotonic) -> Self {
        Bucket {
            demand: Demand {
                rate: 0.0,
                cost: 0.0,
                updated: now,
            },
            leases: Vec::new(),
            need: 0,
            pending: 0,
            outstanding: None,
            denied: (Duration::ZERO, 0),
            scarce: false,
            last_ask: Duration::ZERO,
            home: None,
        }
    }

    /// Returns the tokens that can be spent now.
    pub(super) fn on_hand(&self, now: Monotonic) -> u64 {
        let live = self.leases.iter().filter(|lease| now < lease.until);
        live.map(|lease| lease.tokens).sum()
    }

    /// Spends `tokens` if that many are on hand, and returns whether it did.
    pub(super) fn take(&mut self, now: Monotonic, tokens: u64) -> bool {
        self.expire(now);
        if self.on_hand(now) < tokens {
            return false;
        }
        self.spend(tokens);
        true
    }

    /// Adds a lease; one that has expired already is ignored.
    pub(super) fn put(&mut self, now: Monotonic, tokens: u64, until: Monotonic) {
        self.expire(now);
        if until <= now {
            return;
        }
        let at = self.leases.partition_point(|lease| lease.until <= until);
        self.leases.insert(at, Lease { until, tokens });
        if self.leases.len() > MAX_LEASES {
            let next = self.leases.remove(1);
            self.leases[0].tokens += next.tokens;
        }
    }

    /// Records a request that waits for a grant.
    pub(super) fn add_pending(&mut self, tokens: u64) {
        self.need = self.need.max(tokens);
        self.pending += tokens;
    }

    /// Returns the need, the want and the tokens to return, if an ask to the home is due.
    pub(super) fn due(
        &mut self,
        now: Monotonic,
        lease_time: Duration,
        grant_timeout: Duration,
    ) -> Option<(u64, u64, u64)> {
        self.expire(now);
        let is_waiting = self
            .outstanding
            .is_some_and(|(sent, _)| now < sent + grant_timeout);
        if is_waiting {
            return None;
        }
        self.outstanding = None;
        let interval = if self.need > 0 {
            MIN_ASK_INTERVAL
        } else {
            MIN_PREFETCH_INTERVAL
        };
        if now < self.last_ask + interval {
            return None;
        }
        let on_hand = self.on_hand(now);
        let prefetch = self.prefetch(now, lease_time);
        let low = on_hand < prefetch / 2 && self.denied_for(now, self.demand.cost()).is_zero();
        if self.need > 0 || low {
            let want = (self.pending + prefetch).saturating_sub(on_hand);
            let need = self.need.max(self.demand.cost()).saturating_sub(on_hand);
            let need = need.max(1);
            return Some((need, want.max(need), 0));
        }
        let returned = self.surplus(now, lease_time);
        (self.scarce && returned > 0).then_some((0, 0, returned))
    }

    /// Records that a request still waits although a grant has arrived.
    pub(super) fn require(&mut self, tokens: u64) {
        if self.outstanding.is_none() {
            self.need = self.need.max(tokens);
        }
    }

    /// Records that an ask was sent to the home. Returned tokens are no longer on hand.
    pub(super) fn record_ask(&mut self, now: Monotonic, need: u64, returned: u64) {
        self.spend(returned);
        if need > 0 {
            self.outstanding = Some((now, need));
            self.last_ask = now;
            self.need = 0;
            self.pending = 0;
        }
    }

    /// Records that the home has answered, and returns the need of the ask.
    pub(super) fn record_answer(&mut self, scarce: bool) -> u64 {
        self.scarce = scarce;
        self.outstanding.take().map_or(0, |(_, need)| need)
    }

    /// Records that the home can't meet `need` until `until`.
    pub(super) fn deny(&mut self, until: Monotonic, need: u64) {
        self.denied = (until, need);
        self.need = 0;
        self.pending = 0;
    }

    /// Returns the time until the home can grant `tokens` according to its last refusal; zero if fewer tokens than
    /// the refused need are wanted.
    pub(super) fn denied_for(&self, now: Monotonic, tokens: u64) -> Duration {
        let (until, need) = self.denied;
        if tokens < need {
            return Duration::ZERO;
        }
        until.saturating_sub(now)
    }

    /// Returns the home of `workspace`, cached while the epoch of the view is the same.
    pub(super) fn home(&mut self, view: &View, workspace: &WorkspaceId) -> Option<InstanceId> {
        let epoch = view.epoch();
        if self.home.as_ref().is_none_or(|(seen, _)| *seen != epoch) {
            self.home = view.home(workspace).map(|home| (epoch, home.clone()));
        }
        self.home.as_ref().map(|(_, home)| home.clone())
    }

    /// Returns whether there are no tokens, no need, no unanswered ask and no demand, so that the bucket can be
    /// dropped.
    pub(super) fn is_idle(&self, now: Monotonic) -> bool {
        let quiet = self.demand.rate < IDLE_RATE || self.demand.updated + IDLE_AFTER < now;
        self.on_hand(now) == 0 && self.need == 0 && self.outstanding.is_none() && quiet
    }

    /// Returns the tokens to hold beyond those of pending requests: the demand of half a lease time. Zero if that is
    /// less than two requests, too few to share a lease.
    fn prefetch(&self, now: Monotonic, lease_time: Duration) -> u64 {
        let prefetch = self.demand.within(now, lease_time / 2, lease_time);
        if prefetch < 2 * self.demand.cost() {
            return 0;
        }
        prefetch
    }

    /// Returns the tokens that expire within a quarter of the lease time and won't be used by then.
    fn surplus(&self, now: Monotonic, lease_time: Duration) -> u64 {
        let horizon = now + lease_time / 4;
        let ending = self.leases.iter().filter(|lease| lease.until <= horizon);
        let tokens: u64 = ending.map(|lease| lease.tokens).sum();
        tokens.saturating_sub(self.prefetch(now, lease_time) / 2)
    }

    fn spend(&mut self, mut tokens: u64) {
        for lease in &mut self.leases {
            let spent = tokens.min(lease.tokens);
            lease.tokens -= spent;
            tokens -= spent;
        }
        self.leases.retain(|lease| lease.tokens > 0);
    }

    fn expire(&mut self, now: Monotonic) {
        self.leases.retain(|lease| now < lease.until);
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "an estimate of tokens needs no more digits"
)]
fn to_float(tokens: u64) -> f64 {
    tokens as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "an estimate is never below zero, and the cast saturates"
)]
fn to_tokens(estimate: f64) -> u64 {
    estimate as u64
}
