//! Selects the gateways that read the store for the others.
//!
//! Each call to the store costs, and each change there ends a poll of every reader, so the number of
//! readers must not grow with the fleet or with its failure domains. In a large fleet a few gateways
//! read. Two relays in each failure domain query these, and all others query the relays of their own
//! domain, so that no gateway answers more than a domain. All gateways select the same ones from the
//! live gateways that reach the store.

use std::net::SocketAddr;
use std::time::Duration;

use auburnline_core::hash::rendezvous;
use auburnline_core::time::Monotonic;

use super::Roster;
use crate::message::Entry;

/// Readers of a large fleet: three, so that two are left while the replacement of a failed one is
/// not yet selected.
const READERS: usize = 3;
/// Relays per failure domain, for the same reason one more than needed.
const RELAYS_PER_DOMAIN: usize = 2;
/// Largest failure domain in which all gateways are readers, since querying each other would save
/// no calls to the store.
const MAX_DOMAIN_OF_READERS: usize = 3;

/// Minimum time between the starts of two reads of the store, by a gateway that reads for itself or
/// by all readers of a large fleet together. Each change ends a poll, and while hundreds of upstreams
/// start, stop or renew their entries there are changes all the time. It delays a change by at most
/// this time for each reader, which is short compared with every bound on such a delay.
const READ_PERIOD: Duration = Duration::from_millis(200);

/// How a gateway learns of changes of the published state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It reads the store.
    Reader,
    /// It queries the readers, for the others of its failure domain.
    Relay,
    /// It queries the relays.
    Follower,
}

/// Gateways by their roles, as far as they concern this one.
struct Selection<'a> {
    role: Role,
    /// Gateways that this one queries; empty for a reader.
    informants: Vec<&'a Entry>,
    /// Minimum time between two of this gateway's reads of the store.
    read_period: Duration,
}

impl Roster {
    /// Returns this gateway's role.
    #[must_use]
    pub fn role(&self, now: Monotonic) -> Role {
        self.select(now).role
    }

    /// Returns the addresses of the gateways that this one queries; empty if it reads the store.
    #[must_use]
    pub fn informants(&self, now: Monotonic) -> Vec<SocketAddr> {
        let informants = self.select(now).informants.into_iter();
        informants.map(|entry| entry.peers).collect()
    }

    /// Returns the minimum time between the starts of two reads of the store by this gateway.
    #[must_use]
    pub fn read_period(&self, now: Monotonic) -> Duration {
        self.select(now).read_period
    }

    fn select(&self, now: Monotonic) -> Selection<'_> {
        let live = self.live_peers(now);
        let all: Vec<&Entry> = live
            .map(|known| &known.entry)
            .chain([&self.own_entry])
            .collect();
        let is_able = |entry: &&&Entry| !entry.is_store_unreachable;
        let is_near = |entry: &&&Entry| entry.failure_domain == self.own_entry.failure_domain;
        let able: Vec<&Entry> = all.iter().filter(is_able).copied().collect();
        if able.is_empty() {
            // The store answers no gateway: two of each failure domain keep trying for the others.
            let near = all.iter().filter(is_near).copied().collect();
            return self.reading(relays(near));
        }
        let near: Vec<&Entry> = able.iter().filter(is_near).copied().collect();
        if near.is_empty() {
            // The store rejects this whole failure domain.
            return self.reading(top(able, "readers", RELAYS_PER_DOMAIN));
        }
        if near.len() <= MAX_DOMAIN_OF_READERS {
            return self.reading(near);
        }
        let readers = top(able, "store", READERS);
        let relays = relays(near);
        if self.is_among(&readers) {
            // All relays hear of a change from the reader that is first to read it.
            let readers = u32::try_from(readers.len()).unwrap_or(1);
            Selection {
                role: Role::Reader,
                informants: Vec::new(),
                read_period: READ_PERIOD * readers,
            }
        } else if self.is_among(&relays) {
            Selection {
                role: Role::Relay,
                informants: readers,
                read_period: READ_PERIOD,
            }
        } else {
            Selection {
                role: Role::Follower,
                informants: relays,
                read_period: READ_PERIOD,
            }
        }
    }

    /// Returns the selection if `readers` inform this gateway unless it is one of them.
    fn reading<'a>(&self, readers: Vec<&'a Entry>) -> Selection<'a> {
        if self.is_among(&readers) {
            return Selection {
                role: Role::Reader,
                informants: Vec::new(),
                read_period: READ_PERIOD,
            };
        }
        Selection {
            role: Role::Follower,
            informants: readers,
            read_period: READ_PERIOD,
        }
    }

    fn is_among(&self, entries: &[&Entry]) -> bool {
        let mut entries = entries.iter();
        entries.any(|entry| entry.instance == self.own_entry.instance)
    }
}

/// Returns the relays among the gateways of a failure domain.
fn relays(near: Vec<&Entry>) -> Vec<&Entry> {
    if near.len() <= MAX_DOMAIN_OF_READERS {
        return near;
    }
    top(near, "readers", RELAYS_PER_DOMAIN)
}

/// Returns the `count` entries with the highest rendezvous scores for `key`.
fn top<'a>(mut entries: Vec<&'a Entry>, key: &str, count: usize) -> Vec<&'a Entry> {
    if entries.len() > count {
        let score = |entry: &&Entry| std::cmp::Reverse(rendezvous(key, &entry.instance));
        entries.select_nth_unstable_by_key(count, score);
        entries.truncate(count);
    }
    entries
}
