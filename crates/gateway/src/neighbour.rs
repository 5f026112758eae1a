//! Membership of the gateways and their load, by gossip.
//!
//! Each gateway sends a [`Heartbeat`] to a few others several times a second. It describes the
//! sender and relays part of what the sender knows of others, so that every gateway learns of all
//! others without sending to all. A gateway without news for [`NEWS_TIMEOUT`] is no longer offered
//! to callers; one that leaves announces it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use auburnline_core::hash::rendezvous;
use auburnline_core::id::InstanceId;
use auburnline_core::time::Monotonic;
use auburnline_membership::discovery;
use auburnline_membership::discovery::Candidate;
use auburnline_membership::discovery::Offer;
use rand::Rng;
use rand::seq::IteratorRandom as _;

use crate::message::Entry;
use crate::message::Heartbeat;
use crate::route::Version;
use crate::spread;
use crate::upstream::Counts;

/// Interval of heartbeats: several arrive within [`NEWS_TIMEOUT`], and the reported counts of
/// requests in flight stay younger than the requests last.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(300);
/// Time without news after which a gateway counts as failed: five heartbeats, since single ones get
/// lost.
pub const NEWS_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Time without news up to which a gateway may be the home of a limit. It exceeds [`NEWS_TIMEOUT`]
/// because in a fleet of hundreds the latest news of a live gateway may be older, and all gateways
/// have to agree on the home. Those that lend to the home hear from it directly.
const HOME_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without news up to which a gateway counts towards the size of the fleet. In a fleet of
/// hundreds nearly all news is younger.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(5);
/// Receivers of one heartbeat; bounded so that a gateway's cost does not grow with the fleet.
const FANOUT: usize = 6;
/// Maximum other gateways that a heartbeat describes, so that it fits into one datagram.
const MAX_RELAYED: usize = 12;
/// Maximum upstreams for which a heartbeat reports counts.
pub const MAX_COUNTS: usize = 64;
/// Time without news after which a gateway is removed.
const REMOVAL_TIMEOUT: Duration = Duration::from_mins(1);
/// Number of the first heartbeat of a process.
const FIRST_HEARTBEAT: u64 = 1;
/// Heartbeats between two that also go to the seeds, which may have been down before.
const SEED_HEARTBEATS: u64 = 6;

/// The gateway that grants permits for an upstream with a rate limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Home<'a> {
    /// Its last reported state.
    pub(crate) entry: &'a Entry,
    /// When that state was received.
    pub(crate) heard: Monotonic,
}

#[derive(Clone, Debug)]
struct Peer {
    entry: Entry,
    heard: Monotonic,
    /// When its last own message arrived, as opposed to news relayed by others.
    heard_directly: Option<Monotonic>,
}

impl Peer {
    fn is_alive(&self, now: Monotonic) -> bool {
        now.saturating_sub(self.heard) < NEWS_TIMEOUT
    }

    fn may_be_home(&self, now: Monotonic) -> bool {
        now.saturating_sub(self.heard) < HOME_TIMEOUT
    }

    fn is_member(&self, now: Monotonic) -> bool {
        now.saturating_sub(self.heard) < MEMBER_TIMEOUT
    }
}

/// Change of another gateway's state, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// Instance of the gateway.
    pub instance: InstanceId,
    /// Whether it accepts new requests.
    pub is_ready: bool,
}

/// All gateways that this one knows.
#[derive(Clone, Debug)]
pub struct Roster {
    own_entry: Entry,
    seeds: Vec<SocketAddr>,
    others: BTreeMap<InstanceId, Peer>,
    /// Own messages of others count as current only if they arrived after this time.
    ignored_until: Monotonic,
    /// Highest number of members seen at once, including this gateway.
    peak_members: usize,
}

impl Roster {
    /// Returns a roster that knows only this gateway and the addresses of its seeds.
    #[must_use]
    pub fn new(own_entry: Entry, seeds: Vec<SocketAddr>) -> Roster {
        Roster {
            own_entry,
            seeds,
            others: BTreeMap::new(),
            ignored_until: Monotonic::ZERO,
            peak_members: 1,
        }
    }

