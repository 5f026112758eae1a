//! Another gateway as this one knows it, and how long one may be silent.

use std::time::Duration;

use auburnline_core::time::Monotonic;

use super::MEMBER_TIMEOUT;
use super::NEWS_TIMEOUT;
use super::news;
use crate::message::Entry;

/// Mean gaps between two news of a gateway within which one of them is almost certain to arrive.
const GAPS_PER_TIMEOUT: u32 = 5;
/// Weight of one gap in the mean: a fleet of hundreds yields hundreds a second.
const GAP_WEIGHT: f64 = 0.002;

/// Another gateway.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    /// Its state as last described in full.
    pub(super) entry: Entry,
    /// Identifies its incarnation in [`news`].
    pub(super) tag: news::Tag,
    /// Hash of the state in `entry`.
    pub(super) state: u8,
    /// Number of its latest known heartbeat, which may be later than that of `entry`.
    pub(super) heartbeats: u64,
    /// Number of the heartbeat that was the first known of its incarnation.
    pub(super) first_heartbeats: u64,
    /// When news of the latest one arrived.
    pub(super) heard: Monotonic,
    /// When its incarnation or the state in `entry` changed, as far as known here.
    pub(super) changed: Monotonic,
    /// When its last own message arrived, as opposed to news relayed by others.
    pub(super) heard_directly: Option<Monotonic>,
}

impl Peer {
    pub(super) fn new(entry: Entry, heard: Monotonic) -> Peer {
        Peer {
            tag: news::tag(&entry),
            state: news::state(&entry),
            heartbeats: entry.heartbeats,
            first_heartbeats: entry.heartbeats,
            entry,
            heard,
            changed: heard,
            heard_directly: None,
        }
    }

    /// Records a later heartbeat; returns the time since the news before it.
    pub(super) fn advance(&mut self, heartbeats: u64, now: Monotonic) -> Duration {
        let gap = now.saturating_sub(self.heard).min(MEMBER_TIMEOUT);
        self.heartbeats = heartbeats;
        self.heard = now;
        gap
    }

    /// Returns whether the last news is younger than `timeout`.
    pub(super) fn is_alive(&self, timeout: Duration, now: Monotonic) -> bool {
        now.saturating_sub(self.heard) < timeout
    }
}

/// Mean time between two news of a gateway. It grows with the fleet, because the number of news that
/// a gateway gets per second does not.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Gaps {
    mean: Duration,
}

impl Gaps {
    pub(super) fn add(&mut self, gap: Duration) {
        self.mean = self.mean.mul_f64(1.0 - GAP_WEIGHT) + gap.mul_f64(GAP_WEIGHT);
    }

    /// Returns the time without news after which a gateway counts as failed.
    pub(super) fn timeout(self) -> Duration {
        (self.mean * GAPS_PER_TIMEOUT).clamp(NEWS_TIMEOUT, MEMBER_TIMEOUT)
    }
}
