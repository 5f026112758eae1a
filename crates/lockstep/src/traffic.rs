//! Bounds on the control traffic of an instance's link.
//!
//! All ranks of a group talk to the leader, so the traffic on its link grows with the group while the link does not.
//! Beyond a fixed share of the link the work is distributed: some ranks aggregate the counts of others, some forward
//! orders, and full maps are sent one after the other. Messages that exceed the link at one moment are lost, not
//! delayed.

use std::time::Duration;

use auburnline_core::time::Monotonic;

use crate::to_f64;

/// Share of the leader's link for incoming expert counts. Summed counts are up to a half larger than those of one
/// rank, and other messages need room too.
const COUNTS_SHARE: f64 = 0.4;
/// Share of the leader's link for digests to gateways. Most of them are forwarded by gateways, whose links are
/// wider.
const DIGESTS_SHARE: f64 = 0.1;
/// Share of the leader's link for full maps, which are sent where a delta is not enough.
const MAPS_SHARE: f64 = 0.4;
/// Bytes of one count on the wire. Counts are variable-length integers, and few exceed 127 within one poll.
const COUNT_BYTES: usize = 1;
/// Number of receivers up to which all are reached directly, whatever the link, so that a few
/// receivers never depend on one another.
const MIN_DIRECT: usize = 12;

/// Most receivers to which one message is forwarded. For 340 gateways the fan-out is 19, their square root; a
/// malformed message must not make an instance send thousands.
pub const MAX_FORWARDED: usize = 64;

/// Network link of an instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    bytes_per_second: f64,
}

impl Link {
    /// Returns a link of `mbps` megabits per second.
    #[must_use]
    pub fn of_mbps(mbps: f64) -> Link {
        let bytes_per_second = mbps * 1e6 / 8.0;
        Link { bytes_per_second }
    }

    /// Returns how many messages of `bytes` fit into a share of the link within `period`.
    fn messages_within(self, share: f64, bytes: usize, period: Duration) -> f64 {
        self.bytes_per_second * share * period.as_secs_f64() / to_f64(bytes.max(1))
    }

    /// Returns how many of `ranks` may send the counts of `experts`, over all layers, to the leader in each `period`.
    /// The other ranks send theirs to one of these, which sums them.
    #[must_use]
    pub fn aggregators(self, ranks: usize, experts: usize, period: Duration) -> usize {
        let fitting = self.messages_within(COUNTS_SHARE, experts * COUNT_BYTES, period);
        direct_receivers(ranks, fitting)
    }

    /// Returns how many of `gateways` the leader sends each digest of `bytes` to; these forward it to the others.
    #[must_use]
    pub fn direct_gateways(self, gateways: usize, bytes: usize, period: Duration) -> usize {
        let fitting = self.messages_within(DIGESTS_SHARE, bytes, period);
        direct_receivers(gateways, fitting)
    }

    /// Returns how long a full map of `bytes` occupies the share of the link for such maps.
    #[must_use]
    pub fn map_time(self, bytes: usize) -> Duration {
        let seconds = to_f64(bytes) / (self.bytes_per_second * MAPS_SHARE).max(f64::EPSILON);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}

/// Returns how many of `all` receivers are reached directly over a link that carries `fitting` messages.
fn direct_receivers(all: usize, fitting: f64) -> usize {
    if all <= MIN_DIRECT || to_f64(all) <= fitting {
        return all;
    }
    fan_out(all)
}

/// Returns how many of `all` receivers get a message directly where these forward it to the others: about the
/// square root of `all`, so that the sender and each forwarder send about as many messages.
#[must_use]
pub fn fan_out(all: usize) -> usize {
    if all <= MIN_DIRECT {
        return all;
    }
    (1..all)
        .find(|direct| direct * direct >= all)
        .unwrap_or(all)
}

/// Rate limiter for large messages on a share of the link.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pacer {
    free_at: Monotonic,
}

impl Pacer {
    /// Returns whether a message may be sent that occupies its share of the link for `time`; if so, reserves it.
    pub(crate) fn try_acquire(&mut self, time: Duration, now: Monotonic) -> bool {
        let is_free = now >= self.free_at;
        if is_free {
            self.free_at = now.saturating_add(time);
        }
        is_free
    }
}

/// Splits receivers into at most `first` parts of about the same size. The first of each part gets the message and
/// forwards it to the rest of its part.
pub fn fan_out_parts<T>(receivers: &[T], first: usize) -> impl Iterator<Item = &[T]> {
    let size = receivers.len().div_ceil(first.max(1)).max(1);
    receivers.chunks(size)
}
