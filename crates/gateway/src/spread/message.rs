//! Messages by which gateways pass on changes of the published state.

use std::time::Duration;

use auburnline_core::id::FailureDomainId;
use serde::Deserialize;
use serde::Serialize;

use super::Revision;
use crate::route::Configuration;
use crate::upstream::State;
use crate::upstream::Upstream;
use crate::upstream::UpstreamId;

/// Maximum changes in an answer, so that it fits into one datagram. Whoever gets that many asks for
/// the next ones immediately.
pub(super) const MAX_ANSWER_CHANGES: usize = 64;

/// One change of the published state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// An upstream was added or rewritten.
    Upstream(Upstream),
    /// An upstream was removed from the list.
    Removed(UpstreamId),
    /// A configuration was written; its content is requested separately.
    Configuration,
    /// The evacuation of a failure domain was written.
    Evacuated(FailureDomainId),
    /// The evacuation of a failure domain was removed.
    Returned(FailureDomainId),
}

impl Change {
    /// Returns what it is about; a later change with the same key replaces it.
    pub(super) fn key(&self) -> Key<'_> {
        match self {
            Change::Upstream(upstream) => Key::Upstream(&upstream.id),
            Change::Removed(id) => Key::Upstream(id),
            Change::Configuration => Key::Configuration,
            Change::Evacuated(domain) | Change::Returned(domain) => Key::Evacuation(domain),
        }
    }

    /// Returns whether this change announces the departure of the incarnation that `later` adds.
    pub(super) fn announces_departure_of(&self, later: &Change) -> bool {
        let (Change::Upstream(earlier), Change::Upstream(later)) = (self, later) else {
            return false;
        };
        let is_same = earlier.born.is_none() || later.born.is_none() || earlier.born == later.born;
        earlier.state == State::Draining && is_same
    }

    /// Marks the upstream that this change adds as draining.
    pub(super) fn set_draining(&mut self) {
        if let Change::Upstream(upstream) = self {
            upstream.state = State::Draining;
        }
    }
}

/// What a change is about.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Key<'a> {
    Upstream(&'a str),
    Configuration,
    Evacuation(&'a str),
}

/// Request of a gateway for the changes since the revision it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// Sequence number assigned by the sender, returned in the [`Answer`].
    pub number: u64,
    /// Revision up to which the sender knows the state.
    pub revision: Revision,
    /// Revision of the sender's configuration; set only while it waits for a newer one.
    pub configuration: Option<Revision>,
}

/// Configuration that a gateway sends to another one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Revision of the store at which it was written.
    pub revision: Revision,
    /// The configuration.
    pub configuration: Configuration,
}

/// Changes that a reader sends, in reply to a [`Query`] or unsolicited.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Number of the query; `None` if the answer is unsolicited.
    pub number: Option<u64>,
    /// Revision after which the changes begin.
    pub since: Revision,
    /// Revision up to which the changes are complete.
    pub until: Revision,
    /// Age of the reader's knowledge when it sent the answer.
    pub age: Duration,
    /// Changes in order of revision.
    pub changes: Vec<(Revision, Change)>,
}

impl Answer {
    /// Returns whether the sender may have further changes, after these.
    #[must_use]
    pub fn is_truncated(&self) -> bool {
        self.changes.len() >= MAX_ANSWER_CHANGES
    }
}
