//! Requests that are refused or shed.

use std::time::Duration;

use auburnline_core::error::Kind;
use auburnline_core::time::Monotonic;

use super::MAX_RETRY_AFTER;
use super::MIN_RETRY_AFTER;
use super::NotStarted;
use super::Queue;
use super::Reason;
use super::Shed;
use super::Waiting;
use super::flow;
use super::flow::Flow;
use super::predict::to_float;

impl<K: Ord + Clone> Queue<K> {
    pub(super) fn refuse(
        &self,
        now: Monotonic,
        request: &Waiting<K>,
        wait: Duration,
    ) -> Option<Shed<K>> {
        let shed = |kind, reason, retry_after| Shed {
            proof: NotStarted::new(request.key.clone()),
            kind,
            reason,
            predicted_wait: wait,
            retry_after,
        };
        if request.deadline <= now {
            return Some(shed(
                Kind::DeadlinePassed,
                Reason::DeadlinePassed,
                Duration::ZERO,
            ));
        }
        if !self.is_late(now, wait, request.tokens, request.deadline) {
            return None;
        }
        let end = now + wait + self.estimator.service_time(request.tokens);
        let excess = end.saturating_sub(request.deadline);
        let excess = excess.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Some(shed(Kind::Overloaded, Reason::WouldMissDeadline, excess))
    }

    pub(super) fn refuse_full(&self, key: K, tokens: u64) -> Shed<K> {
        Shed {
            proof: NotStarted::new(key),
            kind: Kind::Overloaded,
            reason: Reason::QueueFull,
            predicted_wait: self.predict_wait(to_float(self.queued_tokens)),
            retry_after: self
                .predict_wait(to_float(tokens))
                .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }

    /// Makes room for `request` in a full queue by shedding the last request of the flow with the largest backlog.
    ///
    /// Fails if the request needs more bytes than are left, and unless its flow, with the request included, stays smaller than that flow, or both are the same
    /// flow and the shed request has the lower priority.
    pub(super) fn make_room(
        &mut self,
        now: Monotonic,
        request: &Waiting<K>,
    ) -> Result<Option<Shed<K>>, ()> {
        if self.bytes.saturating_add(request.bytes) > self.settings.max_bytes {
            return Err(());
        }
        if self.items.len() < self.settings.max_queued {
            return Ok(None);
        }
        let Some((largest_backlog, workspace)) = self.by_backlog.last().cloned() else {
            return Err(());
        };
        let own_backlog = self
            .flows
            .get(&request.workspace)
            .map_or(0, Flow::normalized_backlog);
        let longest = &self.flows[&workspace];
        let (position, last) = longest.last();
        let longer =
            own_backlog + flow::virtual_tokens(request.tokens, request.weight) < largest_backlog;
        let lower = workspace == request.workspace && position.priority < request.priority;
        if !longer && !lower {
            return Err(());
        }
        let last = last.clone();
        Ok(Some(self.shed(
            now,
            &last,
            Reason::Displaced,
            Duration::ZERO,
        )))
    }

    pub(super) fn shed(
        &mut self,
        now: Monotonic,
        key: &K,
        reason: Reason,
        wait: Duration,
    ) -> Shed<K> {
        let item = self.remove(key);
        let end = now + wait + self.estimator.service_time(item.tokens);
        let excess = end.saturating_sub(item.deadline);
        let (kind, retry_after) = match reason {
            Reason::Draining => (Kind::Leaving, Duration::ZERO),
            _ => (
                Kind::Overloaded,
                excess.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
            ),
        };
        Shed {
            proof: NotStarted::new(key.clone()),
            kind,
            reason,
            predicted_wait: wait,
            retry_after,
        }
    }
}
