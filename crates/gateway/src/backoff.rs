//! Upstreams that asked this gateway to back off.
//!
//! Such a word binds the gateway that got it and no other one, so it is not told to others. It holds for one start of an
//! upstream, also where its entry on the list is removed and written again meanwhile.

use std::collections::BTreeMap;
use std::time::Duration;

use auburnline_core::time::Monotonic;

use crate::gateway::Gateway;
use crate::quarantine::StartTag;
use crate::quarantine::start_tag;
use crate::upstream::Upstream;
use crate::upstream::UpstreamId;

/// Upstreams that are kept at most; of more, those whose time ends first are let go.
const MOST_KEPT: usize = 4_096;

/// Until when upstreams are left alone since they asked for it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Backoffs(BTreeMap<StartTag, Monotonic>);

impl Backoffs {
    /// Returns whether no upstream is left alone.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns until when an upstream is left alone; none if it is not.
    pub(crate) fn until(&self, upstream: &Upstream, now: Monotonic) -> Option<Monotonic> {
        if self.is_empty() {
            return None;
        }
        let until = self.0.get(&start_tag(upstream)).copied();
        until.filter(|until| now < *until)
    }

    /// Leaves an upstream alone; a time that ends sooner than an earlier one does not shorten that.
    fn extend(&mut self, upstream: StartTag, until: Monotonic) {
        let known = self.0.entry(upstream).or_insert(until);
        *known = until.max(*known);
        if self.0.len() > MOST_KEPT {
            let first = self.0.iter().min_by_key(|(_, until)| **until);
            if let Some(first) = first.map(|(start, _)| *start) {
                self.0.remove(&first);
            }
        }
    }

    /// Forgets the times that are over.
    pub(crate) fn forget(&mut self, now: Monotonic) {
        self.0.retain(|_, until| now < *until);
    }
}

impl Gateway {
    /// Takes that an upstream wants nothing of this gateway for a time.
    pub fn back_off(&mut self, upstream: &Upstream, time: Duration, now: Monotonic) {
        let until = now.saturating_add(time);
        self.backoffs.extend(start_tag(upstream), until);
    }

    /// Returns whether an upstream neither leaves nor asked this gateway to back off.
    #[must_use]
    pub fn wants_work(&self, upstream: &Upstream, now: Monotonic) -> bool {
        self.pool.takes_work(upstream) && self.backoffs.until(upstream, now).is_none()
    }

    /// Returns whether a request may be sent to an upstream, as far as the upstream's own word goes.
    #[must_use]
    pub fn is_open(&self, upstream: &Upstream, now: Monotonic) -> bool {
        self.closed_until(upstream, now).is_none()
    }

    /// Returns until when an upstream is left alone, for its limit or since it asked for it; none if it is open.
    pub(crate) fn closed_until(&self, upstream: &Upstream, now: Monotonic) -> Option<Monotonic> {
        let limited = self.limits.open_at(upstream, now);
        limited.max(self.backoffs.until(upstream, now))
    }

    /// Returns the upstreams of a service that asked this gateway to back off, at most `most`, with the time left.
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
