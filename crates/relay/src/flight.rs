//! A request in flight at an upstream.

use std::rc::Rc;
use std::sync::Arc;

use auburnline_core::id::GroupId;
use auburnline_core::time::Monotonic;
use auburnline_gateway::upstream::Outcome;
use auburnline_gateway::upstream::Upstream;
use auburnline_gateway::upstream::UpstreamId;

use crate::shared::Shared;

/// A request in flight; counted at its upstream until it is dropped.
pub(crate) struct Flight {
    shared: Rc<Shared>,
    group: GroupId,
    upstream: Arc<Upstream>,
    began: Monotonic,
    outcome: Outcome,
}

impl Flight {
    /// Takes over a request that was counted when its upstream was chosen.
    pub(crate) fn new(shared: Rc<Shared>, upstream: Arc<Upstream>, group: GroupId) -> Flight {
        let began = shared.now();
        Flight {
            shared,
            group,
            upstream,
            began,
            // A drop without a word is a caller that left.
            outcome: Outcome::Cancelled,
        }
    }

    /// Returns the upstream's group.
    pub(crate) fn group(&self) -> &GroupId {
        &self.group
    }

    /// Returns the upstream's id.
    pub(crate) fn upstream(&self) -> &UpstreamId {
        &self.upstream.id
    }

    /// Returns the upstream as it was published when it was chosen.
    pub(crate) fn target(&self) -> &Arc<Upstream> {
        &self.upstream
    }

    /// Returns when it was sent.
    pub(crate) fn began(&self) -> Monotonic {
        self.began
    }

    /// Takes that the upstream answered.
    pub(crate) fn answered(&mut self) {
        let took = self.shared.now().saturating_sub(self.began);
        self.outcome = Outcome::Answered(took);
    }

    /// Takes that the upstream refused.
    pub(crate) fn refused(&mut self) {
        self.outcome = Outcome::Refused;
    }

    /// Takes that the upstream failed.
    pub(crate) fn failed(&mut self) {
        self.outcome = Outcome::Failed;
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let now = self.shared.now();
        let upstream = &self.upstream;
        self.shared.gateway().end(&upstream.id, self.outcome, now);
        self.shared.place(&upstream.service).notify_one();
    }
}
