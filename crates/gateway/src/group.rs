//! Tracks which upstreams run in lock-step with each other and whether their groups are available.
//!
//! The sidecar that leads a group reports to gateways which upstreams belong to it and whether it
//! serves. Upstreams without a report count as one available group of their service: a wrong guess
//! costs balance, never safety.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use auburnline_core::id::GroupId;
use auburnline_core::time::Monotonic;
use auburnline_lockstep::message::Digest;
use auburnline_lockstep::message::Members;
use auburnline_lockstep::message::MembersQuery;

use crate::gateway::Gateway;
use crate::upstream::UpstreamId;

/// Age from which a report that a group is unavailable is ignored: the leader may have died since,
/// and a group re-forms within about a second.
const UNAVAILABLE_REPORT_MAX_AGE: Duration = Duration::from_secs(2);
/// Time for which a group counts as unavailable after one of its ranks refused a request although
/// it had a free slot. The next request after that tries the group again.
const UNAVAILABLE_DURATION: Duration = Duration::from_millis(250);
/// Time without a report of its leader and without an event of its streams after which a group
/// counts as stalled: three reports, and several forward passes.
const STALL_TIMEOUT: Duration = Duration::from_millis(650);
/// Time after which a stalled group is tried again, even without a report: only the leader may be
/// gone while the group serves.
const STALL_RETRY_AFTER: Duration = Duration::from_secs(6);
/// Time within which streams of two of a group's upstreams break off if the group itself broke.
const CORRELATED_BREAK_WINDOW: Duration = Duration::from_millis(100);
const MAX_GROUPS: usize = 1_024;
/// Maximum number of gateways named to a sidecar. At eight bytes each, they fit into one datagram
/// together with twice as many upstreams.
const MAX_GATEWAYS: usize = 2_048;

/// Age up to which a report is passed on to a gateway that has just started: two periods of a
/// leader.
const RELAYED_REPORT_MAX_AGE: Duration = Duration::from_millis(400);
/// Most reports that are passed on to such a gateway.
const MAX_RELAYED_REPORTS: usize = 16;

#[derive(Clone, Debug)]
struct State {
    reported_at: Monotonic,
    digest: Digest,
}

/// All groups that leaders reported to this gateway.
#[derive(Clone, Debug, Default)]
pub struct Groups {
    by_address: HashMap<SocketAddr, GroupId>,
    states: HashMap<GroupId, State>,
    marked_unavailable: HashMap<GroupId, Monotonic>,
    unavailable_since: HashMap<GroupId, Monotonic>,
    /// When an event of a group's streams last arrived.
    last_events: HashMap<GroupId, Monotonic>,
    /// Upstream whose stream broke off last, and when, by group.
    last_breaks: HashMap<GroupId, (UpstreamId, Monotonic)>,
    /// Groups that were stalled at the last [`Groups::take_changes`].
    stalled: HashSet<GroupId>,
}

/// A group that stalled or resumed, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Group whose state changed.
    pub group: GroupId,
    /// Whether it is stalled now.
    pub is_stalled: bool,
    /// Time since its leader or one of its streams was last heard.
    pub silent: Duration,
}

impl Groups {
    /// Records the report of a group's leader; returns whether the group became available or
    /// unavailable.
    pub fn apply_digest(&mut self, digest: &Digest, now: Monotonic) -> bool {
        let group = GroupId::from(digest.group.as_str());
        let is_known = self.states.contains_key(&group);
        if !is_known && self.states.len() >= MAX_GROUPS && !self.forget_silent(now) {
            return false;
        }
        let is_open = digest.is_open;
        let reported_at = now;
        if is_open {
            self.mark_available(&digest.group);
        } else {
            self.unavailable_since.entry(group.clone()).or_insert(now);
        }
        let before = self.states.insert(
            group.clone(),
            State {
                reported_at,
                digest: digest.clone(),
            },
        );
        self.by_address.retain(|_, of| *of != group);
        let engines = digest.engines.iter();
        self.by_address
            .extend(engines.map(|busy| (busy.engine, group.clone())));
        before.is_none_or(|before| before.digest.is_open != is_open)
    }

    /// Forgets the group that was silent longest, so that nothing is decided by it any more;
    /// returns whether there is one.
    fn forget_silent(&mut self, now: Monotonic) -> bool {
        let silent = |group: &GroupId| self.silent(group, now).unwrap_or_default();
        let longest = self.states.keys().max_by_key(|group| silent(group));
        let longest = longest.filter(|group| silent(group) >= STALL_RETRY_AFTER);
        let Some(group) = longest.cloned() else {
            return false;
        };
        self.states.remove(&group);
        self.by_address.retain(|_, of| *of != group);
        self.marked_unavailable.remove(&group);
        self.unavailable_since.remove(&group);
        self.last_events.remove(&group);
        self.last_breaks.remove(&group);
        self.stalled.remove(&group);
        true
    }

    /// Returns the names of all groups that a leader reported.
    pub(crate) fn names(&self) -> impl Iterator<Item = &GroupId> {
        self.states.keys()
    }

    /// Returns the last report of a group's leader.
    pub(crate) fn report(&self, group: &str) -> Option<&Digest> {
        Some(&self.states.get(group)?.digest)
    }

