//! Which gateways live, and what they have in flight.
//!
//! Each gateway sends a small [`Beat`] to a few others several times a second. It tells of itself,
//! and passes on what it heard, so that all know all although none talks to all. A gateway that was
//! not heard of for [`LIFE`] is left out of answers to callers; one that leaves says so itself.

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

use crate::message::Beat;
use crate::message::Entry;
use crate::route::Version;
use crate::spread;
use crate::upstream::Counts;

/// Time between two beats: several arrive within [`LIFE`], and counts of what is in flight stay
/// younger than the answers that they tell of.
pub const PERIOD: Duration = Duration::from_millis(300);
/// Time without news after which a gateway counts as gone: five beats, since single ones are lost.
pub const LIFE: Duration = Duration::from_millis(1_600);
/// Time without news up to which a gateway may be the home of a limit: longer than [`LIFE`], since in a fleet of hundreds news
/// of one that lives may be older, and all have to agree. Those that lend to it hear from it directly.
const HOME_LIFE: Duration = Duration::from_secs(3);
/// Time without news up to which a gateway counts for the size of the fleet: nearly all news is younger in a fleet of hundreds.
const MEMBERSHIP: Duration = Duration::from_secs(5);
/// Gateways that one beat is sent to, so that the cost of a gateway does not grow with the fleet.
const FANOUT: usize = 6;
/// Gateways that one beat tells of besides its sender; the message stays within one datagram.
const TOLD: usize = 12;
/// Upstreams that one beat gives counts of.
pub const MAX_COUNTS: usize = 64;
/// Time after which a gateway that was not heard of is forgotten.
const FORGET: Duration = Duration::from_mins(1);
/// Number of the first beat of a process.
const FIRST_BEAT: u64 = 1;
/// Beats after which the seeds are told again, since they may have been down.
const SEED_BEATS: u64 = 6;

/// The gateway that permits requests to an upstream with a limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Home<'a> {
    /// As it told of itself last.
    pub(crate) entry: &'a Entry,
    /// When that was heard.
    pub(crate) heard: Monotonic,
}

#[derive(Clone, Debug)]
struct Known {
    entry: Entry,
    heard: Monotonic,
    /// When it spoke itself last.
    spoke: Option<Monotonic>,
}

impl Known {
    fn lives(&self, now: Monotonic) -> bool {
        now.saturating_sub(self.heard) < LIFE
    }

    fn may_be_home(&self, now: Monotonic) -> bool {
        now.saturating_sub(self.heard) < HOME_LIFE
    }

    fn is_member(&self, now: Monotonic) -> bool {
        now.saturating_sub(self.heard) < MEMBERSHIP
    }
}

/// News of a gateway, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct News {
    /// Which gateway.
    pub instance: InstanceId,
    /// Whether it takes new requests.
    pub is_ready: bool,
}

/// All gateways that this one knows.
#[derive(Clone, Debug)]
pub struct Roster {
    me: Entry,
    seeds: Vec<SocketAddr>,
    others: BTreeMap<InstanceId, Known>,
    /// From when on the words of others tell how things are.
    ignored_until: Monotonic,
    /// Most gateways that were members at once, this one included.
    most: usize,
}

impl Roster {
    /// Returns a roster that knows only this gateway and where to ask first.
    #[must_use]
    pub fn new(me: Entry, seeds: Vec<SocketAddr>) -> Roster {
        Roster {
            me,
            seeds,
            others: BTreeMap::new(),
            ignored_until: Monotonic::ZERO,
            most: 1,
        }
    }

    /// Sets where to ask first.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Sets whether this gateway takes new requests; returns whether that changed.
    pub fn set_ready(&mut self, is_ready: bool) -> bool {
        let is_changed = self.me.is_ready != is_ready;
        self.me.is_ready = is_ready;
        is_changed
    }

