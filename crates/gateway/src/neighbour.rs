//! Membership of the gateways and their load, by gossip.
//!
//! Each gateway sends a [`Heartbeat`] to a few others several times a second. It describes the
//! sender and relays part of what the sender knows of others, and compact [`news`] of many more go
//! with it, so that every gateway learns of all others without sending to all. A gateway without
//! news for [`NEWS_TIMEOUT`], or for longer in a fleet whose news come more rarely, is no longer
//! offered to callers; one that leaves announces it.

mod heartbeat;
pub mod news;
mod peer;
pub mod reader;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use auburnline_core::hash::rendezvous;
use auburnline_core::id::InstanceId;
use auburnline_core::time::Monotonic;
use auburnline_membership::discovery;
use auburnline_membership::discovery::Candidate;
use auburnline_membership::discovery::Offer;

use self::peer::Gaps;
use self::peer::Peer;
use crate::message::Entry;
use crate::message::Heartbeat;
use crate::route::Version;

/// Interval of heartbeats: several arrive within [`NEWS_TIMEOUT`], and the reported counts of
/// requests in flight stay younger than the requests last.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(300);
/// Least time without news after which a gateway counts as failed: five heartbeats, since single
/// ones get lost.
pub const NEWS_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Time without news up to which a gateway may be the home of a limit. It exceeds [`NEWS_TIMEOUT`]
/// because in a fleet of hundreds the latest news of a live gateway may be older, and all gateways
/// have to agree on the home. Those that lend to the home hear from it directly.
const HOME_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without news up to which a gateway counts towards the size of the fleet. In a fleet of
/// hundreds nearly all news is younger.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum upstreams for which a heartbeat reports counts.
pub const MAX_COUNTS: usize = 64;
/// Time without news after which a gateway is removed.
const REMOVAL_TIMEOUT: Duration = Duration::from_mins(1);
/// Longest time after its start for which a gateway's view of the fleet may be forming. After that
/// the others that it does not know have failed or are cut off.
const FORMING_TIME: Duration = Duration::from_secs(3);
/// Part of the members that a formed view holds: three quarters.
const FORMED_FACTOR: usize = 3;
const FORMED_DIVISOR: usize = 4;
/// Past incarnations that are remembered beyond as many as there are gateways.
const MIN_PAST_TAGS: usize = 64;
/// Number of the first heartbeat of a process.
const FIRST_HEARTBEAT: u64 = 1;

/// The gateway that grants permits for an upstream with a rate limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Home<'a> {
    /// Its last reported state.
    pub(crate) entry: &'a Entry,
    /// When that state was received.
    pub(crate) heard: Monotonic,
}

/// Change of another gateway's state, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// Instance of the gateway.
    pub instance: InstanceId,
    /// Whether it accepts new requests.
    pub is_ready: bool,
}

impl Update {
    fn of(entry: &Entry) -> Update {
        Update {
            instance: entry.instance.clone(),
            is_ready: entry.is_ready,
        }
    }
}

