//! Membership of the gateways and their load, by gossip.
//!
//! Each gateway sends a [`Heartbeat`](crate::message::Heartbeat) to a few others several times a
//! second. It describes the sender and relays part of what the sender knows of others, and compact
//! [`news`] of many more go with it, so that every gateway learns of all others without sending to
//! all. A gateway without news for [`NEWS_TIMEOUT`], or for longer in a fleet whose news come more
//! rarely, is no longer offered to callers; one that leaves announces it.

mod heartbeat;
mod merge;
pub mod news;
mod peer;
pub mod reader;
mod size;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use auburnline_admission::share::Fleet;
use auburnline_core::hash::rendezvous;
use auburnline_core::id::InstanceId;
use auburnline_core::time::Monotonic;
use auburnline_membership::discovery;
use auburnline_membership::discovery::Candidate;
use auburnline_membership::discovery::Offer;

use self::peer::Gaps;
use self::peer::Peer;
use self::size::Size;
use crate::message::Entry;
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
    size: Size,
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
            size: Size::default(),
        }
    }

    /// Returns whether news of a gateway is recent enough for it to count as running.
    fn is_alive(&self, known: &Peer, now: Monotonic) -> bool {
        known.is_alive(self.gaps.timeout(), now)
    }

    /// Returns the other gateways that count as running.
    fn live_peers(&self, now: Monotonic) -> impl Iterator<Item = &Peer> {
        let others = self.others.values();
        others.filter(move |known| self.is_alive(known, now))
    }

    /// Sets the addresses that are contacted before other gateways are known.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Returns whether others contact this gateway before they know any other.
    pub(crate) fn is_seed(&self) -> bool {
        self.seeds.contains(&self.own_entry.peers)
    }

    /// Returns the addresses of the seeds but this gateway's own.
    pub(crate) fn other_seeds(&self) -> impl Iterator<Item = SocketAddr> {
        let seeds = self.seeds.iter().copied();
        seeds.filter(|seed| *seed != self.own_entry.peers)
    }

    /// Returns the peer addresses of live gateways that accept requests.
    pub(crate) fn ready_peers(&self, now: Monotonic) -> Vec<SocketAddr> {
        let ready = self.live_peers(now).filter(|known| known.entry.is_ready);
        ready.map(|known| known.entry.peers).collect()
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
        let versions = self
            .live_peers(now)
            .filter_map(|known| Some((known.entry.version?, &known.entry)));
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
        let mut seeds = self.other_seeds();
        recent.iter().any(|entry| entry.is_ready) || seeds.all(|seed| heard_directly(&seed))
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
        let timeout = self.gaps.timeout().max(HOME_TIMEOUT);
        let others = others.filter(|known| known.is_alive(timeout, now));
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

    /// Returns whether this gateway is the home of `key`.
    #[must_use]
    pub fn is_home(&self, key: &str, now: Monotonic) -> bool {
        self.home(key, now).entry.instance == self.own_entry.instance
    }

    /// Returns this gateway's own state.
    pub(crate) const fn own_entry(&self) -> &Entry {
        &self.own_entry
    }

    /// Returns the peer addresses of this gateway and of live others, at most `most`.
    #[must_use]
    pub fn addresses(&self, now: Monotonic, most: usize) -> Vec<SocketAddr> {
        let others = self.live_peers(now).map(|known| known.entry.peers);
        std::iter::once(self.own_entry.peers)
            .chain(others)
            .take(most)
            .collect()
    }

    /// Returns the number of live gateways, including this one.
    #[must_use]
    pub fn live(&self, now: Monotonic) -> usize {
        1 + self.live_peers(now).count()
    }

    /// Returns how many live gateways there are in the own failure domain and elsewhere.
    pub(crate) fn fleet(&self, now: Monotonic) -> Fleet {
        let live = self.live_peers(now);
        let near = live.filter(|known| self.is_near(&known.entry)).count();
        Fleet {
            near: 1 + near,
            far: self.live(now) - 1 - near,
        }
    }

    fn is_near(&self, entry: &Entry) -> bool {
        entry.failure_domain == self.own_entry.failure_domain
    }

    /// Returns the gateway that has this address for datagrams, and whether it is in the own failure
    /// domain.
    pub(crate) fn at(&self, peers: SocketAddr) -> Option<(&InstanceId, bool)> {
        let mut others = self.others.values().map(|known| &known.entry);
        let entry = others.find(|entry| entry.peers == peers)?;
        Some((&entry.instance, self.is_near(entry)))
    }

    /// Returns the number of members, including this gateway.
    fn members(&self, now: Monotonic) -> usize {
        let others = self.others.values();
        1 + others
            .filter(|known| known.is_alive(MEMBER_TIMEOUT, now))
            .count()
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
