//! Limits in force, learned from responses and from other gateways.
//!
//! A limit applies to one process start of an upstream, from a response that carries the limit until a response that does
//! not. Responses may be reordered, so a response ends a limit only if its request was sent after the limit was last seen.
//! Gateways exchange limits together with their age, and the most recent statement wins. An ended limit is kept for
//! [`RETENTION`], so that an older notice does not reinstate it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use auburnline_core::time::Monotonic;
use serde::Deserialize;
use serde::Serialize;

use crate::Rate;
use crate::UpstreamTag;

/// Time for which a limit is kept once it ended or its upstream is gone: much longer than a notice
/// takes to reach all gateways.
pub const RETENTION: Duration = Duration::from_mins(1);
/// Maximum number of notices in one message, so that it fits into one packet.
pub const MAX_NOTICES: usize = 56;
/// Maximum number of limits that are stored, including ended ones.
const MAX_ENTRIES: usize = 4_096;
/// Lower bound for a stored rate: without an occasional response, gateways would not learn that the limit has ended.
pub const MIN_RATE: Rate = 0.2;

/// Time since [`EPOCH_OFFSET`] before the start of the process, since a limit may be older than this gateway.
type SinceEpoch = Duration;
/// Longest time before the start of the process that can be represented; earlier times are clamped.
const EPOCH_OFFSET: Duration = Duration::from_hours(24);

fn since_epoch(now: Monotonic) -> SinceEpoch {
    now + EPOCH_OFFSET
}

/// A limit as sent to other gateways.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    /// Upstream that set the limit.
    pub upstream: UpstreamTag,
    /// Limit in force; `None` once it has ended.
    pub rate: Option<Rate>,
    /// Milliseconds since the upstream stated this.
    pub age_ms: u32,
}

/// Where a gateway learned a limit from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Teller {
    /// A response to one of its own requests.
    Upstream,
    /// Another gateway, with its address.
    Gateway(SocketAddr),
}

/// A limit in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests per second that the upstream accepts from all gateways combined.
    pub rate: Rate,
    /// Where the current rate was learned from.
    pub teller: Teller,
    /// Time since the upstream last stated the limit.
    pub age: Duration,
}

/// A limit that was set, changed or ended, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Update {
    /// Upstream that set the limit.
    pub upstream: UpstreamTag,
    /// New limit; `None` if it ended.
    pub rate: Option<Rate>,
    /// Where the change was learned from.
    pub teller: Teller,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    rate: Option<Rate>,
    teller: Teller,
    stated_at: SinceEpoch,
}

impl Entry {
    fn notice(&self, upstream: UpstreamTag, now: SinceEpoch) -> Notice {
        Notice {
            upstream,
            rate: self.rate,
            age_ms: millis(now.saturating_sub(self.stated_at)),
        }
    }
}

/// Limits known to a gateway, including recently ended ones.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: BTreeMap<UpstreamTag, Entry>,
    /// First upstream of the next message, if the notices do not fit into one.
    next: UpstreamTag,
}

impl Registry {
    /// Returns whether no limit is stored, not even an ended one.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the limit in force for an upstream.
    #[must_use]
    pub fn limit(&self, upstream: UpstreamTag, now: Monotonic) -> Option<Limit> {
        let entry = self.entries.get(&upstream)?;
        Some(Limit {
            rate: entry.rate?,
            teller: entry.teller,
            age: since_epoch(now).saturating_sub(entry.stated_at),
        })
    }

    /// Returns all limits in force.
    pub fn in_force(&self, now: Monotonic) -> impl Iterator<Item = Notice> {
        let entries = self.entries.iter();
        let entries = entries.filter(|(_, entry)| entry.rate.is_some());
        entries.map(move |(upstream, entry)| entry.notice(*upstream, since_epoch(now)))
    }

    /// Records the limit carried by a response to a request sent at `sent`, or its absence; returns what changed.
    pub fn answered(
        &mut self,
        upstream: UpstreamTag,
        rate: Option<Rate>,
        sent: Monotonic,
        now: Monotonic,
    ) -> Option<Update> {
        if rate.is_none() && !self.entries.contains_key(&upstream) {
            return None;
        }
        let stated_at = if rate.is_some() { now } else { sent };
        self.take(upstream, rate, Teller::Upstream, since_epoch(stated_at))
    }

    /// Merges notices from another gateway; returns what changed.
    pub fn merge(&mut self, notices: &[Notice], from: SocketAddr, now: Monotonic) -> Vec<Update> {
        let heard = notices.iter().filter_map(|notice| {
            let age = Duration::from_millis(notice.age_ms.into());
            let stated_at = since_epoch(now).saturating_sub(age);
            self.take(
                notice.upstream,
                notice.rate,
                Teller::Gateway(from),
                stated_at,
            )
        });
        heard.collect()
    }

    /// Returns the notices for the next message to other gateways. If they do not all fit, successive calls rotate through them.
    pub fn notices(&mut self, now: Monotonic) -> Vec<Notice> {
        let now = since_epoch(now);
        let later = self.entries.range(self.next..);
        let earlier = self.entries.range(..self.next);
        let selected: Vec<_> = later.chain(earlier).take(MAX_NOTICES + 1).collect();
        let next = selected
            .get(MAX_NOTICES)
            .map_or(0, |(upstream, _)| **upstream);
        let notices = selected.into_iter().take(MAX_NOTICES);
        let notices = notices.map(|(upstream, entry)| entry.notice(*upstream, now));
        let notices = notices.collect();
        self.next = next;
        notices
    }

    /// Drops limits that ended, or whose upstream is gone, if they were last stated more than
    /// [`RETENTION`] ago. The entry of an upstream may be removed and written again while it runs.
    pub fn forget(&mut self, is_known: impl Fn(UpstreamTag) -> bool, now: Monotonic) {
        let now = since_epoch(now);
        self.entries.retain(|upstream, entry| {
            let is_recent = now.saturating_sub(entry.stated_at) < RETENTION;
            is_recent || (is_known(*upstream) && entry.rate.is_some())
        });
    }

    fn take(
        &mut self,
        upstream: UpstreamTag,
        rate: Option<Rate>,
        teller: Teller,
        stated_at: SinceEpoch,
    ) -> Option<Update> {
        let rate = rate.filter(|rate| rate.is_finite());
        let rate = rate.map(|rate| rate.max(MIN_RATE));
        let known = self.entries.get(&upstream);
        let is_newer = known.is_none_or(|known| stated_at > known.stated_at);
        if !is_newer || (known.is_none() && self.entries.len() >= MAX_ENTRIES) {
            return None;
        }
        let before = known.and_then(|known| known.rate);
        let is_change = before != rate;
        let teller = match known {
            Some(known) if !is_change => known.teller,
            _ => teller,
        };
        let entry = Entry {
            rate,
            teller,
            stated_at,
        };
        self.entries.insert(upstream, entry);
        is_change.then_some(Update {
            upstream,
            rate,
            teller,
        })
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
