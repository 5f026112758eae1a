//! Token bucket of one workspace.

use std::time::Duration;

use auburnline_core::published::Workspace;
use auburnline_core::time::Monotonic;

/// Maximum number of workspaces with a bucket in a home or a reserve. The target deployment has 2,600 workspaces.
pub(super) const MAX_ACCOUNTS: usize = 4096;
/// A grant exceeds the need by at most a quarter of the tokens that remain after it.
const EXTRA_DIVISOR: i64 = 4;
/// Lower bound of the retry time.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Upper bound of the retry time. Returned tokens or a change of the view may allow a grant sooner than predicted.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);
/// The level of a bucket is in micro-tokens.
const MICROS_PER_TOKEN: i64 = 1_000_000;
const NANOS_PER_SECOND: u128 = 1_000_000_000;

/// Limit of a workspace under the preset in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Tokens per second.
    pub rate: u64,
    /// Capacity of the token bucket, in tokens.
    pub burst: u64,
}

impl Limit {
    /// Returns the published limit of `workspace` multiplied by `factor`, the limit factor of the preset in force.
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

    /// Micro-tokens added in `time` at `share_ppm` of the rate.
    fn inflow(self, time: Duration, share_ppm: u64) -> i64 {
        let micro =
            u128::from(self.rate) * time.as_nanos() * u128::from(share_ppm) / NANOS_PER_SECOND;
        i64::try_from(micro).unwrap_or(i64::MAX)
    }

    /// Capacity in micro-tokens at `share_ppm` of the limit.
    fn cap(self, share_ppm: u64) -> i64 {
        i64::try_from(u128::from(self.burst) * u128::from(share_ppm)).unwrap_or(i64::MAX)
    }

    /// Time in which `micro` micro-tokens are added at `share_ppm` of the rate, at most [`MAX_RETRY_AFTER`].
    fn fill_time(self, micro: i64, share_ppm: u64) -> Duration {
        let flow = u128::from(self.rate) * u128::from(share_ppm);
        if flow == 0 {
            return MAX_RETRY_AFTER;
        }
        let nanos = u128::from(micro.unsigned_abs()) * NANOS_PER_SECOND / flow;
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX)).min(MAX_RETRY_AFTER)
    }
}

/// Token bucket of one workspace.
#[derive(Clone, Debug)]
pub(super) struct Account {
    limit: Limit,
    /// Micro-tokens; negative after a grant for a need above the capacity.
    level: i64,
    updated: Monotonic,
}

impl Account {
    /// Returns a bucket that was empty at `since` and is refilled from then on.
    pub(super) const fn new(limit: Limit, since: Monotonic) -> Account {
        Account {
            limit,
            level: 0,
            updated: since,
        }
    }

    /// Sets the limit; the level is cut to a smaller capacity at the next refill.
    pub(super) const fn set_limit(&mut self, limit: Limit) {
        self.limit = limit;
    }

    /// Adds the tokens for the time since the last call, at `share_ppm` of the limit.
    pub(super) fn refill(&mut self, now: Monotonic, share_ppm: u64) {
        let time = now.saturating_sub(self.updated);
        let filled = self
            .level
            .saturating_add(self.limit.inflow(time, share_ppm));
        self.level = filled.min(self.limit.cap(share_ppm));
        self.updated = now;
    }

    /// Adds returned tokens, up to the capacity. A level that is above the capacity already is kept.
    pub(super) fn put_back(&mut self, tokens: u64, share_ppm: u64) {
        let filled = self.level.saturating_add(micro(tokens));
        self.level = filled.min(self.limit.cap(share_ppm).max(self.level));
    }

    /// Returns whether the level is below half of the capacity.
    pub(super) fn is_scarce(&self, share_ppm: u64) -> bool {
        self.level < self.limit.cap(share_ppm) / 2
    }

    /// Returns whether the level has reached the capacity.
    pub(super) fn is_full(&self, share_ppm: u64) -> bool {
        self.level >= self.limit.cap(share_ppm)
    }

    /// Removes `tokens` if all of them are available, and returns whether it did.
    pub(super) fn spend(&mut self, tokens: u64) -> bool {
        let is_available = self.level >= micro(tokens);
        if is_available {
            self.level -= micro(tokens);
        }
        is_available
    }

    /// Removes `need` and up to a quarter of what remains, `want` at most, and returns the tokens removed.
    ///
    /// A need above the capacity is met when the bucket is full, and the level becomes negative. Fails with the
    /// time until the need can be met.
    pub(super) fn take(&mut self, need: u64, want: u64, share_ppm: u64) -> Result<u64, Duration> {
        let threshold = micro(need).min(self.limit.cap(share_ppm));
        if share_ppm == 0 || self.level < threshold {
            let missing = threshold.saturating_sub(self.level);
            return Err(self
                .limit
                .fill_time(missing, share_ppm)
                .max(MIN_RETRY_AFTER));
        }
        let left = (self.level - micro(need)).max(0) / MICROS_PER_TOKEN / EXTRA_DIVISOR;
        let extra = want.saturating_sub(need).min(left.unsigned_abs());
        self.level -= micro(need + extra);
        Ok(need + extra)
    }
}

fn micro(tokens: u64) -> i64 {
    i64::try_from(tokens)
        .unwrap_or(i64::MAX)
        .saturating_mul(MICROS_PER_TOKEN)
}
