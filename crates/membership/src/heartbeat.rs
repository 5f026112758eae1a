//! Heartbeat periods and session time-outs.
//!
//! A heartbeat announces when the next one is due, so that each end can choose its own period and
//! the other knows the time-out. Sessions with work in flight use a short period, since a caller
//! waits on them. On idle ones the period grows with the number of sessions that a process holds,
//! which keeps its bytes per second within a budget.

use std::time::Duration;

use auburnline_core::time::Monotonic;

/// Period of heartbeats on a session with work in flight.
pub const BUSY_PERIOD: Duration = Duration::from_millis(500);
/// Shortest period of heartbeats on an idle session.
pub const IDLE_PERIOD: Duration = Duration::from_secs(1);
/// Longest period of heartbeats on an idle session.
pub const MAX_PERIOD: Duration = Duration::from_secs(2);
/// Approximate heartbeats per second that a process sends over all its idle sessions.
pub const IDLE_RATE: u32 = 170;
/// Time that a heartbeat may be late before its session times out.
pub const GRACE: Duration = Duration::from_secs(1);

/// Initial backoff before a lost session is reopened, without jitter.
const FIRST_DELAY: Duration = Duration::from_millis(100);
/// Longest backoff before a lost session is reopened.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// Content of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Time until the sender's next heartbeat.
    pub next: Duration,
    /// Whether the sender is leaving; repeated in each heartbeat, since the notice may be lost.
    pub is_leaving: bool,
}

/// Returns the heartbeat period on one session of a process that holds `sessions` of them.
#[must_use]
pub fn period(is_busy: bool, sessions: usize) -> Duration {
    if is_busy {
        return BUSY_PERIOD;
    }
    let sessions = u32::try_from(sessions).unwrap_or(u32::MAX);
    let shared = Duration::from_secs(1).saturating_mul(sessions) / IDLE_RATE;
    shared.clamp(IDLE_PERIOD, MAX_PERIOD)
}

/// Returns the heartbeat period for a process that uses `least` while it has few sessions.
///
/// The period grows as in [`period`], to at most [`MAX_PERIOD`], or `least` if that is longer.
#[must_use]
pub fn period_at_least(least: Duration, sessions: usize) -> Duration {
    let sessions = u32::try_from(sessions).unwrap_or(u32::MAX);
    let shared = Duration::from_secs(1).saturating_mul(sessions) / IDLE_RATE;
    shared.clamp(least, MAX_PERIOD.max(least))
}

/// Returns how long a session may be silent after a message that announced the next in `next`.
///
/// An announced time above [`MAX_PERIOD`] counts as that.
#[must_use]
pub fn allowance(next: Duration) -> Duration {
    next.min(MAX_PERIOD) + GRACE
}

/// Returns when a session times out after a message at `heard` that announced the next in `next`.
#[must_use]
pub fn silent_at(heard: Monotonic, next: Duration) -> Monotonic {
    heard + allowance(next)
}

/// Returns the backoff before a lost session is reopened; it doubles with each of `attempts`.
///
/// The doubling is bounded. `jitter`, drawn from 0 to 1, scales the delay from half to all of it.
#[must_use]
pub fn reopen_delay(attempts: u32, jitter: f64) -> Duration {
    let delay = FIRST_DELAY.mul_f64(f64::from(attempts.min(8)).exp2());
    delay.min(MAX_DELAY).mul_f64(0.5 + jitter / 2.0)
}
