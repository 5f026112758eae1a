//! Upstreams that are cold: for some time they bear few requests per second from the whole fleet.
//!
//! All gateways learn of a cold upstream from its entry, and each derives its own share of the rate
//! from the size of the fleet, without asking another one. So a fleet which falls apart sends no more
//! than a whole one.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use auburnline_core::time::Monotonic;

use crate::gateway::Gateway;
use crate::quarantine::StartTag;
use crate::quarantine::start_tag;
use crate::share;
use crate::upstream::Upstream;
use crate::upstream::UpstreamId;

/// Window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Time after its start within which a gateway can't tell the size of the fleet.
pub(crate) const FLEET_UNKNOWN_TIME: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
struct Cold {
    until: Monotonic,
    /// When requests were sent within the last window.
    sends: VecDeque<Monotonic>,
}

impl Cold {
    /// Returns until when the upstream is not used by a gateway that may send it `share` requests
    /// in each window; none if it may be used now.
    fn closed_until(&self, share: usize, now: Monotonic) -> Option<Monotonic> {
        let is_recent = |at: &&Monotonic| now.saturating_sub(**at) < WINDOW;
        let recent = self.sends.iter().filter(is_recent).count();
        if recent < share {
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
        let cold = self.warm_ups.0.entry(start).or_insert(Cold {
            until,
            sends: VecDeque::new(),
        });
        cold.until = until;
    }

    /// Forgets upstreams that are warm or no longer known.
    pub(crate) fn forget_warm(&mut self, now: Monotonic) {
        if self.warm_ups.is_empty() {
            return;
        }
        let known: HashSet<StartTag> = self.pool.starts().map(|(start, _)| start).collect();
        self.warm_ups
            .0
            .retain(|start, cold| now < cold.until && known.contains(start));
    }

    /// Returns until when an upstream is not used because it is cold; none if it may be used now.
    pub(crate) fn cold_until(&self, upstream: &Upstream, now: Monotonic) -> Option<Monotonic> {
        if self.warm_ups.is_empty() {
            return None;
        }
        let cold = self.warm_ups.0.get(&start_tag(upstream));
        let cold = cold.filter(|cold| now < cold.until)?;
        let service = self.table()?.service(&upstream.service)?;
        let share = self.warm_up_share(service.warm_up_rate?, upstream, now);
        cold.closed_until(share, now)
    }

    /// Returns the cold upstreams of a service, at most `most`, with the time for which they are.
    #[must_use]
    pub fn cold(&self, service: &str, most: usize, now: Monotonic) -> Vec<(UpstreamId, Duration)> {
        let upstreams = self.pool.iter();
        let upstreams = upstreams.filter(|upstream| *upstream.service == *service);
        let cold = upstreams.filter_map(|upstream| {
            let cold = self.warm_ups.0.get(&start_tag(upstream))?;
            let left = cold.until.checked_sub(now)?;
            Some((upstream.id.clone(), left))
        });
        cold.take(most).collect()
    }

    /// Returns how many requests per window this gateway may send to an upstream that bears `rate`
    /// from all gateways together.
    fn warm_up_share(&self, rate: f64, upstream: &Upstream, now: Monotonic) -> usize {
        let fleet = self.roster.fleet_size(Duration::ZERO, now);
        let Some(fleet) = fleet.filter(|_| now >= FLEET_UNKNOWN_TIME) else {
            return 0;
        };
        let instance = &self.roster.own_entry().instance;
        let share = share::of(rate, fleet, instance, &upstream.id);
        usize::try_from(share).unwrap_or(usize::MAX)
    }
}
