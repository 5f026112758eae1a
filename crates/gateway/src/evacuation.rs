//! Failure domains that operators evacuate.
//!
//! No new request is sent to the upstreams of an evacuated failure domain: no first send, no retry
//! and no resumed stream. Streams that run there go on to their ends, and its ranks stay in their
//! groups, because a lock-step group that loses ranks stops serving until it has formed again.
//!
//! An evacuation is in force from the revision of the store at which it was written until a later
//! one at which it was removed. A store that was restored from a backup may lack either write.
//! Revision numbers continue from the backup, so they tell what it lacks: an evacuation written
//! after the backup stays in force, and one removed after it does not come back.

use std::collections::BTreeMap;

use auburnline_core::id::FailureDomainId;

use crate::spread::Revision;

/// Failure domains beyond which the oldest ended evacuations are forgotten.
const MAX_REMEMBERED: usize = 1_024;

/// Last write about a failure domain.
#[derive(Clone, Copy, Debug)]
struct Record {
    written: Revision,
    is_evacuated: bool,
}

/// Change of a failure domain, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The failure domain.
    pub failure_domain: FailureDomainId,
    /// Whether it is evacuated now.
    pub is_evacuated: bool,
}

/// All failure domains that are or were evacuated.
#[derive(Clone, Debug, Default)]
pub struct Evacuations(BTreeMap<FailureDomainId, Record>);

impl Evacuations {
    /// Returns whether a failure domain is evacuated.
    #[must_use]
    pub fn contains(&self, failure_domain: &str) -> bool {
        let record = self.0.get(failure_domain);
        record.is_some_and(|record| record.is_evacuated)
    }

    /// Returns the evacuated failure domains.
    pub fn iter(&self) -> impl Iterator<Item = &FailureDomainId> {
        self.evacuated().map(|(domain, _)| domain)
    }

    fn evacuated(&self) -> impl Iterator<Item = (&FailureDomainId, &Record)> {
        let all = self.0.iter();
        all.filter(|(_, record)| record.is_evacuated)
    }

    /// Returns the evacuated failure domains, with the revisions at which this was written.
    pub(crate) fn listed(&self) -> Vec<(FailureDomainId, Revision)> {
        let evacuated = self.evacuated();
        evacuated
            .map(|(domain, record)| (domain.clone(), record.written))
            .collect()
    }

    /// Records that the evacuation of a failure domain was written or removed at a revision.
    pub fn record(
        &mut self,
        failure_domain: FailureDomainId,
        is_evacuated: bool,
        written: Revision,
    ) -> Option<Change> {
        let known = self.0.get(&failure_domain);
        if known.is_some_and(|known| known.written > written) {
            return None;
        }
        let was_evacuated = known.is_some_and(|known| known.is_evacuated);
        let record = Record {
            written,
            is_evacuated,
        };
        self.0.insert(failure_domain.clone(), record);
        if was_evacuated == is_evacuated {
            return None;
        }
        self.forget_ended();
        Some(Change {
            failure_domain,
            is_evacuated,
        })
    }

    /// Applies the list of all evacuations as of a revision, each with the revision at which it was
    /// written.
    pub fn replace(
        &mut self,
        listed: Vec<(FailureDomainId, Revision)>,
        as_of: Revision,
    ) -> Vec<Change> {
        let unlisted = self.0.iter().filter(|(domain, record)| {
            record.is_evacuated && !listed.iter().any(|(listed, _)| listed == *domain)
        });
        let unlisted: Vec<_> = unlisted.map(|(domain, _)| domain.clone()).collect();
        let mut changes = Vec::new();
        for domain in unlisted {
            changes.extend(self.record(domain, false, as_of));
        }
        for (domain, written) in listed {
            changes.extend(self.record(domain, true, written));
        }
        changes
    }

    /// Applies the first list of a restored store as of a revision. A write that the backup lacks
    /// stays in force until the restored store has a later one.
    pub fn restore(
        &mut self,
        listed: Vec<(FailureDomainId, Revision)>,
        as_of: Revision,
    ) -> Vec<Change> {
        let kept = self.0.iter();
        let kept = kept.filter(|(_, record)| record.written.number > as_of.number);
        let kept: BTreeMap<_, _> = kept
            .map(|(domain, record)| (domain.clone(), *record))
            .collect();
        let is_current = |domain: &FailureDomainId| !kept.contains_key(domain);
        let listed = listed.into_iter().filter(|(domain, _)| is_current(domain));
        let evacuated = kept.iter().filter(|(_, record)| record.is_evacuated);
        let evacuated = evacuated.map(|(domain, record)| (domain.clone(), record.written));
        let listed = listed.chain(evacuated).collect();
        self.replace(listed, as_of)
    }

    /// Drops the oldest ends of evacuations beyond [`MAX_REMEMBERED`].
    fn forget_ended(&mut self) {
        while self.0.len() > MAX_REMEMBERED {
            let ended = self.0.iter();
            let ended = ended.filter(|(_, record)| !record.is_evacuated);
            let oldest = ended.min_by_key(|(_, record)| record.written);
            let Some(oldest) = oldest.map(|(domain, _)| domain.clone()) else {
                return;
            };
            self.0.remove(&oldest);
        }
    }
}
