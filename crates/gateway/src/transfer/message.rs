//! Messages by which a gateway that starts gets the published list from others.

use std::net::SocketAddr;
use std::time::Duration;

use auburnline_core::id::FailureDomainId;
use serde::Deserialize;
use serde::Serialize;

use crate::spread::Revision;
use crate::upstream::Upstream;
use crate::upstream::UpstreamId;

/// Request for a page.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// Last upstream of the page before; `None` for the first page.
    pub after: Option<UpstreamId>,
}

/// Reply to a [`Query`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// A page of the list.
    Page(Page),
    /// Another gateway that has the list or is about to get it.
    Referral(SocketAddr),
    /// The sender does not have this page yet.
    Wait,
}

/// Part of the list, in the order of ids.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Last upstream of the page before, as in the [`Query`].
    pub after: Option<UpstreamId>,
    /// Revision up to which the sender knows the published state.
    pub revision: Revision,
    /// Revision at which the configuration in force was written.
    pub configuration: Revision,
    /// Age of the sender's knowledge.
    pub age: Duration,
    /// Upstreams on the list.
    pub upstreams: Vec<Upstream>,
    /// All evacuated failure domains, with the revisions at which this was written.
    pub evacuations: Vec<(FailureDomainId, Revision)>,
    /// Whether no page follows.
    pub is_last: bool,
}
