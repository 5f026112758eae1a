//! Upstreams that asked this gateway to back off.
//!
//! Such a request binds only the gateway that received it, so it is not passed on to others. It
//! holds for one start of an upstream, even if the upstream's entry on the list is removed and
//! written again meanwhile.

use std::collections::BTreeMap;
use std::time::Duration;

use auburnline_core::time::Monotonic;

use crate::gateway::Gateway;
use crate::quarantine::StartTag;
use crate::quarantine::start_tag;
use crate::upstream::Upstream;
use crate::upstream::UpstreamId;

/// Most upstreams that are remembered; beyond that, the backoff that ends first is dropped.
const MAX_BACKOFFS: usize = 4_096;

/// Until when upstreams are not used because they asked for backoff.
#[derive(Clone, Debug, Default)]
pub(crate) struct Backoffs(BTreeMap<StartTag, Monotonic>);

impl Backoffs {
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns until when an upstream is not used; none if it may be used now.
    pub(crate) fn until(&self, upstream: &Upstream, now: Monotonic) -> Option<Monotonic> {
        if self.is_empty() {
            return None;
        }
        let until = self.0.get(&start_tag(upstream)).copied();
        until.filter(|until| now < *until)
    }

    /// Starts or extends the backoff of an upstream; an earlier end never shortens it.
    fn extend(&mut self, upstream: StartTag, until: Monotonic) {
        let known = self.0.entry(upstream).or_insert(until);
        *known = until.max(*known);
        if self.0.len() > MAX_BACKOFFS {
            let first = self.0.iter().min_by_key(|(_, until)| **until);
            if let Some(first) = first.map(|(start, _)| *start) {
                self.0.remove(&first);
            }
        }
    }

    /// Drops backoffs that are over.
    pub(crate) fn forget(&mut self, now: Monotonic) {
        self.0.retain(|_, until| now < *until);
    }
}

impl Gateway {
    /// Records that an upstream asked this gateway to back off for `time`.
    pub fn back_off(&mut self, upstream: &Upstream, time: Duration, now: Monotonic) {
        let until = now.saturating_add(time);
        self.backoffs.extend(start_tag(upstream), until);
    }

    /// Returns whether an upstream is not leaving and did not ask this gateway to back off.
    #[must_use]
    pub fn accepts_requests(&self, upstream: &Upstream, now: Monotonic) -> bool {
        self.pool.is_ready(upstream) && self.backoffs.until(upstream, now).is_none()
    }

    /// Returns whether a request may be sent to an upstream, as far as its rate limit, its backoff
    /// and its warm-up allow.
    #[must_use]
    pub fn is_open(&self, upstream: &Upstream, now: Monotonic) -> bool {
        self.closed_until(upstream, now).is_none()
    }

    /// Returns until when an upstream is not used because of its rate limit or backoff, or because
    /// it is cold; none if it is open.
    pub(crate) fn closed_until(&self, upstream: &Upstream, now: Monotonic) -> Option<Monotonic> {
        let limited = self.limits.open_at(upstream, now);
        let cold = self.cold_until(upstream, now);
        limited.max(self.backoffs.until(upstream, now)).max(cold)
    }

    /// Returns the upstreams of a service that asked this gateway to back off, at most `most`, with
    /// the time left.
    #[must_use]
    pub fn backing_off(
        &self,
        service: &str,
        most: usize,
        now: Monotonic,
    ) -> Vec<(UpstreamId, Duration)> {
        let upstreams = self.pool.iter();
        let upstreams = upstreams.filter(|upstream| *upstream.service == *service);
        let left = upstreams.filter_map(|upstream| {
            let until = self.backoffs.until(upstream, now)?;
            Some((upstream.id.clone(), until.saturating_sub(now)))
        });
        left.take(most).collect()
    }
}
