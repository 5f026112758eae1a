//! Upstreams that may get requests.
//!
//! A [`Pool`] follows the published list. An upstream that announces its departure, on the list or
//! in a response, gets no new requests from then on. One that is missing after the store was
//! unavailable is kept for a short time, since its entry may be written again. Only one upstream
//! runs at an address: of several listed there, all but the newest have ended. [`crate::choice`]
//! selects among the upstreams.

mod counts;
mod restore;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;

use auburnline_core::id::FailureDomainId;
use auburnline_core::time::Monotonic;
use serde::Deserialize;
use serde::Serialize;

use crate::address;
use crate::departure::Incarnations;
use crate::evacuation::Evacuations;
use crate::member::Member;
use crate::quarantine::StartTag;
use crate::report;
use crate::report::Reports;
use crate::route::ServiceId;
use crate::spread::Revision;

/// Id under which an upstream is listed; [`Upstream::born`] distinguishes restarts under the same
/// id.
pub type UpstreamId = Arc<str>;
/// Requests that one gateway has in flight, by [`tag`] of the upstream.
pub type Counts = Vec<(u32, u32)>;

/// Whether an upstream accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It accepts them.
    Ready,
    /// It is about to leave and accepts none.
    Draining,
}

/// An upstream as published.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Id under which it is listed.
    pub id: UpstreamId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address at which it serves requests.
    pub address: SocketAddr,
    /// Failure domain in which it runs.
    pub failure_domain: FailureDomainId,
    /// Requests that it can run concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: State,
    /// Revision of the store at which the entry was added to the list.
    pub appeared: Revision,
    /// Start time in Unix milliseconds, if the upstream reports it. It distinguishes restarts under
    /// the same id.
    pub born: Option<u64>,
    /// Time for which it is still cold, as of the entry's last write.
    pub warm_up: Duration,
}

/// Outcome of a request to an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The upstream responded within this time.
    Answered(Duration),
    /// The upstream rejected the request without running it.
    Refused,
    /// The upstream failed, or its response was lost.
    Failed,
    /// The caller cancelled, which says nothing about the upstream.
    Cancelled,
}

/// Returns the hash by which gateways refer to an upstream in [`Counts`].
#[must_use]
pub fn tag(id: &str) -> u32 {
    let hash = auburnline_core::hash::stable(0, id.as_bytes());
    u32::try_from(hash >> 32).unwrap_or(u32::MAX)
}

/// Current load of an upstream.
pub(crate) struct Usage<'a> {
    pub(crate) upstream: &'a Upstream,
    /// Requests in flight from all gateways: as reported by the group's leader, otherwise the sum
    /// of this gateway's and its neighbours' counts.
    pub(crate) requests: u32,
    /// Requests in flight from this gateway.
    pub(crate) own: u32,
    /// Load reported by the group's leader; `None` without a recent report.
    pub(crate) reported: Option<report::Load>,
}

/// Change of the pool, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An upstream was added.
    Joined(Arc<Upstream>),
    /// An upstream no longer accepts new requests.
    Leaving(Arc<Upstream>),
    /// An upstream is missing from the list, and removed unless the store may lack its entry.
    Missing(Arc<Upstream>),
    /// An upstream was removed from the list.
    Gone(Arc<Upstream>),
}

/// All upstreams that this gateway knows, with their load.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    members: BTreeMap<UpstreamId, Member>,
    neighbours: HashMap<u64, (Monotonic, HashMap<u32, u32>)>,
    /// Sum of the neighbours' counts by upstream tag.
    neighbour_sums: HashMap<u32, u32>,
    addresses: address::Index,
    /// Upstreams that announced their departure.
    leaving: Incarnations,
    /// Upstreams that were removed from the list.
    removed: Incarnations,
    /// Entries that came back with a restored store, and the time until which they are not trusted.
    untrusted: BTreeMap<UpstreamId, (Upstream, Monotonic)>,
    /// Load reported by the leaders of the groups.
    pub(crate) reports: Reports,
    /// Failure domains whose upstreams get no new requests.
    pub evacuations: Evacuations,
}