/// All gateways that this one knows.
#[derive(Clone, Debug)]
pub struct Roster {
    own_entry: Entry,
    own_tag: news::Tag,
    seeds: Vec<SocketAddr>,
    others: BTreeMap<InstanceId, Peer>,
    /// Instances by the tags of their incarnations, past ones included.
    tags: HashMap<news::Tag, InstanceId>,
    gaps: Gaps,
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
            own_tag: news::tag(&own_entry),
            own_entry,
            seeds,
            others: BTreeMap::new(),
            tags: HashMap::new(),
            gaps: Gaps::default(),
            ignored_until: Monotonic::ZERO,
            peak_members: 1,
        }
    }

    /// Returns whether news of a gateway is recent enough for it to count as running.
    fn is_alive(&self, known: &Peer, now: Monotonic) -> bool {
        now.saturating_sub(known.heard) < self.gaps.timeout()
    }

    fn may_be_home(&self, known: &Peer, now: Monotonic) -> bool {
        now.saturating_sub(known.heard) < self.gaps.timeout().max(HOME_TIMEOUT)
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
        let live = self
            .others
            .values()
            .filter(|known| self.is_alive(known, now));
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

    /// Returns the gateway with the highest rendezvous score for `key`; one that accepts requests
    /// is preferred.
    pub(crate) fn home(&self, key: &str, now: Monotonic) -> Home<'_> {
        let me = Home {
            entry: &self.own_entry,
            heard: now,
        };
        let others = self.others.values();
        let others = others.filter(|known| self.may_be_home(known, now));
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
        let timeout = self.gaps.timeout();
        let known = match self.others.get_mut(&entry.instance) {
            Some(known) if known.entry.incarnation == entry.incarnation => known,
            // Incarnations have no order, and others may still relay the previous one.
            Some(known) if !is_direct && now.saturating_sub(known.heard) < timeout => return None,
            _ => return self.add(entry, is_direct, now),
        };
        if is_direct && entry.heartbeats >= known.entry.heartbeats {
            known.heard_directly = Some(now);
        }
        if entry.heartbeats <= known.entry.heartbeats {
            return None;
        }
        let was_alive = now.saturating_sub(known.heard) < timeout;
        if entry.heartbeats > known.heartbeats {
            let gap = known.advance(entry.heartbeats, now);
            self.gaps.add(gap);
        }
        let is_changed = known.entry.is_ready != entry.is_ready;
        let state = news::state(entry);
        if known.state != state {
            known.state = state;
            known.changed = now;
        }
        known.entry = entry.clone();
        (is_changed || !was_alive).then(|| Update::of(entry))
    }

    /// Adds a gateway or replaces its previous incarnation.
    fn add(&mut self, entry: &Entry, is_direct: bool, now: Monotonic) -> Option<Update> {
        let mut peer = Peer::new(entry.clone(), now);
        peer.heard_directly = is_direct.then_some(now);
        self.tags.insert(peer.tag, entry.instance.clone());
        let before = self.others.insert(entry.instance.clone(), peer);
        self.forget_past_tags();
        let before = before.filter(|known| self.is_alive(known, now));
        let is_same = before.is_some_and(|known| known.entry.is_ready == entry.is_ready);
        (!is_same).then(|| Update::of(entry))
    }

    /// Drops the tags of past incarnations once they outnumber the gateways, which may restart any
    /// number of times.
    fn forget_past_tags(&mut self) {
        if self.tags.len() > MIN_PAST_TAGS + 2 * self.others.len() {
            self.tags = self
                .others
                .iter()
                .map(|(instance, known)| (known.tag, instance.clone()))
                .collect();
        }
    }

    /// Returns whether the sender of a heartbeat just started or was considered failed, so that the
    /// others send it nothing.
    #[must_use]
    pub fn needs_join_reply(&self, heartbeat: &Heartbeat, now: Monotonic) -> bool {
        let known = self.others.get(&heartbeat.from.instance);
        heartbeat.from.heartbeats == FIRST_HEARTBEAT
            || known.is_none_or(|known| !self.is_alive(known, now))
    }

    /// Extends all timeouts by the time for which this process was suspended and received nothing.
    pub fn extend_timeouts(&mut self, pause: Duration) {
        for known in self.others.values_mut() {
            known.heard = known.heard.saturating_add(pause);
        }
    }

    /// Removes gateways without news for a long time.
    fn forget_silent(&mut self, now: Monotonic) {
        let before = self.others.len();
        self.others
            .retain(|_, known| now.saturating_sub(known.heard) < REMOVAL_TIMEOUT);
        if self.others.len() < before {
            self.tags
                .retain(|_, instance| self.others.contains_key(instance));
        }
    }

    /// Returns the peer addresses of this gateway and of live others, at most `most`.
    #[must_use]
    pub fn addresses(&self, now: Monotonic, most: usize) -> Vec<SocketAddr> {
        let live = self
            .others
            .values()
            .filter(|known| self.is_alive(known, now));
        let others = live.map(|known| known.entry.peers);
        std::iter::once(self.own_entry.peers)
            .chain(others)
            .take(most)
            .collect()
    }

    /// Returns this gateway's part of `rate` things per second that all known gateways share, dealt
    /// one by one in an order that depends on `key`.
    pub(crate) fn share(&self, rate: f64, key: &str) -> usize {
        let others = self.others.keys();
        let own = rendezvous(key, &self.own_entry.instance);
        let ahead = others.filter(|other| rendezvous(key, other) > own).count();
        let known = self.others.len() + 1;
        // Gateways that are not known here take theirs too.
        let fleet = known.max(self.peak_members);
        let dealt = floor(rate);
        dealt / fleet + usize::from(ahead < dealt % fleet)
    }

    /// Returns the number of live gateways, including this one.
    #[must_use]
    pub fn live(&self, now: Monotonic) -> usize {
        1 + self
            .others
            .values()
            .filter(|known| self.is_alive(known, now))
            .count()
    }

    /// Returns the number of members, including this gateway.
    fn members(&self, now: Monotonic) -> usize {
        let others = self.others.values();
        1 + others.filter(|known| known.is_member(now)).count()
    }

    /// Returns whether this gateway started recently and knows clearly fewer others than there are,
    /// by what these report.
    pub(crate) fn is_view_forming(&self, now: Monotonic) -> bool {
        now < FORMING_TIME && FORMED_DIVISOR * self.live(now) < FORMED_FACTOR * self.peak_members
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
            .map(|known| candidate(&known.entry, self.is_alive(known, now)))
            .collect();
        candidates.push(candidate(&self.own_entry, true));
        discovery::offer(&candidates, domain, seed)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a published rate, saturating"
)]
const fn floor(rate: f64) -> usize {
    rate.max(0.0) as usize
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