    /// Sets the addresses that are contacted before other gateways are known.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Sets whether this gateway accepts new requests; returns whether that changed.
    pub fn set_ready(&mut self, is_ready: bool) -> bool {
        let is_changed = self.own_entry.is_ready != is_ready;
        self.own_entry.is_ready = is_ready;
        is_changed
    }

    /// Returns whether this gateway accepts new requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.own_entry.is_ready
    }

    /// Sets the version of the configuration in force at this gateway.
    pub(crate) fn set_version(&mut self, version: Version) {
        self.own_entry.version = Some(version);
    }

    /// Returns the newest version in force at another live gateway, and the address of one that has
    /// it. Different gateways get different addresses, to spread the load: a configuration is the
    /// longest message.
    pub(crate) fn newest_version(&self, now: Monotonic) -> Option<(Version, SocketAddr)> {
        let live = self.others.values().filter(|known| known.is_alive(now));
        let versions = live.filter_map(|known| Some((known.entry.version?, &known.entry)));
        let newest = versions.max_by_key(|(version, entry)| {
            (
                *version,
                rendezvous(&self.own_entry.instance, &entry.instance),
            )
        });
        newest.map(|(version, entry)| (version, entry.peers))
    }

    /// Marks messages received until `now` as possibly outdated.
    pub(crate) fn ignore_until(&mut self, now: Monotonic) {
        self.ignored_until = now;
    }

    /// Returns whether recent own messages have arrived from a gateway that is ready, or from all
    /// other seeds.
    pub(crate) fn is_view_current(&self, now: Monotonic) -> bool {
        let recent = self.others.values().filter(|known| {
            let heard_directly = known.heard_directly.filter(|at| *at > self.ignored_until);
            heard_directly.is_some_and(|at| now.saturating_sub(at) < NEWS_TIMEOUT)
        });
        let recent: Vec<&Entry> = recent.map(|known| &known.entry).collect();
        let heard_directly = |seed: &SocketAddr| recent.iter().any(|entry| entry.peers == *seed);
        let mut seeds = self
            .seeds
            .iter()
            .filter(|seed| **seed != self.own_entry.peers);
        recent.iter().any(|entry| entry.is_ready) || seeds.all(heard_directly)
    }

    /// Sets whether this gateway's last call to the store failed.
    pub fn set_store_unreachable(&mut self, is_store_unreachable: bool) {
        self.own_entry.is_store_unreachable = is_store_unreachable;
    }

    /// Returns whether this gateway's last call to the store failed.
    #[must_use]
    pub const fn is_store_unreachable(&self) -> bool {
        self.own_entry.is_store_unreachable
    }

    /// Returns the addresses of the other gateways that read the store for this one's failure
    /// domain, and whether this gateway is a reader itself.
    #[must_use]
    pub fn readers(&self, now: Monotonic) -> (Vec<SocketAddr>, bool) {
        let live = self.others.values().filter(|known| known.is_alive(now));
        let all: Vec<&Entry> = live
            .map(|known| &known.entry)
            .chain([&self.own_entry])
            .collect();
        let is_near = |entry: &&Entry| entry.failure_domain == self.own_entry.failure_domain;
        // A gateway that the store rejects may use readers of any failure domain.
        let able = all
            .iter()
            .copied()
            .filter(|entry| !entry.is_store_unreachable);
        let mut able: Vec<&Entry> = able
            .filter(|entry| self.own_entry.is_store_unreachable || is_near(entry))
            .collect();
        if able.is_empty() {
            // The store answers no gateway: the readers of each failure domain keep trying for the
            // others.
            able = all.into_iter().filter(is_near).collect();
        }
        let readers = spread::readers(able);
        let is_reader = readers
            .iter()
            .any(|entry| entry.instance == self.own_entry.instance);
        let others = readers
            .iter()
            .filter(|entry| entry.instance != self.own_entry.instance);
        (others.map(|entry| entry.peers).collect(), is_reader)
    }

    /// Returns the gateway with the highest rendezvous score for `key`; one that accepts requests
    /// is preferred.
    pub(crate) fn home(&self, key: &str, now: Monotonic) -> Home<'_> {
        let me = Home {
            entry: &self.own_entry,
            heard: now,
        };
        let others = self.others.values();
        let others = others.filter(|known| known.may_be_home(now));
        let others = others.map(|known| Home {
            entry: &known.entry,
            heard: known.heard,
        });
        let rank = |home: &Home<'_>| {
            let score = rendezvous(key, &home.entry.instance);
            (home.entry.is_ready, score)
        };
        others.chain([me]).max_by_key(rank).unwrap_or(me)
    }

    /// Returns this gateway's own state.
    pub(crate) const fn own_entry(&self) -> &Entry {
        &self.own_entry
    }

    /// Merges a heartbeat; returns which gateways are new, back, or have changed their readiness.
    pub fn receive(&mut self, heartbeat: &Heartbeat, now: Monotonic) -> Vec<Update> {
        let mut updates = Vec::new();
        updates.extend(self.merge(&heartbeat.from, true, now));
        for entry in &heartbeat.others {
            updates.extend(self.merge(entry, false, now));
        }
        // In a fleet of hundreds a single gateway knows only some of the members, and each knows
        // different ones.
        let reported = usize::try_from(heartbeat.members).unwrap_or(0);
        self.peak_members = self.peak_members.max(self.members(now)).max(reported);
        updates
    }

    fn merge(&mut self, entry: &Entry, is_direct: bool, now: Monotonic) -> Option<Update> {
        if entry.instance == self.own_entry.instance {
            return None;
        }
        let known = self.others.get(&entry.instance);
        let is_newer = known.is_none_or(|known| {
            if known.entry.incarnation == entry.incarnation {
                entry.heartbeats > known.entry.heartbeats
            } else {
                // Incarnations have no order, and others may still relay the previous one.
                is_direct || !known.is_alive(now)
            }
        });
        if !is_newer {
            let known = self.others.get_mut(&entry.instance);
            if let Some(known) =
                known.filter(|known| is_direct && known.entry.heartbeats == entry.heartbeats)
            {
                known.heard_directly = Some(now);
            }
            return None;
        }
        let is_update = known
            .is_none_or(|known| !known.is_alive(now) || known.entry.is_ready != entry.is_ready);
        let entry = entry.clone();
        let update = Update {
            instance: entry.instance.clone(),
            is_ready: entry.is_ready,
        };
        let before = known.and_then(|known| known.heard_directly);
        let known = Peer {
            entry,
            heard: now,
            heard_directly: if is_direct { Some(now) } else { before },
        };
        self.others.insert(known.entry.instance.clone(), known);
        is_update.then_some(update)
    }

    /// Returns whether the sender of a heartbeat just started or was considered failed, so that the
    /// others send it nothing.
    #[must_use]
    pub fn needs_join_reply(&self, heartbeat: &Heartbeat, now: Monotonic) -> bool {
        let known = self.others.get(&heartbeat.from.instance);
        heartbeat.from.heartbeats == FIRST_HEARTBEAT
            || known.is_none_or(|known| !known.is_alive(now))
    }

    /// Extends all timeouts by the time for which this process was suspended and received nothing.
    pub fn extend_timeouts(&mut self, pause: Duration) {
        for known in self.others.values_mut() {
            known.heard = known.heard.saturating_add(pause);
        }
    }

    /// Creates the next heartbeat, and removes gateways without news for a long time.
    pub fn next_heartbeat(
        &mut self,
        counts: Counts,
        now: Monotonic,
        rng: &mut impl Rng,
    ) -> Heartbeat {
        self.own_entry.heartbeats += 1;
        self.others
            .retain(|_, known| now.saturating_sub(known.heard) < REMOVAL_TIMEOUT);
        let live = self.others.values().filter(|known| known.is_alive(now));
        let relayed = live.choose_multiple(rng, MAX_RELAYED);
        Heartbeat {
            from: self.own_entry.clone(),
            counts,
            others: relayed
                .into_iter()
                .map(|known| known.entry.clone())
                .collect(),
            members: count(self.members(now)),
        }
    }

    /// Returns the last heartbeat without gossip about others, for a gateway that lends to this
    /// one.
    #[must_use]
    pub fn own_heartbeat(&self, counts: Counts, now: Monotonic) -> Heartbeat {
        Heartbeat {
            from: self.own_entry.clone(),
            counts,
            others: Vec::new(),
            members: count(self.members(now)),
        }
    }

    /// Returns the last heartbeat with gossip about some others, for a gateway that started or came
    /// back.
    pub(crate) fn join_reply(&self, now: Monotonic, rng: &mut impl Rng) -> Heartbeat {
        let live = self.others.values().filter(|known| known.is_alive(now));
        let relayed = live.choose_multiple(rng, MAX_RELAYED);
        Heartbeat {
            others: relayed
                .into_iter()
                .map(|known| known.entry.clone())
                .collect(),
            ..self.own_heartbeat(Counts::new(), now)
        }
    }

    /// Returns the addresses to send the next heartbeat to.
    pub fn targets(&self, now: Monotonic, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let mut targets = self.sample(FANOUT, now, rng);
        let is_isolated = targets.len() < FANOUT / 2;
        if is_isolated || self.own_entry.heartbeats.is_multiple_of(SEED_HEARTBEATS) {
            targets.extend(
                self.seeds
                    .iter()
                    .filter(|seed| **seed != self.own_entry.peers),
            );
        }
        if is_isolated {
            // After a network partition the seeds may be gone while other known gateways are
            // reachable.
            let known = self.others.values().map(|known| known.entry.peers);
            targets.extend(known.choose_multiple(rng, FANOUT));
        }
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Returns the peer addresses of other live gateways, at most `most`, selected at random.
    pub(crate) fn sample(
        &self,
        most: usize,
        now: Monotonic,
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let live = self.others.values().filter(|known| known.is_alive(now));
        let addresses = live.map(|known| known.entry.peers);
        addresses.choose_multiple(rng, most)
    }

    /// Returns the peer addresses of this gateway and of live others, at most `most`.
    #[must_use]
    pub fn addresses(&self, now: Monotonic, most: usize) -> Vec<SocketAddr> {
        let live = self.others.values().filter(|known| known.is_alive(now));
        let others = live.map(|known| known.entry.peers);
        std::iter::once(self.own_entry.peers)
            .chain(others)
            .take(most)
            .collect()
    }

    /// Returns the number of live gateways, including this one.
    #[must_use]
    pub fn live(&self, now: Monotonic) -> usize {
        1 + self
            .others
            .values()
            .filter(|known| known.is_alive(now))
            .count()
    }

    /// Returns the number of members, including this gateway.
    fn members(&self, now: Monotonic) -> usize {
        let others = self.others.values();
        1 + others.filter(|known| known.is_member(now)).count()
    }

    /// Returns the highest number of members seen at once. It is a safe divisor for shared
    /// quantities, since an isolated gateway can't tell whether the others have failed.
    #[must_use]
    pub const fn peak_members(&self) -> usize {
        self.peak_members
    }

    /// Returns the gateways that a caller in `domain` should use.
    #[must_use]
    pub fn offer(&self, domain: Option<&str>, seed: u64, now: Monotonic) -> Offer {
        let others = self.others.values();
        let mut candidates: Vec<Candidate> = others
            .map(|known| candidate(&known.entry, known.is_alive(now)))
            .collect();
        candidates.push(candidate(&self.own_entry, true));
        discovery::offer(&candidates, domain, seed)
    }
}

fn count(members: usize) -> u32 {
    u32::try_from(members).unwrap_or(u32::MAX)
}

fn candidate(entry: &Entry, is_live: bool) -> Candidate {
    Candidate {
        instance: entry.instance.clone(),
        address: entry.callers,
        failure_domain: entry.failure_domain.clone(),
        weight: 1,
        is_up: is_live,
        is_live,
        is_leaving: !entry.is_ready,
    }
}
