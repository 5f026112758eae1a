//! A request in flight at an upstream.

use std::rc::Rc;

use auburnline_core::id::GroupId;
use auburnline_core::time::Monotonic;
use auburnline_gateway::route::ServiceId;
use auburnline_gateway::upstream::Outcome;
use auburnline_gateway::upstream::Upstream;
use auburnline_gateway::upstream::UpstreamId;

use crate::shared::Shared;

/// A request in flight; counted at its upstream until it is dropped.
pub(crate) struct Flight {
    shared: Rc<Shared>,
    service: ServiceId,
    group: GroupId,
    upstream: UpstreamId,
    began: Monotonic,
    outcome: Outcome,
}

impl Flight {
    /// Takes over a request that was counted when its upstream was chosen.
    pub(crate) fn new(shared: Rc<Shared>, upstream: &Upstream, group: GroupId) -> Flight {
        let began = shared.now();
        Flight {
            shared,
            service: upstream.service.clone(),
            group,
            upstream: upstream.id.clone(),
            began,
            // A drop without a word is a caller that left.
            outcome: Outcome::Cancelled,
        }
    }

    /// Returns the upstream's group.
    pub(crate) fn group(&self) -> &GroupId {
        &self.group
    }

    /// Returns the upstream.
    pub(crate) fn upstream(&self) -> &UpstreamId {
        &self.upstream
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
        self.shared.gateway().end(&self.upstream, self.outcome, now);
        self.shared.place(&self.service).notify_one();
    }
}
