//! Upstreams that may take work, and the choice among them.
//!
//! A [`Pool`] follows the published list: an upstream that leaves, by the list or by its own answers, gets no new work from then on, and
//! one that is missing after the store was away is kept for a moment, since it may be written anew. An
//! address has one upstream: of several that are listed there, all but the newest are gone already.
//! [`crate::choice`] chooses among them.

mod restore;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use auburnline_core::id::FailureDomainId;
use auburnline_core::time::Monotonic;
use serde::Deserialize;
use serde::Serialize;

use crate::address;
use crate::departure::Incarnations;
use crate::member::Member;
use crate::quarantine::StartTag;
use crate::report;
use crate::report::Reports;
use crate::route::ServiceId;
use crate::spread::Revision;

/// Id of one incarnation of an upstream.
pub type UpstreamId = Arc<str>;
/// Requests in flight at upstreams, as one gateway tells its neighbours.
pub type Counts = Vec<(u32, u32)>;

/// Age at which a neighbour's counts are dropped: several of its messages are missing by then.
const COUNTS_AGE: Duration = Duration::from_millis(1_500);
/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It does.
    Ready,
    /// It is about to leave.
    Draining,
}

/// One upstream, as published.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Id of this incarnation.
    pub id: UpstreamId,
    /// Service.
    pub service: ServiceId,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: FailureDomainId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// Revision at which it came onto the list.
    pub appeared: Revision,
    /// Unix milliseconds of its start, where it tells: an upstream may start again under its id.
    pub born: Option<u64>,
}

/// How an exchange with an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// It answered in this time.
    Answered(Duration),
    /// It refused without running the request.
    Refused,
    /// It failed, or its answer was lost.
    Failed,
    /// The caller left; nothing is learned.
    Cancelled,
}

/// Returns the short number by which gateways tell each other of an upstream.
#[must_use]
pub fn tag(id: &str) -> u32 {
    let hash = auburnline_core::hash::stable(0, id.as_bytes());
    u32::try_from(hash >> 32).unwrap_or(u32::MAX)
}

/// What runs at one upstream.
pub(crate) struct Usage<'a> {
    pub(crate) upstream: &'a Upstream,
    /// Requests in flight from all gateways: as its group's lead told, else this gateway's and what its neighbours
    /// said.
    pub(crate) requests: u32,
    /// Those of this gateway.
    pub(crate) own: u32,
    /// What the lead told.
    pub(crate) told: Option<report::Load>,
}

/// Change of the pool, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A new upstream.
    Joined(Arc<Upstream>),
    /// An upstream that takes no new work from now on.
    Leaving(Arc<Upstream>),
    /// An upstream that is gone from the list.
    Gone(Arc<Upstream>),
}

/// All upstreams that this gateway knows.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    members: BTreeMap<UpstreamId, Member>,
    neighbours: HashMap<u64, (Monotonic, HashMap<u32, u32>)>,
    /// Sum of the neighbours' counts.
    elsewhere: HashMap<u32, u32>,
    addresses: address::Index,
    /// Upstreams that said that they leave.
    leaving: Incarnations,
    /// Upstreams that were removed from the list.
    removed: Incarnations,
    /// Entries that a copy of the store brought back, and until when they are doubted.
    untrusted: BTreeMap<UpstreamId, (Upstream, Monotonic)>,
    /// What the leads of groups tell.
    pub(crate) reports: Reports,
}

impl Pool {
    /// Takes an upstream as written to the list.
    pub fn insert(&mut self, mut upstream: Upstream) -> Option<Change> {
        self.addresses.record(&upstream);
        self.removed.forget(&upstream.id);
        self.untrusted.remove(&upstream.id);
        if upstream.state == State::Draining || self.leaving.contains(&upstream) {
            upstream.state = State::Draining;
            self.leaving.record(&upstream);
        }
        let known = self.members.get_mut(&upstream.id);
        let known = known.filter(|member| !member.is_other_incarnation(&upstream));
        let Some(member) = known else {
            let member = Member::new(upstream);
            let change = Change::Joined(Arc::clone(&member.upstream));
            self.members.insert(member.upstream.id.clone(), member);
            return Some(change);
        };
        let was_ready = member.takes_work();
        member.update(upstream);
        let is_leaving = was_ready && !member.takes_work();
        is_leaving.then(|| Change::Leaving(Arc::clone(&member.upstream)))
    }

    /// Takes that an upstream said itself that it leaves, whatever the list says.
    pub fn leave(&mut self, upstream: &Upstream) -> Option<Change> {
        self.leaving.record(upstream);
        let known = self.members.get_mut(&upstream.id);
        let member = known.filter(|member| !member.is_other_incarnation(upstream))?;
        let was_ready = member.takes_work();
        member.leave();
        was_ready.then(|| Change::Leaving(Arc::clone(&member.upstream)))
    }

    /// Returns whether an upstream takes work.
    #[must_use]
    pub fn takes_work(&self, upstream: &Upstream) -> bool {
        let member = self.members.get(&upstream.id);
        let member = member.filter(|member| !member.is_other_incarnation(upstream));
        member.is_some_and(Member::takes_work)
    }

    /// Takes the services that the configuration in force names.
    pub fn set_services(&mut self, services: impl IntoIterator<Item = ServiceId>) {
        self.addresses.set_services(services);
    }

