//! Which upstreams run in lock-step with each other.
//!
//! The sidecar that leads a group tells gateways who belongs to it and whether it serves. What is not
//! heard of counts as one group of the service that is open: a wrong guess costs balance, never safety.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use auburnline_core::id::GroupId;
use auburnline_core::time::Monotonic;
use auburnline_lockstep::message::Digest;

use crate::upstream::UpstreamId;

/// Age from which on the word that a group is shut is not believed: the lead may have died since, and
/// a group forms anew within about a second.
const SHUT_AGE: Duration = Duration::from_secs(2);
/// Time for which a group counts as shut after one of its ranks refused a request although it had a
/// place: then the next request tries again.
const SUSPECT_AGE: Duration = Duration::from_millis(250);
/// Time without a word of its lead and without an event of its streams after which a group counts as
/// standing still: three words, and several passes.
const STILL_AGE: Duration = Duration::from_millis(650);
/// Time after which a group that stood still is tried again, whatever its lead says: the lead alone may be
/// gone, and the group may serve.
const STILL_TRIED: Duration = Duration::from_secs(6);
/// Time within which streams of two of a group's upstreams break off if the group itself broke.
const BROKE_TOGETHER: Duration = Duration::from_millis(100);
/// Groups that are remembered at most.
const MOST: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct State {
    is_open: bool,
    heard: Monotonic,
}

/// All groups that this gateway heard of.
#[derive(Clone, Debug, Default)]
pub struct Groups {
    by_address: HashMap<SocketAddr, GroupId>,
    states: HashMap<GroupId, State>,
    suspects: HashMap<GroupId, Monotonic>,
    /// Since when groups have been shut.
    shut: HashMap<GroupId, Monotonic>,
    /// When an event of a group's streams came last.
    moved: HashMap<GroupId, Monotonic>,
    /// The upstream whose stream broke off last, by group.
    broke: HashMap<GroupId, (UpstreamId, Monotonic)>,
    /// Groups that stood still at the last look.
    still: HashSet<GroupId>,
}

/// A group that came to stand still or goes on, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stillness {
    /// Group.
    pub group: GroupId,
    /// Whether it stands still.
    pub is_still: bool,
    /// Time since its lead or one of its streams was heard.
    pub silent: Duration,
}

impl Groups {
    /// Takes the word of a lead; returns whether the group opened or shut.
    pub fn hear(&mut self, digest: &Digest, now: Monotonic) -> bool {
        let group = GroupId::from(digest.group.as_str());
        let is_known = self.states.contains_key(&group);
        if !is_known && self.states.len() >= MOST {
            return false;
        }
        let is_open = digest.is_open;
        let heard = now;
        if is_open {
            self.trust(&digest.group);
        } else {
            self.shut.entry(group.clone()).or_insert(now);
        }
        let before = self.states.insert(group.clone(), State { is_open, heard });
        self.by_address.retain(|_, of| *of != group);
        let engines = digest.engines.iter();
        self.by_address
            .extend(engines.map(|busy| (busy.engine, group.clone())));
        before.is_none_or(|before| before.is_open != is_open)
    }

    /// Returns the group of the upstream at `address`.
    #[must_use]
    pub fn of(&self, address: SocketAddr) -> Option<&GroupId> {
        self.by_address.get(&address)
    }

    /// Takes that a rank of a group refused a request although it had a place.
    pub fn suspect(&mut self, group: &GroupId, now: Monotonic) {
        self.suspects.insert(group.clone(), now);
        self.shut.entry(group.clone()).or_insert(now);
    }

    /// Takes that an event of a group's streams came.
    pub fn record_event(&mut self, group: &GroupId, now: Monotonic) {
        match self.moved.get_mut(group) {
            Some(at) => *at = now,
            None => {
                self.moved.insert(group.clone(), now);
            }
        }
    }

    /// Takes that a stream of an upstream broke off; returns whether the group itself seems to be broken,
    /// since streams of another upstream just did too.
    pub fn broke(&mut self, group: &GroupId, upstream: &UpstreamId, now: Monotonic) -> bool {
        let before = self.broke.insert(group.clone(), (upstream.clone(), now));
        let is_group = before.is_some_and(|(other, at)| {
            other != *upstream && now.saturating_sub(at) < BROKE_TOGETHER
        });
        if is_group {
            self.suspect(group, now);
        }
        is_group
    }

    /// Returns whether a group seems to stand still: its lead was heard before and is silent, and none of
    /// its streams moves.
    #[must_use]
    pub fn is_stalled(&self, group: &str, now: Monotonic) -> bool {
        let silent = self.silent(group, now).unwrap_or_default();
        silent > STILL_AGE && silent < STILL_TRIED
    }

    /// Returns the time since a group's lead or one of its streams was heard; none if its lead never was.
    fn silent(&self, group: &str, now: Monotonic) -> Option<Duration> {
        let state = self.states.get(group)?;
        let moved = self.moved.get(group).copied().unwrap_or_default();
        Some(now.saturating_sub(state.heard.max(moved)))
    }

    /// Returns the groups that came to stand still or go on since the last look.
    pub fn look(&mut self, now: Monotonic) -> Vec<Stillness> {
        let groups = self.states.keys();
        let changed = groups.filter_map(|group| {
            let is_still = self.is_stalled(group, now);
            let is_changed = is_still != self.still.contains(group);
            is_changed.then(|| Stillness {
                group: group.clone(),
                is_still,
                silent: self.silent(group, now).unwrap_or_default(),
            })
        });
        let changed: Vec<_> = changed.collect();
        for change in &changed {
            if change.is_still {
                self.still.insert(change.group.clone());
            } else {
                self.still.remove(&change.group);
            }
        }
        changed
    }

    /// Takes that a rank of a group answered.
    pub fn trust(&mut self, group: &str) {
        self.suspects.remove(group);
        self.shut.remove(group);
    }

    /// Returns whether a group was lately said or seen to be shut.
    #[must_use]
    pub fn is_shut(&self, group: &str, now: Monotonic) -> bool {
        let state = self.states.get(group);
        let is_said =
            state.is_some_and(|state| !state.is_open && now.saturating_sub(state.heard) < SHUT_AGE);
        let suspected = self.suspects.get(group);
        is_said || suspected.is_some_and(|at| now.saturating_sub(*at) < SUSPECT_AGE)
    }

    /// Returns since when the one of `groups` that shut last has been so; none if none has.
    pub fn unavailable_since(&self, groups: impl Iterator<Item = GroupId>) -> Option<Monotonic> {
        let since = groups.filter_map(|group| self.shut.get(&group).copied());
        since.max()
    }
}
