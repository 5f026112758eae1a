//! One workspace's pieces at one entry.

use std::time::Duration;

use auburnline_core::id::InstanceId;
use auburnline_core::id::WorkspaceId;
use auburnline_core::time::Monotonic;

use crate::lease::View;

/// Most pieces kept; beyond it the first to end gets the tokens of the next.
const MAX_LEASES: usize = 16;
/// Demand in tokens a second below which a workspace counts as idle.
const IDLE: f64 = 1.0;
/// Time without requests after which a workspace counts as idle.
const QUIET: Duration = Duration::from_secs(16);
/// Least time between two asks for one workspace.
const ASK_GAP: Duration = Duration::from_millis(100);
/// Least time before an ask that no request waits for.
const PREFETCH_GAP: Duration = Duration::from_millis(400);
/// Requests over which the mean cost is smoothed.
const COST_PART: f64 = 8.0;

/// Tokens that may be spent until an instant.
#[derive(Clone, Copy, Debug)]
struct Lease {
    until: Monotonic,
    tokens: u64,
}

/// Tokens a second that requests ask for, smoothed over a lease.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    rate: f64,
    /// Mean tokens of a request.
    cost: f64,
    updated: Monotonic,
}

impl Demand {
    pub(super) fn record(&mut self, now: Monotonic, tokens: u64, lease_time: Duration) {
        self.rate = self.rate(now, lease_time) + to_float(tokens) / lease_time.as_secs_f64();
        self.updated = now;
        self.cost += (to_float(tokens) - self.cost) / COST_PART;
    }

    /// Mean tokens of a request.
    fn cost(&self) -> u64 {
        to_tokens(self.cost)
    }

    fn rate(&self, now: Monotonic, lease_time: Duration) -> f64 {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        self.rate * (-age / lease_time.as_secs_f64()).exp()
    }

    /// Tokens asked for in `time`.
    fn within(&self, now: Monotonic, time: Duration, lease_time: Duration) -> u64 {
        to_tokens(self.rate(now, lease_time) * time.as_secs_f64())
    }
}

/// One workspace's pieces.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    pub(super) demand: Demand,
    /// First to end first.
    leases: Vec<Lease>,
    /// Largest and sum of the pending requests not yet asked for.
    need: u64,
    pending: u64,
    /// When the last ask went out that has no answer, and its need.
    outstanding: Option<(Monotonic, u64)>,
    /// Until when the home can't grant so many tokens.
    denied: (Monotonic, u64),
    /// Whether the home has little left.
    scarce: bool,
    /// When the last ask went out, or long ago.
    last_ask: Monotonic,
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

    /// Tokens that can be spent now.
    pub(super) fn on_hand(&self, now: Monotonic) -> u64 {
        let live = self.leases.iter().filter(|lease| now < lease.until);
        live.map(|lease| lease.tokens).sum()
    }

    /// Spends `tokens` if there are so many.
    pub(super) fn take(&mut self, now: Monotonic, tokens: u64) -> bool {
        self.expire(now);
        if self.on_hand(now) < tokens {
            return false;
        }
        self.spend(tokens);
        true
    }

    /// Adds a piece.
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

    /// Notes a request that waits for a grant.
    pub(super) fn add_pending(&mut self, tokens: u64) {
        self.need = self.need.max(tokens);
        self.pending += tokens;
    }

    /// Returns need, want and what goes back, if a message to the home is due.
    pub(super) fn due(
        &mut self,
        now: Monotonic,
        lease_time: Duration,
        patience: Duration,
    ) -> Option<(u64, u64, u64)> {
        self.expire(now);
        let waits = self
            .outstanding
            .is_some_and(|(sent, _)| now < sent + patience);
        if waits {
            return None;
        }
        self.outstanding = None;
        let gap = if self.need > 0 { ASK_GAP } else { PREFETCH_GAP };
        if now < self.last_ask + gap {
            return None;
        }
        let on_hand = self.on_hand(now);
        let ahead = self.ahead(now, lease_time);
        let low = on_hand < ahead / 2 && self.denied_for(now, self.demand.cost()).is_zero();
        if self.need > 0 || low {
            let want = (self.pending + ahead).saturating_sub(on_hand);
            let need = self.need.max(self.demand.cost()).saturating_sub(on_hand);
            let need = need.max(1);
            return Some((need, want.max(need), 0));
        }
        let returned = self.surplus(now, lease_time);
        (self.scarce && returned > 0).then_some((0, 0, returned))
    }

    /// Notes a request that still waits after a grant.
    pub(super) fn require(&mut self, tokens: u64) {
        if self.outstanding.is_none() {
            self.need = self.need.max(tokens);
        }
    }

    /// Notes that a message went to the home.
    pub(super) fn record_ask(&mut self, now: Monotonic, need: u64, returned: u64) {
        self.spend(returned);
        if need > 0 {
            self.outstanding = Some((now, need));
            self.last_ask = now;
            self.need = 0;
            self.pending = 0;
        }
    }

    /// Notes that the home has answered; returns what was needed.
    pub(super) fn record_answer(&mut self, scarce: bool) -> u64 {
        self.scarce = scarce;
        self.outstanding.take().map_or(0, |(_, need)| need)
    }

    /// Notes that the home could not meet the last need until `until`.
    pub(super) fn deny(&mut self, until: Monotonic, need: u64) {
        self.denied = (until, need);
        self.need = 0;
        self.pending = 0;
    }

    /// Time until the home can grant `tokens`, as far as it said.
    pub(super) fn denied_for(&self, now: Monotonic, tokens: u64) -> Duration {
        let (until, need) = self.denied;
        if tokens < need {
            return Duration::ZERO;
        }
        until.saturating_sub(now)
    }

    /// The entry to ask, remembered while the view stands.
    pub(super) fn home(&mut self, view: &View, workspace: &WorkspaceId) -> Option<InstanceId> {
        let epoch = view.epoch();
        if self.home.as_ref().is_none_or(|(seen, _)| *seen != epoch) {
            self.home = view.home(workspace).map(|home| (epoch, home.clone()));
        }
        self.home.as_ref().map(|(_, home)| home.clone())
    }

    /// Whether nothing is held, wanted or awaited.
    pub(super) fn is_idle(&self, now: Monotonic) -> bool {
        let quiet = self.demand.rate < IDLE || self.demand.updated + QUIET < now;
        self.on_hand(now) == 0 && self.need == 0 && self.outstanding.is_none() && quiet
    }

    /// Tokens to hold beyond what is pending; none if too few requests come to share a lease.
    fn ahead(&self, now: Monotonic, lease_time: Duration) -> u64 {
        let ahead = self.demand.within(now, lease_time / 2, lease_time);
        if ahead < 2 * self.demand.cost() {
            return 0;
        }
        ahead
    }

    /// Tokens that end soon and won't be used before.
    fn surplus(&self, now: Monotonic, lease_time: Duration) -> u64 {
        let soon = now + lease_time / 4;
        let ending = self.leases.iter().filter(|lease| lease.until <= soon);
        let tokens: u64 = ending.map(|lease| lease.tokens).sum();
        tokens.saturating_sub(self.ahead(now, lease_time) / 2)
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