    /// Returns the newest reports, for a gateway that has just started.
    pub fn recent_reports(&self, now: Monotonic) -> impl Iterator<Item = &Digest> {
        let recent = self
            .states
            .values()
            .filter(move |state| now.saturating_sub(state.reported_at) <= RELAYED_REPORT_MAX_AGE);
        recent.map(|state| &state.digest).take(MAX_RELAYED_REPORTS)
    }

    /// Returns the group of the upstream at `address`, if a leader reported one.
    #[must_use]
    pub fn of(&self, address: SocketAddr) -> Option<&GroupId> {
        self.by_address.get(&address)
    }

    /// Considers a group unavailable for a moment, for instance after one of its ranks refused a
    /// request although it had a free slot.
    pub fn mark_unavailable(&mut self, group: &GroupId, now: Monotonic) {
        self.marked_unavailable.insert(group.clone(), now);
        self.unavailable_since.entry(group.clone()).or_insert(now);
    }

    /// Records that an event of one of a group's streams arrived.
    pub fn record_event(&mut self, group: &GroupId, now: Monotonic) {
        match self.last_events.get_mut(group) {
            Some(at) => *at = now,
            None => {
                self.last_events.insert(group.clone(), now);
            }
        }
    }

    /// Returns when an event of one of a group's streams last arrived here.
    pub(crate) fn last_event(&self, group: &GroupId) -> Option<Monotonic> {
        self.last_events.get(group).copied()
    }

    /// Records that a stream of an upstream broke off; returns whether the group itself seems
    /// broken, since a stream of another of its upstreams just broke off too.
    pub fn record_break(&mut self, group: &GroupId, upstream: &UpstreamId, now: Monotonic) -> bool {
        let before = self
            .last_breaks
            .insert(group.clone(), (upstream.clone(), now));
        let is_group = before.is_some_and(|(other, at)| {
            other != *upstream && now.saturating_sub(at) < CORRELATED_BREAK_WINDOW
        });
        if is_group {
            self.mark_unavailable(group, now);
        }
        is_group
    }

    /// Returns whether a group seems stalled: its leader reported before but is silent, and none of
    /// its streams gets events.
    #[must_use]
    pub fn is_stalled(&self, group: &str, now: Monotonic) -> bool {
        let silent = self.silent(group, now).unwrap_or_default();
        silent > STALL_TIMEOUT && silent < STALL_RETRY_AFTER
    }

    /// Returns the time since a group's leader or one of its streams was heard; none if its leader
    /// never was.
    fn silent(&self, group: &str, now: Monotonic) -> Option<Duration> {
        let state = self.states.get(group)?;
        let last_event = self.last_events.get(group).copied().unwrap_or_default();
        Some(now.saturating_sub(state.reported_at.max(last_event)))
    }

    /// Returns the groups that stalled or resumed since the last call.
    pub fn take_changes(&mut self, now: Monotonic) -> Vec<Change> {
        let groups = self.states.keys();
        let changed = groups.filter_map(|group| {
            let is_stalled = self.is_stalled(group, now);
            let is_changed = is_stalled != self.stalled.contains(group);
            is_changed.then(|| Change {
                group: group.clone(),
                is_stalled,
                silent: self.silent(group, now).unwrap_or_default(),
            })
        });
        let changed: Vec<_> = changed.collect();
        for change in &changed {
            if change.is_stalled {
                self.stalled.insert(change.group.clone());
            } else {
                self.stalled.remove(&change.group);
            }
        }
        changed
    }

    /// Considers a group available, after one of its ranks answered or its leader reported so.
    pub fn mark_available(&mut self, group: &str) {
        self.marked_unavailable.remove(group);
        self.unavailable_since.remove(group);
    }

    /// Returns whether a group was recently reported or seen to be unavailable.
    #[must_use]
    pub fn is_unavailable(&self, group: &str, now: Monotonic) -> bool {
        let state = self.states.get(group);
        let is_reported = state.is_some_and(|state| {
            !state.digest.is_open
                && now.saturating_sub(state.reported_at) < UNAVAILABLE_REPORT_MAX_AGE
        });
        let marked_at = self.marked_unavailable.get(group);
        is_reported || marked_at.is_some_and(|at| now.saturating_sub(*at) < UNAVAILABLE_DURATION)
    }

    /// Returns since when the one of `groups` that became unavailable last has been so; none if all
    /// are available.
    pub fn unavailable_since(&self, groups: impl Iterator<Item = GroupId>) -> Option<Monotonic> {
        let since = groups.filter_map(|group| self.unavailable_since.get(&group).copied());
        since.max()
    }
}

impl Gateway {
    /// Answers a sidecar's question which upstreams serve a service.
    #[must_use]
    pub fn members(&self, query: &MembersQuery, now: Monotonic) -> Members {
        let table = self.table();
        let service = table.and_then(|table| table.service(&query.service));
        let engine = service.and_then(|service| service.engine);
        let longest = table.and_then(|table| table.longest_pause(&query.service));
        let upstreams = self.pool.iter();
        let upstreams = upstreams.filter(|upstream| *upstream.service == *query.service);
        Members {
            service: query.service.clone(),
            upstreams: upstreams.map(|upstream| upstream.address).collect(),
            gateways: self.roster.addresses(now, MAX_GATEWAYS),
            shape: engine.and_then(|engine| engine.shape),
            cost: engine
                .zip(longest)
                .map(|(engine, longest)| engine.cost(longest)),
        }
    }
}