    /// Takes that an upstream is missing from the list; [`Pool::expire`] removes it.
    pub fn miss(&mut self, id: &str) {
        self.untrusted.remove(id);
        if let Some(member) = self.members.get_mut(id) {
            member.is_missing = true;
        }
    }

    /// Takes a whole list: what it does not hold is missing.
    pub fn replace(&mut self, upstreams: Vec<Upstream>) -> Vec<Change> {
        let listed: Vec<UpstreamId> = upstreams.iter().map(|one| one.id.clone()).collect();
        let doubted: Vec<UpstreamId> = self.untrusted.keys().cloned().collect();
        let believed = upstreams.into_iter();
        let believed = believed.filter(|one| !doubted.contains(&one.id));
        let changes = believed.filter_map(|one| self.insert(one)).collect();
        let unlisted = self
            .members
            .values_mut()
            .filter(|member| !listed.contains(&member.upstream.id));
        for member in unlisted {
            member.is_missing = true;
        }
        changes
    }

    /// Removes what is missing, unless `is_doubtful`: the store was away, and entries may return.
    pub fn expire(&mut self, is_doubtful: bool) -> Vec<Change> {
        if is_doubtful {
            return Vec::new();
        }
        let mut removed = Vec::new();
        self.members.retain(|_, member| {
            if member.is_missing {
                self.removed.record(&member.upstream);
                removed.push(Change::Gone(Arc::clone(&member.upstream)));
            }
            !member.is_missing
        });
        if !removed.is_empty() {
            let members = self.members.values();
            let used: HashSet<_> = members.map(|member| member.upstream.address).collect();
            self.addresses.retain(&used);
        }
        removed
    }

    /// Takes what a neighbour has in flight.
    pub fn set_elsewhere(&mut self, neighbour: u64, counts: Counts, now: Monotonic) {
        let counts = counts.into_iter().collect();
        self.neighbours.insert(neighbour, (now, counts));
        self.neighbours
            .retain(|_, (at, _)| now.saturating_sub(*at) < COUNTS_AGE);
        self.elsewhere.clear();
        for (_, counts) in self.neighbours.values() {
            for (tag, count) in counts {
                let sum = self.elsewhere.entry(*tag).or_default();
                *sum = sum.saturating_add(*count);
            }
        }
    }

    /// Returns how many neighbours said of late what they have in flight.
    pub(crate) fn neighbours(&self, now: Monotonic) -> usize {
        let heard = self.neighbours.values();
        heard
            .filter(|(at, _)| now.saturating_sub(*at) < COUNTS_AGE)
            .count()
    }

    /// Returns what this gateway has in flight, at most `most` upstreams.
    #[must_use]
    pub fn counts(&self, most: usize) -> Counts {
        let busy = self.members.values().filter(|member| member.in_flight > 0);
        let counts = busy.map(|member| (member.tag, member.in_flight));
        counts.take(most).collect()
    }

    /// Returns how many upstreams of a service take work.
    #[must_use]
    pub fn ready(&self, service: &str) -> usize {
        self.of(service).count()
    }

    /// Returns all upstreams of a service that take work.
    pub(crate) fn of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Member> {
        let members = self.members.values();
        members.filter(move |member| {
            let is_asked = *member.upstream.service == *service;
            is_asked && member.takes_work() && self.addresses.is_newest(&member.upstream)
        })
    }

    /// Returns what runs at each upstream of a service that takes work.
    pub(crate) fn usages<'a>(
        &'a self,
        service: &'a str,
        now: Monotonic,
    ) -> impl Iterator<Item = Usage<'a>> {
        self.of(service).map(move |member| self.usage(member, now))
    }

    /// Returns the requests in flight at a service: this gateway's and its neighbours'.
    #[must_use]
    pub fn in_flight(&self, service: &str) -> (u32, u32) {
        let mut sums = (0, 0);
        for member in self.members.values() {
            if *member.upstream.service == *service {
                sums.0 += member.in_flight;
                sums.1 += self.elsewhere.get(&member.tag).copied().unwrap_or(0);
            }
        }
        sums
    }

    pub(crate) fn usage<'a>(&self, member: &'a Member, now: Monotonic) -> Usage<'a> {
        let told = self.reports.load(member.upstream.address, now);
        let elsewhere = || self.elsewhere.get(&member.tag).copied().unwrap_or(0);
        Usage {
            upstream: &member.upstream,
            requests: told.map_or_else(|| member.in_flight + elsewhere(), |load| load.requests),
            own: member.in_flight,
            told,
        }
    }

    /// Counts a request that is sent to an upstream.
    pub fn begin(&mut self, id: &str) {
        if let Some(member) = self.members.get_mut(id) {
            member.in_flight += 1;
            self.reports.sent(member.upstream.address);
        }
    }

    /// Takes how a request at an upstream ended.
    pub fn end(&mut self, id: &str, outcome: Outcome, now: Monotonic) {
        if let Some(member) = self.members.get_mut(id) {
            // An upstream that left the list and came back starts at none in flight.
            member.in_flight = member.in_flight.saturating_sub(1);
            member.record(outcome, now);
        }
    }

    /// Returns all upstreams that are known, with the numbers of their starts.
    pub(crate) fn starts(&self) -> impl Iterator<Item = (StartTag, &Arc<Upstream>)> {
        let members = self.members.values();
        members.map(|member| (member.start, &member.upstream))
    }

    /// Returns all upstreams that are known.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.members.values().map(|member| &member.upstream)
    }
}
