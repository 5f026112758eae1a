//! Upstreams that are cold: for some time they bear few requests per second from the whole fleet.
//!
//! All gateways learn of a cold upstream from its entry, and each derives its own share of the rate
//! without asking another one: the requests of a second are dealt to the known gateways in an order
//! that depends on the upstream. Gateways that fail keep their shares for as long as they are known,
//! so that a fleet which falls apart sends no more than a whole one.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use auburnline_core::time::Monotonic;

use crate::gateway::Gateway;
use crate::gateway::VIEW_TIME;
use crate::quarantine::StartTag;
use crate::quarantine::start_tag;
use crate::upstream::Upstream;

/// Window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
struct Cold {
    until: Monotonic,
    /// Requests that this gateway may send in each window.
    share: usize,
    /// When requests were sent within the last window.
    sends: VecDeque<Monotonic>,
}

impl Cold {
    /// Returns until when the upstream is not used; none if it may be used now.
    fn closed_until(&self, now: Monotonic) -> Option<Monotonic> {
        let is_recent = |at: &&Monotonic| now.saturating_sub(**at) < WINDOW;
        let recent = self.sends.iter().filter(is_recent).count();
        if recent < self.share {
            return None;
        }
        let oldest = self.sends.get(self.sends.len() - recent);
        let open_at = oldest.map_or(self.until, |at| *at + WINDOW);
        Some(open_at.min(self.until))
    }
}

/// All upstreams that are cold.
#[derive(Clone, Debug, Default)]
pub(crate) struct WarmUps(HashMap<StartTag, Cold>);

impl WarmUps {
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns until when an upstream is not used; none if it may be used now.
    pub(crate) fn closed_until(&self, upstream: &Upstream, now: Monotonic) -> Option<Monotonic> {
        if self.is_empty() {
            return None;
        }
        let cold = self.0.get(&start_tag(upstream));
        let cold = cold.filter(|cold| now < cold.until)?;
        cold.closed_until(now)
    }

    /// Records that a request is sent to an upstream.
    pub(crate) fn record_send(&mut self, upstream: &Upstream, now: Monotonic) {
        if self.is_empty() {
            return;
        }
        if let Some(cold) = self.0.get_mut(&start_tag(upstream)) {
            cold.sends.retain(|at| now.saturating_sub(*at) < WINDOW);
            cold.sends.push_back(now);
        }
    }
}

impl Gateway {
    /// Records how long an upstream is cold according to its entry.
    pub(crate) fn record_warm_up(&mut self, upstream: &Upstream, now: Monotonic) {
        let start = start_tag(upstream);
        if upstream.warm_up.is_zero() {
            self.warm_ups.0.remove(&start);
            return;
        }
        let until = now.saturating_add(upstream.warm_up);
        let share = self.warm_up_share(upstream, now);
        let cold = self.warm_ups.0.entry(start).or_insert(Cold {
            until,
            share,
            sends: VecDeque::new(),
        });
        cold.until = until;
    }

    /// Adjusts the shares to the gateways that are known now, and forgets upstreams that are warm.
    pub(crate) fn refresh_warm_ups(&mut self, now: Monotonic) {
        if self.warm_ups.is_empty() {
            return;
        }
        self.warm_ups.0.retain(|_, cold| now < cold.until);
        let cold = self.pool.starts();
        let cold = cold.filter(|(start, _)| self.warm_ups.0.contains_key(start));
        let shares: Vec<(StartTag, usize)> = cold
            .map(|(start, upstream)| (start, self.warm_up_share(upstream, now)))
            .collect();
        for (start, share) in shares {
            if let Some(cold) = self.warm_ups.0.get_mut(&start) {
                cold.share = share;
            }
        }
    }

    /// Returns how many requests per window this gateway may send to a cold upstream.
    fn warm_up_share(&self, upstream: &Upstream, now: Monotonic) -> usize {
        let rate = self
            .table()
            .and_then(|table| table.service(&upstream.service)?.warm_up_rate);
        let Some(rate) = rate else {
            return usize::MAX;
        };
        // A gateway that has just started knows too few others to tell its share.
        if now < VIEW_TIME {
            return 0;
        }
        self.roster.share(rate, &upstream.id)
    }
}