impl Pool {
    /// Adds or updates an upstream that was written to the list.
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
        let was_ready = member.is_ready();
        member.update(upstream);
        let is_leaving = was_ready && !member.is_ready();
        is_leaving.then(|| Change::Leaving(Arc::clone(&member.upstream)))
    }

    /// Records that an upstream announced its departure in a response, whatever the list says.
    pub fn mark_draining(&mut self, upstream: &Upstream) -> Option<Change> {
        self.leaving.record(upstream);
        let known = self.members.get_mut(&upstream.id);
        let member = known.filter(|member| !member.is_other_incarnation(upstream))?;
        let was_ready = member.is_ready();
        member.mark_draining();
        was_ready.then(|| Change::Leaving(Arc::clone(&member.upstream)))
    }

    /// Records that the process at the address of an upstream has said that it is another one. Where another one is listed
    /// there, that one gets the requests from now on; returns whether it does.
    pub fn mark_misplaced(&mut self, upstream: &Upstream) -> bool {
        let mut members = self.members.values();
        let is_shared = members.any(|member| {
            member.upstream.address == upstream.address && member.upstream.id != upstream.id
        });
        is_shared && self.addresses.mark_misplaced(upstream)
    }

    /// Returns whether this incarnation of an upstream gets new requests.
    #[must_use]
    pub fn is_ready(&self, upstream: &Upstream) -> bool {
        let member = self.members.get(&upstream.id);
        let member = member.filter(|member| !member.is_other_incarnation(upstream));
        member.is_some_and(|member| self.is_usable(member))
    }

    /// Returns whether a member accepts new requests, and its failure domain is not evacuated.
    fn is_usable(&self, member: &Member) -> bool {
        member.is_ready() && !self.evacuations.contains(&member.upstream.failure_domain)
    }

    /// Sets the services that the configuration in force defines.
    pub fn set_services(&mut self, services: impl IntoIterator<Item = ServiceId>) {
        self.addresses.set_services(services);
    }

    /// Records that an upstream is missing from the list as of a revision; [`Pool::expire`] removes
    /// it.
    pub fn mark_missing(&mut self, id: &str, as_of: Revision) -> Option<Change> {
        self.untrusted.remove(id);
        let Some(member) = self.members.get_mut(id) else {
            // A restored list may have it although its removal was the first that was heard of it.
            self.removed.record_unknown(id);
            return None;
        };
        member.mark_missing(as_of)
    }

    /// Returns whether an upstream is missing as of a revision after `until`.
    pub(crate) fn has_missing_after(&self, until: Option<Revision>) -> bool {
        let mut members = self.members.values();
        members.any(|member| member.missing_as_of > until)
    }

    /// Applies a full list as of a revision; upstreams that it does not contain are marked as
    /// missing.
    pub fn replace(&mut self, upstreams: Vec<Upstream>, as_of: Revision) -> Vec<Change> {
        let listed: HashSet<UpstreamId> = upstreams.iter().map(|one| one.id.clone()).collect();
        let untrusted_ids: HashSet<UpstreamId> = self.untrusted.keys().cloned().collect();
        let trusted = upstreams.into_iter();
        let trusted = trusted.filter(|one| !untrusted_ids.contains(&one.id));
        let mut changes: Vec<Change> = trusted.filter_map(|one| self.insert(one)).collect();
        let unlisted = self
            .members
            .values_mut()
            .filter(|member| !listed.contains(&member.upstream.id));
        changes.extend(unlisted.filter_map(|member| member.mark_missing(as_of)));
        changes
    }

    /// Returns the listed upstreams after `id` in the order of ids, at most `most`.
    pub(crate) fn listed_after(&self, id: Option<&UpstreamId>, most: usize) -> Vec<Upstream> {
        let start = id.map_or(Bound::Unbounded, Bound::Excluded);
        let members = self
            .members
            .range::<UpstreamId, _>((start, Bound::Unbounded));
        let listed = members.filter(|(_, member)| member.missing_as_of.is_none());
        listed
            .map(|(_, member)| Upstream::clone(&member.upstream))
            .take(most)
            .collect()
    }

    /// Returns whether some entries of a restored store are not trusted yet.
    pub(crate) fn has_untrusted(&self) -> bool {
        !self.untrusted.is_empty()
    }

    /// Removes all missing upstreams.
    pub fn expire(&mut self) -> Vec<Change> {
        self.remove(|missing_as_of| missing_as_of.is_some())
    }

    /// Removes the upstreams that are missing as of a revision up to `until`.
    pub fn expire_until(&mut self, until: Option<Revision>) -> Vec<Change> {
        self.remove(|missing_as_of| missing_as_of.is_some() && missing_as_of <= until)
    }

    fn remove(&mut self, is_gone: impl Fn(Option<Revision>) -> bool) -> Vec<Change> {
        let mut removed = Vec::new();
        self.members.retain(|_, member| {
            let is_gone = is_gone(member.missing_as_of);
            if is_gone {
                self.removed.record(&member.upstream);
                removed.push(Change::Gone(Arc::clone(&member.upstream)));
            }
            !is_gone
        });
        if !removed.is_empty() {
            let members = self.members.values();
            let listed = members.map(|member| &member.upstream);
            let listed = listed.map(|upstream| (upstream.address, upstream.id.clone()));
            self.addresses.retain(&listed.collect());
        }
        removed
    }

    /// Returns this gateway's requests in flight, for at most `most` upstreams.
    #[must_use]
    pub fn counts(&self, most: usize) -> Counts {
        let busy = self.members.values().filter(|member| member.in_flight > 0);
        let counts = busy.map(|member| (member.tag, member.in_flight));
        counts.take(most).collect()
    }

    /// Returns the number of upstreams of a service that accept new requests.
    #[must_use]
    pub fn ready(&self, service: &str) -> usize {
        self.ready_members(service).count()
    }

    /// Returns the upstreams of a service that accept new requests.
    pub(crate) fn ready_members<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a Member> {
        let members = self.members.values();
        members.filter(move |member| {
            let is_asked = *member.upstream.service == *service;
            is_asked && self.is_usable(member) && self.addresses.is_newest(&member.upstream)
        })
    }

    /// Returns the load of each upstream of a service that accepts new requests.
    pub(crate) fn usages<'a>(
        &'a self,
        service: &'a str,
        now: Monotonic,
    ) -> impl Iterator<Item = Usage<'a>> {
        self.ready_members(service)
            .map(move |member| self.usage(member, now))
    }

    /// Returns the requests in flight at a service: those of this gateway, and those of its
    /// neighbours.
    #[must_use]
    pub fn in_flight(&self, service: &str) -> (u32, u32) {
        let mut sums = (0, 0);
        for member in self.members.values() {
            if *member.upstream.service == *service {
                sums.0 += member.in_flight;
                sums.1 += self.neighbour_sums.get(&member.tag).copied().unwrap_or(0);
            }
        }
        sums
    }

    /// Returns this gateway's requests in flight in each evacuated failure domain.
    pub fn in_flight_by_evacuated(&self) -> impl Iterator<Item = (&FailureDomainId, u32)> {
        self.evacuations.iter().map(|domain| {
            let members = self.members.values();
            let members = members.filter(|member| member.upstream.failure_domain == *domain);
            (domain, members.map(|member| member.in_flight).sum())
        })
    }

    pub(crate) fn usage<'a>(&self, member: &'a Member, now: Monotonic) -> Usage<'a> {
        let reported = self.reports.load(member.upstream.address, now);
        let from_neighbours = || self.neighbour_sums.get(&member.tag).copied().unwrap_or(0);
        Usage {
            upstream: &member.upstream,
            requests: reported.map_or_else(
                || member.in_flight + from_neighbours(),
                |load| load.requests,
            ),
            own: member.in_flight,
            reported,
        }
    }

    /// Records that a request is sent to an upstream.
    pub fn begin(&mut self, id: &str) {
        if let Some(member) = self.members.get_mut(id) {
            member.in_flight += 1;
            self.reports.sent(member.upstream.address);
        }
    }

    /// Records the outcome of a request to an upstream.
    pub fn end(&mut self, id: &str, outcome: Outcome, now: Monotonic) {
        if let Some(member) = self.members.get_mut(id) {
            // The count restarts at zero if the upstream left the list and came back meanwhile.
            member.in_flight = member.in_flight.saturating_sub(1);
            member.record(outcome, now);
        }
    }

    /// Returns all known upstreams with the tags of their incarnations.
    pub(crate) fn starts(&self) -> impl Iterator<Item = (StartTag, &Arc<Upstream>)> {
        let members = self.members.values();
        members.map(|member| (member.start, &member.upstream))
    }

    /// Returns all known upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.members.values().map(|member| &member.upstream)
    }
}
