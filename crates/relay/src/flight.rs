//! Accounting of requests in flight at upstreams.
//!
//! Each attempt ends here, in whichever way: by its answer, by a failure, or because nobody waits for it any more. One that
//! was sent and did not succeed may still crash its upstream, so it is handed to [`crate::suspect`].

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use auburnline_core::id::GroupId;
use auburnline_core::time::Monotonic;
use auburnline_gateway::quarantine::part::Stage;
use auburnline_gateway::upstream::Outcome;
use auburnline_gateway::upstream::Upstream;
use auburnline_gateway::upstream::UpstreamId;

use crate::arrival::Arrival;
use crate::shared::Shared;
use crate::suspect::Attempt;
use crate::suspect::End;

/// Maximum length of an id that is kept for the log, in characters.
const MAX_ID_CHARS: usize = 64;

/// An attempt in flight. It counts towards its upstream's load until it is dropped, which also reports its outcome.
pub(crate) struct Flight {
    shared: Rc<Shared>,
    group: GroupId,
    upstream: Arc<Upstream>,
    began: Monotonic,
    outcome: Outcome,
    /// The request, from its send on until it is known that it can't crash the upstream.
    sent: Option<Rc<Arrival>>,
    stage: Cell<Stage>,
    end: End,
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
            sent: None,
            stage: Cell::new(Stage::Waiting),
            end: End::Unanswered,
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

    /// Records that the request is being sent.
    pub(crate) fn sent(&mut self, arrival: &Rc<Arrival>) {
        self.sent = Some(Rc::clone(arrival));
    }

    /// Records that no byte of the request was sent.
    pub(crate) fn unsent(&mut self) {
        self.outcome = Outcome::Failed;
        self.sent = None;
    }

    /// Records how far the answer is.
    pub(crate) fn reached(&self, stage: Stage) {
        self.stage.set(stage);
    }

    /// Records a complete response with this status, with the time that it took.
    pub(crate) fn answered(&mut self, status: http::StatusCode) {
        let took = self.shared.now().saturating_sub(self.began);
        self.outcome = Outcome::Answered(took);
        self.ended(status);
    }

    /// Records that the upstream refused to execute the request.
    pub(crate) fn refused(&mut self) {
        self.outcome = Outcome::Refused;
        self.sent = None;
    }

    /// Records that the upstream failed, or that its response was lost.
    pub(crate) fn failed(&mut self) {
        self.outcome = Outcome::Failed;
    }

    /// Records a complete response whose status reports that the upstream failed.
    pub(crate) fn failed_with(&mut self, status: http::StatusCode) {
        self.outcome = Outcome::Failed;
        self.ended(status);
    }

    fn ended(&mut self, status: http::StatusCode) {
        if status.is_success() {
            self.sent = None;
        } else if status.is_server_error() {
            self.end = End::Failed;
        } else {
            self.end = End::Rejected;
        }
    }

    /// Takes the attempt if it may still crash its upstream, or has.
    pub(crate) fn take_suspect(&mut self) -> Option<Attempt> {
        let arrival = self.sent.take()?;
        if arrival.is_answered.get() {
            return None;
        }
        Some(Attempt {
            id: arrival.call.id.chars().take(MAX_ID_CHARS).collect(),
            upstream: Arc::clone(&self.upstream),
            request: arrival.fingerprint(),
            shared_parts: arrival.call.parts.clone(),
            last_part: arrival.call.last_part,
            stage: self.stage.get(),
            end: self.end,
            ended: self.shared.now(),
        })
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        if let Some(attempt) = self.take_suspect() {
            self.shared.suspect(attempt);
        }
        let now = self.shared.now();
        let upstream = &self.upstream;
        self.shared.gateway().end(&upstream.id, self.outcome, now);
        self.shared.wake_waiting(&upstream.service);
    }
}
