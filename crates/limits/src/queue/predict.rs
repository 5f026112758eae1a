//! Prediction of when a waiting request would start.

use std::time::Duration;

use auburnline_core::request::Priority;
use auburnline_core::time::Monotonic;

use super::Item;
use super::Queue;
use super::Waiting;
use super::flow::Flow;

/// Idle time after which a request is started whatever the past pace.
const PROBE_AFTER: Duration = Duration::from_secs(1);

impl<K: Ord + Clone> Queue<K> {
    /// Whether a request would miss its deadline even if it started now.
    pub(super) fn is_too_late(&self, now: Monotonic, item: &Item) -> bool {
        item.deadline <= now || self.is_late(now, Duration::ZERO, item.tokens, item.deadline)
    }

    /// Whether a request that starts after `wait` is predicted to miss its deadline.
    ///
    /// While most places are free nothing is held to be late: only what runs can show that an
    /// upstream which was slow is fast again.
    pub(super) fn is_late(
        &self,
        now: Monotonic,
        wait: Duration,
        tokens: u64,
        deadline: Monotonic,
    ) -> bool {
        let mostly_free = self.running.len() < self.settings.max_running / 4;
        !mostly_free
            && !self.may_probe(now)
            && now + wait + self.estimator.service_time(tokens) > deadline
    }

    /// Whether the upstream has been idle so long that a request may try how fast it is.
    pub(super) fn may_probe(&self, now: Monotonic) -> bool {
        self.running.is_empty() && now >= self.last_finish + PROBE_AFTER
    }

    /// Time until a request that isn't queued yet would start.
    pub(super) fn predict_new(&self, request: &Waiting<K>) -> Duration {
        if self.items.is_empty() && self.running.len() < self.settings.max_running {
            return Duration::ZERO;
        }
        let fresh = Flow::new(self.virtual_time, request.weight);
        let flow = self.flows.get(&request.workspace).unwrap_or(&fresh);
        let ahead = flow.ahead_of(request.priority);
        let fluid = self.fluid(flow, ahead, request.tokens, request.priority);
        self.predict_wait(fluid)
    }

    /// Tokens that all flows are served before a request with `ahead` tokens before it in `flow`.
    ///
    /// While the flow gets its share, all flows together are served its tokens times the sum of
    /// weights over its own; half of the request stands for the others' turns at equal tags.
    pub(super) fn fluid(&self, flow: &Flow<K>, ahead: u64, tokens: u64, class: Priority) -> f64 {
        let weight = f64::from(flow.weight);
        let joining = if flow.is_empty() { weight } else { 0.0 };
        let total_weight = to_float(self.total_weight) + joining;
        let own = (to_float(ahead) + to_float(tokens) / 2.0) / weight;
        let head_start = to_float(self.settings.head_start(class));
        (flow.lead(self.virtual_time) + own - head_start).max(0.0) * total_weight
    }

    /// Time until `ahead` queued tokens and half of the running ones have been served.
    pub(super) fn predict_wait(&self, ahead: f64) -> Duration {
        let max_running = self.settings.max_running;
        let full = self.running.len() >= max_running;
        let residual = if full {
            to_float(self.running_tokens) / 2.0
        } else {
            0.0
        };
        self.estimator.drain_time(ahead + residual, max_running)
    }
}

/// Returns `tokens` for an estimate.
#[expect(
    clippy::cast_precision_loss,
    reason = "an estimate of tokens needs no more digits"
)]
pub(super) fn to_float(tokens: u64) -> f64 {
    tokens as f64
}
