//! What control may use of an instance's link.
//!
//! The ranks of a group all speak to the one that leads, so what it sends and makes others send to it grows with the group,
//! while its link does not. Beyond a stated part of the link the work is shared: some ranks collect the counts of others,
//! some pass orders on, and whole maps leave one after the other. What a link can't carry at once is lost, not late.

use std::time::Duration;

use auburnline_core::time::Monotonic;

use crate::to_f64;

/// Part of a link that counts of experts may take on their way to the lead. Summed counts are larger than those of one
/// rank by up to a half, and other words need their room.
const COUNTS_PART: f64 = 0.4;
/// Part of a link that the lead's words to gateways may take: most of them are sent on by gateways, whose links are wider.
const WORDS_PART: f64 = 0.1;
/// Part of a link that whole maps may take, which are sent where what differs is not enough.
const MAPS_PART: f64 = 0.4;
/// Bytes of one count on the wire: few exceed 127 within one look.
const COUNT_BYTES: usize = 1;
/// Receivers that are told directly whatever the link, so that few of them never wait for one another.
const LEAST_DIRECT: usize = 12;

/// Most receivers to which one message is passed on. The root of 340 gateways is 19; a broken message must not make an instance
/// send thousands.
pub const MOST_PASSED_ON: usize = 64;

/// Link of an instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    bytes_per_second: f64,
}

impl Link {
    /// Returns a link of so many megabits a second.
    #[must_use]
    pub fn of_mbps(mbps: f64) -> Link {
        let bytes_per_second = mbps * 1e6 / 8.0;
        Link { bytes_per_second }
    }

    /// Returns how many messages of `bytes` fit into a part of the link within `period`.
    fn fitting(self, part: f64, bytes: usize, period: Duration) -> f64 {
        self.bytes_per_second * part * period.as_secs_f64() / to_f64(bytes.max(1))
    }

    /// Returns how many of `ranks` may send the counts of `experts` over all layers to the lead in each `period`; the others
    /// send theirs to one of these, which adds them up.
    #[must_use]
    pub fn collectors(self, ranks: usize, experts: usize, period: Duration) -> usize {
        let fitting = self.fitting(COUNTS_PART, experts * COUNT_BYTES, period);
        shared(ranks, fitting)
    }

    /// Returns how many of `gateways` the lead tells itself with each word of `bytes`; these pass it on to the others.
    #[must_use]
    pub fn first_told(self, gateways: usize, bytes: usize, period: Duration) -> usize {
        let fitting = self.fitting(WORDS_PART, bytes, period);
        shared(gateways, fitting)
    }

    /// Returns how long a whole map of `bytes` takes of the part of the link that such maps may have.
    #[must_use]
    pub fn map_time(self, bytes: usize) -> Duration {
        let seconds = to_f64(bytes) / (self.bytes_per_second * MAPS_PART).max(f64::EPSILON);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}

/// Returns how many of `all` are reached directly where a link bears `fitting`.
fn shared(all: usize, fitting: f64) -> usize {
    if all <= LEAST_DIRECT || to_f64(all) <= fitting {
        return all;
    }
    hops(all)
}

/// Returns how many of `all` receivers are told first where these pass on to the others: as many as each of them then has to
/// tell, which keeps both shares small.
#[must_use]
pub fn hops(all: usize) -> usize {
    if all <= LEAST_DIRECT {
        return all;
    }
    (1..all).find(|hops| hops * hops >= all).unwrap_or(all)
}

/// Times at which something large may be sent.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pacer {
    free_at: Monotonic,
}

impl Pacer {
    /// Takes that something is sent which uses its part of the link for `time`; returns whether it may be.
    pub(crate) fn try_acquire(&mut self, time: Duration, now: Monotonic) -> bool {
        let is_free = now >= self.free_at;
        if is_free {
            self.free_at = now.saturating_add(time);
        }
        is_free
    }
}

/// Splits receivers into `first` parts of about the same size; the first of each part is told and passes on to the others.
pub fn parts<T>(receivers: &[T], first: usize) -> impl Iterator<Item = &[T]> {
    let size = receivers.len().div_ceil(first.max(1)).max(1);
    receivers.chunks(size)
}
