//! Token buckets of single workspaces.

use std::time::Duration;

use auburnline_core::published::Workspace;
use auburnline_core::time::Monotonic;

/// Most workspaces whose bucket a home or a reserve keeps; the target has 2,600.
pub(super) const MAX_ACCOUNTS: usize = 4096;
/// Part of what is left that one entry gets beyond its need.
const EXTRA_PART: i64 = 4;
/// Shortest time to come back.
const MIN_RETURN: Duration = Duration::from_millis(50);
/// Longest time to come back; returned tokens and changes of view may be sooner than predicted.
const MAX_RETURN: Duration = Duration::from_secs(4);
/// Millionths of a token, the unit of a bucket's level.
const MICRO: i64 = 1_000_000;
/// Nanoseconds in a second.
const NANOS: u128 = 1_000_000_000;

/// Limit of a workspace in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Tokens a second.
    pub rate: u64,
    /// Tokens that may be used at once.
    pub burst: u64,
}

impl Limit {
    /// Returns a published limit times the factor of the preset in force.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a published factor needs no more digits, and the cast saturates"
    )]
    pub fn of(workspace: &Workspace, factor: f64) -> Self {
        let scale = |tokens: u64| (tokens as f64 * factor).max(0.0) as u64;
        Limit {
            rate: scale(workspace.tokens_per_second),
            burst: scale(workspace.burst_tokens),
        }
    }

    /// Micro-tokens that flow in `time` at `parts` of the rate.
    fn inflow(self, time: Duration, share_ppm: u64) -> i64 {
        let micro = u128::from(self.rate) * time.as_nanos() * u128::from(share_ppm) / NANOS;
        i64::try_from(micro).unwrap_or(i64::MAX)
    }

    /// Most micro-tokens that are kept at `parts` of the limit.
    fn cap(self, share_ppm: u64) -> i64 {
        i64::try_from(u128::from(self.burst) * u128::from(share_ppm)).unwrap_or(i64::MAX)
    }

    /// Time in which `micro` flow in at `parts` of the rate.
    fn time(self, micro: i64, share_ppm: u64) -> Duration {
        let flow = u128::from(self.rate) * u128::from(share_ppm);
        if flow == 0 {
            return MAX_RETURN;
        }
        let nanos = u128::from(micro.unsigned_abs()) * NANOS / flow;
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX)).min(MAX_RETURN)
    }
}

/// Bucket of one workspace.
#[derive(Clone, Debug)]
pub(super) struct Account {
    limit: Limit,
    /// Micro-tokens; below zero after a need beyond the burst.
    level: i64,
    updated: Monotonic,
}

impl Account {
    /// Returns a bucket that was empty at `since`.
    pub(super) const fn new(limit: Limit, since: Monotonic) -> Account {
        Account {
            limit,
            level: 0,
            updated: since,
        }
    }

    /// Follows the limit in force.
    pub(super) const fn set_limit(&mut self, limit: Limit) {
        self.limit = limit;
    }

    /// Lets in what flowed since the last call, at `parts` of the limit.
    pub(super) fn refill(&mut self, now: Monotonic, share_ppm: u64) {
        let time = now.saturating_sub(self.updated);
        let filled = self
            .level
            .saturating_add(self.limit.inflow(time, share_ppm));
        self.level = filled.min(self.limit.cap(share_ppm));
        self.updated = now;
    }

    /// Takes tokens back.
    pub(super) fn put_back(&mut self, tokens: u64, share_ppm: u64) {
        let filled = self.level.saturating_add(micro(tokens));
        self.level = filled.min(self.limit.cap(share_ppm).max(self.level));
    }

    /// Returns whether less than half is left.
    pub(super) fn is_scarce(&self, share_ppm: u64) -> bool {
        self.level < self.limit.cap(share_ppm) / 2
    }

    /// Returns whether no more flows in.
    pub(super) fn is_full(&self, share_ppm: u64) -> bool {
        self.level >= self.limit.cap(share_ppm)
    }

    /// Takes `tokens` if all of them are there.
    pub(super) fn spend(&mut self, tokens: u64) -> bool {
        let is_there = self.level >= micro(tokens);
        if is_there {
            self.level -= micro(tokens);
        }
        is_there
    }

    /// Takes the need and a part of what is left beyond it, or nothing.
    pub(super) fn take(&mut self, need: u64, want: u64, share_ppm: u64) -> Result<u64, Duration> {
        let threshold = micro(need).min(self.limit.cap(share_ppm));
        if share_ppm == 0 || self.level < threshold {
            let missing = threshold.saturating_sub(self.level);
            return Err(self.limit.time(missing, share_ppm).max(MIN_RETURN));
        }
        let left = (self.level - micro(need)).max(0) / MICRO / EXTRA_PART;
        let extra = want.saturating_sub(need).min(left.unsigned_abs());
        self.level -= micro(need + extra);
        Ok(need + extra)
    }
}

fn micro(tokens: u64) -> i64 {
    i64::try_from(tokens)
        .unwrap_or(i64::MAX)
        .saturating_mul(MICRO)
}
