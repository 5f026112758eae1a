//! What a gateway reads from the store, and how it applies what it and others read.

use std::time::Duration;

use auburnline_core::id::FailureDomainId;
use auburnline_core::time::Monotonic;

use crate::evacuation;
use crate::freshness;
use crate::gateway::Gateway;
use crate::neighbour::reader::Role;
use crate::spread;
use crate::spread::FullRead;
use crate::spread::Need;
use crate::spread::Revision;
use crate::upstream::Change;
use crate::upstream::Upstream;

/// Heartbeats of upstreams within which an entry that is not renewed has expired: three until it
/// expires, and one for the news to arrive.
const EXPIRY_HEARTBEATS: u32 = 4;

/// Age of the known state up to which a failed call does not count as a loss of the store: other
/// gateways read for this one.
const MAX_RELAYED_AGE: Duration = Duration::from_millis(2_800);

/// Lists of a full read of the store.
#[derive(Clone, Debug, Default)]
pub struct Listed {
    /// All upstreams whose entries can be decoded.
    pub upstreams: Vec<Upstream>,
    /// All evacuated failure domains, with the revisions at which this was written.
    pub evacuations: Vec<(FailureDomainId, Revision)>,
}

/// A failed request to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreFailure {
    /// Whether the request before it succeeded.
    pub is_first: bool,
    /// Whether other gateways keep this one informed.
    pub is_relayed: bool,
    /// Age of the known state; `None` if nothing is known yet.
    pub age: Option<Duration>,
    /// Delay before the next request.
    pub pause: Duration,
}

impl Gateway {
    /// Applies a full read of the store as of `revision`, whose configuration was written at
    /// `configuration`; returns what changed.
    pub fn apply_full_read(
        &mut self,
        listed: Listed,
        revision: Revision,
        configuration: Revision,
        now: Monotonic,
    ) -> (Vec<Change>, Vec<evacuation::Change>) {
        let Listed {
            upstreams,
            evacuations,
        } = listed;
        for upstream in &upstreams {
            self.record_warm_up(upstream, now);
        }
        match self.spread.record_full_read(revision, configuration) {
            FullRead::Complete => (
                self.pool.replace(upstreams, revision),
                self.pool.evacuations.replace(evacuations, revision),
            ),
            FullRead::Restored => {
                self.freshness.record_restore(now);
                let until = now + self.bounds.heartbeat * EXPIRY_HEARTBEATS;
                (
                    self.pool.restore(upstreams, revision, until),
                    self.pool.evacuations.restore(evacuations, revision),
                )
            }
        }
    }

    /// Applies changes of the published state that are complete up to the known revision; returns
    /// what changed.
    pub fn apply_changes(
        &mut self,
        changes: Vec<spread::Change>,
        now: Monotonic,
    ) -> (Vec<Change>, Vec<evacuation::Change>) {
        let as_of = self.spread.revision().unwrap_or_default();
        let mut upstreams = Vec::new();
        let mut evacuations = Vec::new();
        for change in changes {
            match change {
                spread::Change::Upstream(upstream) => {
                    self.record_warm_up(&upstream, now);
                    upstreams.extend(self.pool.insert(upstream));
                }
                spread::Change::Removed(id) => {
                    upstreams.extend(self.pool.mark_missing(&id, as_of));
                }
                spread::Change::Configuration => {}
                spread::Change::Evacuated(domain) => {
                    evacuations.extend(self.pool.evacuations.record(domain, true, as_of));
                }
                spread::Change::Returned(domain) => {
                    evacuations.extend(self.pool.evacuations.record(domain, false, as_of));
                }
            }
        }
        (upstreams, evacuations)
    }

    /// Returns what this gateway has to read from the store now: as a reader, or if no reader keeps
    /// it informed.
    pub fn need(&mut self, now: Monotonic) -> Need {
        if self.is_read_deferred(now) {
            return Need::Nothing;
        }
        let is_reader = self.roster.role(now) == Role::Reader && !self.is_view_forming(now);
        let is_alone = freshness::must_read_itself(self.freshness.age(now));
        let is_unanswered = self.spread.is_unanswered(now);
        self.spread
            .need(is_reader || is_alone || is_unanswered, now)
    }

    /// Records that a request to the store failed.
    pub fn record_store_failure(&mut self, now: Monotonic) -> StoreFailure {
        let is_first = !self.roster.is_store_unreachable();
        self.roster.set_store_unreachable(true);
        let age = self.freshness.age(now);
        let is_relayed = age.is_some_and(|age| age < MAX_RELAYED_AGE);
        if !is_relayed {
            self.freshness.record_failure(now);
        }
        let is_reader = self.roster.role(now) == Role::Reader;
        let is_unanswered = self.spread.is_unanswered(now);
        StoreFailure {
            is_first,
            is_relayed,
            age,
            pause: self.spread.record_failure(is_reader || is_unanswered),
        }
    }
}
