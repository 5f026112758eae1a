//! Prediction of when a queued request starts, and whether it finishes by its deadline.

use std::time::Duration;

use auburnline_core::request::Priority;
use auburnline_core::time::Monotonic;

use super::Item;
use super::Queue;
use super::Waiting;
use super::flow::Flow;

/// Idle time of the upstream after which a request is started whatever its estimated service time.
const PROBE_AFTER: Duration = Duration::from_secs(1);

impl<K: Ord + Clone> Queue<K> {
    /// Returns whether a request would miss its deadline even if it started now.
    pub(super) fn is_too_late(&self, now: Monotonic, item: &Item) -> bool {
        item.deadline <= now || self.is_late(now, Duration::ZERO, item.tokens, item.deadline)
    }

    /// Returns whether a request that starts after `wait` is predicted to miss its deadline.
    ///
    /// While fewer than a quarter of the maximum are running, no request counts as late: only requests
    /// that run can show that an upstream which was slow is fast again.
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

    /// Returns whether the upstream has been idle for long enough to start a request that measures its speed.
    pub(super) fn may_probe(&self, now: Monotonic) -> bool {
        self.running.is_empty() && now >= self.last_finish + PROBE_AFTER
    }

    /// Returns the predicted time until a request that isn't queued yet would start.
    pub(super) fn predict_new(&self, request: &Waiting<K>) -> Duration {
        if self.items.is_empty() && self.running.len() < self.settings.max_running {
            return Duration::ZERO;
        }
        let new_flow = Flow::new(self.virtual_time, request.weight);
        let flow = self.flows.get(&request.workspace).unwrap_or(&new_flow);
        let ahead = flow.ahead_of(request.priority);
        let fluid = self.fluid(flow, ahead, request.tokens, request.priority);
        self.predict_wait(fluid)
    }

    /// Returns the tokens that all flows together are served before a request with `ahead` tokens before it in
    /// `flow` starts, in the fluid approximation of fair queueing.
    ///
    /// While the flow gets its share, all flows together are served the flow's tokens times the sum of weights
    /// divided by the flow's weight. Half of the request's tokens is added for the turns of other flows at equal
    /// tags.
    pub(super) fn fluid(&self, flow: &Flow<K>, ahead: u64, tokens: u64, priority: Priority) -> f64 {
        let weight = f64::from(flow.weight);
        let joining = if flow.is_empty() { weight } else { 0.0 };
        let total_weight = to_float(self.total_weight) + joining;
        let own = (to_float(ahead) + to_float(tokens) / 2.0) / weight;
        let head_start = to_float(self.settings.head_start(priority));
        (flow.lead(self.virtual_time) + own - head_start).max(0.0) * total_weight
    }

    /// Returns the time until `ahead` queued tokens have been served, and half of the running ones if the maximum
    /// number of requests is running.
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

#[expect(
    clippy::cast_precision_loss,
    reason = "an estimate of tokens needs no more digits"
)]
pub(super) fn to_float(tokens: u64) -> f64 {
    tokens as f64
}
