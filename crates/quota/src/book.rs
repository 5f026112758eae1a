//! Limits in force, as answers and other gateways tell them.
//!
//! A limit holds for one start of an upstream, from the answer that names it until an answer that does not. Answers overtake
//! each other, so an answer ends a limit only if its request was sent after the limit was last named. Gateways tell each other
//! what they know with its age, and the newest word wins. An ended limit is remembered for [`MEMORY`], so that older news
//! doesn't bring it back.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use auburnline_core::time::Monotonic;
use serde::Deserialize;
use serde::Serialize;

use crate::Rate;
use crate::UpstreamTag;

/// Time for which an ended limit is remembered: far longer than news needs to reach all gateways.
pub const MEMORY: Duration = Duration::from_mins(1);
/// Limits that one message tells at most, so that it stays within one packet.
pub const MOST_NOTICES: usize = 56;
/// Limits that are remembered at most.
const MOST: usize = 4_096;
/// Least rate that is kept: without an answer now and then nobody would learn that the limit ended.
pub const LEAST_RATE: Rate = 0.2;

/// Time since [`EARLIER`] before the start of the process: a limit may be older than this gateway.
type Moment = Duration;
/// Longest time before the start of the process that is told apart.
const EARLIER: Duration = Duration::from_hours(24);

fn moment(now: Monotonic) -> Moment {
    now + EARLIER
}

/// What one gateway tells others of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    /// Upstream.
    pub upstream: UpstreamTag,
    /// Limit; none once it ended.
    pub rate: Option<Rate>,
    /// Milliseconds since the upstream said so.
    pub age_ms: u32,
}

/// Where a gateway learned of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Teller {
    /// From an answer to one of its own requests.
    Upstream,
    /// From another gateway.
    Gateway(SocketAddr),
}

/// A limit in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests a second from all gateways together.
    pub rate: Rate,
    /// Who told it.
    pub teller: Teller,
    /// Time since the upstream last named it.
    pub age: Duration,
}

/// A limit that was named, changed or ended, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct News {
    /// Upstream.
    pub upstream: UpstreamTag,
    /// Limit; none if it ended.
    pub rate: Option<Rate>,
    /// Who told it.
    pub teller: Teller,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    rate: Option<Rate>,
    teller: Teller,
    said: Moment,
}

impl Entry {
    fn notice(&self, upstream: UpstreamTag, now: Moment) -> Notice {
        Notice {
            upstream,
            rate: self.rate,
            age_ms: millis(now.saturating_sub(self.said)),
        }
    }
}

/// All limits that a gateway knows.
#[derive(Clone, Debug, Default)]
pub struct Book {
    entries: BTreeMap<UpstreamTag, Entry>,
    /// Where the next round of notices begins, if not all fit into one message.
    next: UpstreamTag,
}

impl Book {
    /// Returns whether nothing was heard of any limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the limit of an upstream, if it named one.
    #[must_use]
    pub fn limit(&self, upstream: UpstreamTag, now: Monotonic) -> Option<Limit> {
        let entry = self.entries.get(&upstream)?;
        Some(Limit {
            rate: entry.rate?,
            teller: entry.teller,
            age: moment(now).saturating_sub(entry.said),
        })
    }

    /// Returns all limits in force.
    pub fn in_force(&self, now: Monotonic) -> impl Iterator<Item = Notice> {
        let entries = self.entries.iter();
        let entries = entries.filter(|(_, entry)| entry.rate.is_some());
        entries.map(move |(upstream, entry)| entry.notice(*upstream, moment(now)))
    }

    /// Takes what an answer says of its upstream's limit; its request was sent at `sent`.
    pub fn answered(
        &mut self,
        upstream: UpstreamTag,
        rate: Option<Rate>,
        sent: Monotonic,
        now: Monotonic,
    ) -> Option<News> {
        if rate.is_none() && !self.entries.contains_key(&upstream) {
            return None;
        }
        let said = if rate.is_some() { now } else { sent };
        self.take(upstream, rate, Teller::Upstream, moment(said))
    }

    /// Takes what another gateway tells; returns what changed.
    pub fn hear(&mut self, notices: &[Notice], from: SocketAddr, now: Monotonic) -> Vec<News> {
        let heard = notices.iter().filter_map(|notice| {
            let age = Duration::from_millis(notice.age_ms.into());
            let said = moment(now).saturating_sub(age);
            self.take(notice.upstream, notice.rate, Teller::Gateway(from), said)
        });
        heard.collect()
    }

    /// Returns what to tell other gateways; where that is too much for one message, the rest follows with the next ones.
    pub fn notices(&mut self, now: Monotonic) -> Vec<Notice> {
        let now = moment(now);
        let later = self.entries.range(self.next..);
        let earlier = self.entries.range(..self.next);
        let told: Vec<_> = later.chain(earlier).take(MOST_NOTICES + 1).collect();
        let next = told.get(MOST_NOTICES).map_or(0, |(upstream, _)| **upstream);
        let notices = told.into_iter().take(MOST_NOTICES);
        let notices = notices.map(|(upstream, entry)| entry.notice(*upstream, now));
        let notices = notices.collect();
        self.next = next;
        notices
    }

    /// Forgets limits of upstreams that are gone, and those that ended long ago.
    pub fn forget(&mut self, is_known: impl Fn(UpstreamTag) -> bool, now: Monotonic) {
        let now = moment(now);
        self.entries.retain(|upstream, entry| {
            let is_recent = now.saturating_sub(entry.said) < MEMORY;
            is_known(*upstream) && (entry.rate.is_some() || is_recent)
        });
    }

    fn take(
        &mut self,
        upstream: UpstreamTag,
        rate: Option<Rate>,
        teller: Teller,
        said: Moment,
    ) -> Option<News> {
        let rate = rate.filter(|rate| rate.is_finite());
        let rate = rate.map(|rate| rate.max(LEAST_RATE));
        let known = self.entries.get(&upstream);
        let is_newer = known.is_none_or(|known| said > known.said);
        if !is_newer || (known.is_none() && self.entries.len() >= MOST) {
            return None;
        }
        let before = known.and_then(|known| known.rate);
        let is_change = before != rate;
        let teller = match known {
            Some(known) if !is_change => known.teller,
            _ => teller,
        };
        let entry = Entry { rate, teller, said };
        self.entries.insert(upstream, entry);
        is_change.then_some(News {
            upstream,
            rate,
            teller,
        })
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
