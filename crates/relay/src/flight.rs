//! Accounting of requests in flight at upstreams.

use std::rc::Rc;
use std::sync::Arc;

use auburnline_core::id::GroupId;
use auburnline_core::time::Monotonic;
use auburnline_gateway::upstream::Outcome;
use auburnline_gateway::upstream::Upstream;
use auburnline_gateway::upstream::UpstreamId;

use crate::shared::Shared;

/// An attempt in flight. It counts towards its upstream's load until it is dropped, which also reports its outcome.
pub(crate) struct Flight {
    shared: Rc<Shared>,
    group: GroupId,
    upstream: Arc<Upstream>,
    began: Monotonic,
    outcome: Outcome,
}

impl Flight {
    /// Takes over an attempt that was already counted when its upstream was chosen.
    pub(crate) fn new(shared: Rc<Shared>, upstream: Arc<Upstream>, group: GroupId) -> Flight {
        let began = shared.now();
        Flight {
            shared,
            group,
            upstream,
            began,
            // Dropped without an explicit outcome, the caller has disconnected.
            outcome: Outcome::Cancelled,
        }
    }

    /// Returns the id of the upstream's group.
    pub(crate) fn group(&self) -> &GroupId {
        &self.group
    }

    /// Returns the id of the upstream.
    pub(crate) fn upstream(&self) -> &UpstreamId {
        &self.upstream.id
    }

    /// Returns the upstream's published entry as of when it was chosen.
    pub(crate) fn target(&self) -> &Arc<Upstream> {
        &self.upstream
    }

    /// Returns when the attempt was started.
    pub(crate) fn began(&self) -> Monotonic {
        self.began
    }

    /// Records a complete response, with the time that it took.
    pub(crate) fn answered(&mut self) {
        let took = self.shared.now().saturating_sub(self.began);
        self.outcome = Outcome::Answered(took);
    }

    /// Records that the upstream refused to execute the request.
    pub(crate) fn refused(&mut self) {
        self.outcome = Outcome::Refused;
    }

    /// Records that the upstream failed, or that its response was lost.
    pub(crate) fn failed(&mut self) {
        self.outcome = Outcome::Failed;
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let now = self.shared.now();
        let upstream = &self.upstream;
        self.shared.gateway().end(&upstream.id, self.outcome, now);
        self.shared.wake_waiting(&upstream.service);
    }
}