    /// Returns whether this gateway takes new requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.me.is_ready
    }

    /// Sets the version of the configuration that this gateway serves by.
    pub(crate) fn set_version(&mut self, version: Version) {
        self.me.version = Some(version);
    }

    /// Returns the newest version that another live gateway serves by, and the address of one that does. Gateways are
    /// sent to different ones, since a configuration is the longest message.
    pub(crate) fn newest_version(&self, now: Monotonic) -> Option<(Version, SocketAddr)> {
        let live = self.others.values().filter(|known| known.lives(now));
        let versions = live.filter_map(|known| Some((known.entry.version?, &known.entry)));
        let newest = versions.max_by_key(|(version, entry)| {
            (*version, rendezvous(&self.me.instance, &entry.instance))
        });
        newest.map(|(version, entry)| (version, entry.peers))
    }

    /// Takes that what was heard before `now` may be out of date.
    pub(crate) fn ignore_until(&mut self, now: Monotonic) {
        self.ignored_until = now;
    }

    /// Returns whether a gateway that serves spoke of late, or all that are asked first did.
    pub(crate) fn is_view_current(&self, now: Monotonic) -> bool {
        let speaking = self.others.values().filter(|known| {
            let spoke = known.spoke.filter(|at| *at > self.ignored_until);
            spoke.is_some_and(|at| now.saturating_sub(at) < LIFE)
        });
        let speaking: Vec<&Entry> = speaking.map(|known| &known.entry).collect();
        let spoke = |seed: &SocketAddr| speaking.iter().any(|entry| entry.peers == *seed);
        let mut seeds = self.seeds.iter().filter(|seed| **seed != self.me.peers);
        speaking.iter().any(|entry| entry.is_ready) || seeds.all(spoke)
    }

    /// Sets whether the store does not answer this gateway.
    pub fn set_cut(&mut self, is_cut: bool) {
        self.me.is_cut = is_cut;
    }

    /// Returns whether the store does not answer this gateway.
    #[must_use]
    pub const fn is_cut(&self) -> bool {
        self.me.is_cut
    }

    /// Returns the addresses of the gateways that read the store for this one's failure domain, and
    /// whether this one is among them.
    #[must_use]
    pub fn readers(&self, now: Monotonic) -> (Vec<SocketAddr>, bool) {
        let live = self.others.values().filter(|known| known.lives(now));
        let all: Vec<&Entry> = live.map(|known| &known.entry).chain([&self.me]).collect();
        let is_near = |entry: &&Entry| entry.failure_domain == self.me.failure_domain;
        // One that the store turns away goes on with what others know, wherever they are.
        let able = all.iter().copied().filter(|entry| !entry.is_cut);
        let mut able: Vec<&Entry> = able
            .filter(|entry| self.me.is_cut || is_near(entry))
            .collect();
        if able.is_empty() {
            // The store answers nobody: two of each failure domain go on trying for the others.
            able = all.into_iter().filter(is_near).collect();
        }
        let readers = spread::readers(able);
        let is_reader = readers
            .iter()
            .any(|entry| entry.instance == self.me.instance);
        let others = readers
            .iter()
            .filter(|entry| entry.instance != self.me.instance);
        (others.map(|entry| entry.peers).collect(), is_reader)
    }

    /// Returns the live gateway that comes first for `key`, among those that take requests if there are any.
    pub(crate) fn home(&self, key: &str, now: Monotonic) -> Home<'_> {
        let me = Home {
            entry: &self.me,
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

    /// Returns this gateway as it tells of itself.
    pub(crate) const fn me(&self) -> &Entry {
        &self.me
    }

    /// Takes a beat of another gateway.
    pub fn hear(&mut self, beat: &Beat, now: Monotonic) -> Vec<News> {
        let mut news = Vec::new();
        news.extend(self.take(&beat.from, true, now));
        for entry in &beat.others {
            news.extend(self.take(entry, false, now));
        }
        // One gateway alone knows a part of a fleet of hundreds, and not all know the same.
        let told = usize::try_from(beat.members).unwrap_or(0);
        self.most = self.most.max(self.members(now)).max(told);
        news
    }

    fn take(&mut self, entry: &Entry, is_own_word: bool, now: Monotonic) -> Option<News> {
        if entry.instance == self.me.instance {
            return None;
        }
        let known = self.others.get(&entry.instance);
        let is_newer = known.is_none_or(|known| {
            if known.entry.incarnation == entry.incarnation {
                entry.beat > known.entry.beat
            } else {
                // Incarnations have no order: others may still tell of the one before.
                is_own_word || !known.lives(now)
            }
        });
        if !is_newer {
            let known = self.others.get_mut(&entry.instance);
            if let Some(known) = known.filter(|known| is_own_word && known.entry.beat == entry.beat)
            {
                known.spoke = Some(now);
            }
            return None;
        }
        let is_news =
            known.is_none_or(|known| !known.lives(now) || known.entry.is_ready != entry.is_ready);
        let entry = entry.clone();
        let news = News {
            instance: entry.instance.clone(),
            is_ready: entry.is_ready,
        };
        let before = known.and_then(|known| known.spoke);
        let known = Known {
            entry,
            heard: now,
            spoke: if is_own_word { Some(now) } else { before },
        };
        self.others.insert(known.entry.instance.clone(), known);
        is_news.then_some(news)
    }

    /// Returns whether the sender of a beat just started, or was not heard of for so long that nobody tells it anything.
    #[must_use]
    pub fn is_back(&self, beat: &Beat, now: Monotonic) -> bool {
        let known = self.others.get(&beat.from.instance);
        beat.from.beat == FIRST_BEAT || known.is_none_or(|known| !known.lives(now))
    }

    /// Takes that this process stood still for a time, in which it could hear nobody.
    pub fn pause(&mut self, pause: Duration) {
        for known in self.others.values_mut() {
            known.heard = known.heard.saturating_add(pause);
        }
    }

    /// Makes the next beat, and forgets gateways that are long gone.
    pub fn beat(&mut self, counts: Counts, now: Monotonic, rng: &mut impl Rng) -> Beat {
        self.me.beat += 1;
        self.others
            .retain(|_, known| now.saturating_sub(known.heard) < FORGET);
        let live = self.others.values().filter(|known| known.lives(now));
        let told = live.choose_multiple(rng, TOLD);
        Beat {
            from: self.me.clone(),
            counts,
            others: told.into_iter().map(|known| known.entry.clone()).collect(),
            members: count(self.members(now)),
        }
    }

    /// Returns the last beat without news of others, for a gateway that lends to this one.
    #[must_use]
    pub fn word(&self, counts: Counts, now: Monotonic) -> Beat {
        Beat {
            from: self.me.clone(),
            counts,
            others: Vec::new(),
            members: count(self.members(now)),
        }
    }

    /// Returns the last beat with news of some others, for a gateway that is back.
    pub(crate) fn introduction(&self, now: Monotonic, rng: &mut impl Rng) -> Beat {
        let live = self.others.values().filter(|known| known.lives(now));
        let told = live.choose_multiple(rng, TOLD);
        Beat {
            others: told.into_iter().map(|known| known.entry.clone()).collect(),
            ..self.word(Counts::new(), now)
        }
    }

    /// Returns where to send the next beat.
    pub fn targets(&self, now: Monotonic, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let live = self.others.values().filter(|known| known.lives(now));
        let addresses = live.map(|known| known.entry.peers);
        let mut targets = addresses.choose_multiple(rng, FANOUT);
        let is_isolated = targets.len() < FANOUT / 2;
        if is_isolated || self.me.beat.is_multiple_of(SEED_BEATS) {
            targets.extend(self.seeds.iter().filter(|seed| **seed != self.me.peers));
        }
        if is_isolated {
            // One that was cut off may find others that it knew where its seeds are gone.
            let known = self.others.values().map(|known| known.entry.peers);
            targets.extend(known.choose_multiple(rng, FANOUT));
        }
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Returns the addresses of live gateways towards other processes, at most `most`.
    #[must_use]
    pub fn addresses(&self, now: Monotonic, most: usize) -> Vec<SocketAddr> {
        let live = self.others.values().filter(|known| known.lives(now));
        let others = live.map(|known| known.entry.peers);
        std::iter::once(self.me.peers)
            .chain(others)
            .take(most)
            .collect()
    }

    /// Returns how many gateways live, this one included.
    #[must_use]
    pub fn live(&self, now: Monotonic) -> usize {
        1 + self
            .others
            .values()
            .filter(|known| known.lives(now))
            .count()
    }

    /// Returns how many gateways are members, this one included.
    fn members(&self, now: Monotonic) -> usize {
        let others = self.others.values();
        1 + others.filter(|known| known.is_member(now)).count()
    }

    /// Returns the most gateways that were members at once: a safe divisor of what all share, since a
    /// gateway that is cut off can't tell whether the others are gone.
    #[must_use]
    pub const fn most(&self) -> usize {
        self.most
    }

    /// Returns the gateways that a caller in `domain` should use.
    #[must_use]
    pub fn offer(&self, domain: Option<&str>, seed: u64, now: Monotonic) -> Offer {
        let others = self.others.values();
        let mut candidates: Vec<Candidate> = others
            .map(|known| candidate(&known.entry, known.lives(now)))
            .collect();
        candidates.push(candidate(&self.me, true));
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
