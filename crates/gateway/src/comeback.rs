//! When callers that this gateway refuses are to come back, and which ones have.

use std::time::Duration;

use auburnline_admission::comeback::RouteTag;
use auburnline_admission::comeback::Shortage;
use auburnline_admission::comeback::retry_after;
use auburnline_admission::feature::Feature;
use auburnline_core::hash::stable;
use auburnline_core::time::Monotonic;
use rand::Rng as _;

use crate::gateway::Gateway;
use crate::real;
use crate::request::Plan;
use crate::route::Route;

/// Time after its start at which a gateway usually serves: heartbeats of others have come, and the
/// published state with them.
const USUAL_START: Duration = Duration::from_millis(500);
/// Time over which callers that find another gateway come back: a few of its usual response times.
const ELSEWHERE_SPREAD: Duration = Duration::from_millis(200);
/// Fraction of the live gateways that must be ready for a caller to find one at once.
const READY_FRACTION: f64 = 0.5;
/// Time left of a caller that doesn't say how long it waits and whose route is unknown.
const UNKNOWN_LEFT: Duration = Duration::from_secs(1);

fn tag(route: &Route) -> RouteTag {
    stable(0, route.name.as_bytes())
}

impl Gateway {
    /// Returns whether returns are spread over the time in which capacity frees.
    fn spreads_returns(&self) -> bool {
        self.features.contains(&Feature::StartupHold)
    }

    /// Returns the time after which a caller that is refused in this shortage should come back.
    pub(crate) fn comeback(&mut self, shortage: &Shortage) -> Duration {
        let draw = self.rng.random();
        retry_after(shortage, draw)
    }

    /// Returns the retry time while this gateway's configuration is missing or too old, or `usual`
    /// without the feature. A caller that would find most other gateways in the same state is told
    /// when this one should serve.
    pub(crate) fn not_ready_retry(
        &mut self,
        usual: Duration,
        left: Option<Duration>,
        now: Monotonic,
    ) -> Duration {
        if !self.spreads_returns() {
            return usual;
        }
        let ready = real(self.roster.ready_peers(now).len());
        let others = real(self.roster.live(now) - 1);
        let is_alone = ready == 0.0 || ready < others * READY_FRACTION;
        let (expected, spread) = if !is_alone {
            (Duration::ZERO, ELSEWHERE_SPREAD)
        } else if now < USUAL_START {
            (USUAL_START.saturating_sub(now), USUAL_START)
        } else {
            // How long the store stays away is unknown; as long again is the likeliest.
            let lasted = self.freshness.outdated_for(now).unwrap_or(now);
            (lasted, lasted)
        };
        self.comeback(&Shortage {
            expected,
            spread,
            left: left.unwrap_or(UNKNOWN_LEFT),
        })
    }

    /// Returns the retry time while all groups of a service are unavailable, or a time between
    /// `usual` seconds without the feature.
    pub(crate) fn unavailable_retry(
        &mut self,
        plan: &Plan,
        usual: (f64, f64),
        now: Monotonic,
    ) -> Duration {
        let engine = plan.engine.filter(|_| self.spreads_returns());
        let Some(engine) = engine else {
            return self.random_duration(usual);
        };
        let usages = self.pool.usages(&plan.service, now);
        let groups = usages.map(|usage| self.group_of(usage.upstream));
        let since = self.groups.unavailable_since(groups);
        let lasted = now.saturating_sub(since.unwrap_or(plan.arrived));
        // Ranks stall before they give up a lost one and form a group without it. A group that
        // takes longer has lost a rank, and when that one returns is unknown.
        let reform = self.bounds.stall + engine.form_time;
        let expected = reform.checked_sub(lasted).unwrap_or(lasted);
        self.comeback(&Shortage {
            expected,
            spread: reform,
            left: plan.deadline.saturating_sub(now),
        })
    }

    /// Returns the time that a caller has spent on a request before this attempt, as far as its
    /// stated time left proves it.
    pub(crate) fn spent(&self, route: &Route, left: Option<Duration>, now: Monotonic) -> Duration {
        match left.filter(|_| self.spreads_returns()) {
            Some(left) => self.deadlines.spent(tag(route), left, now),
            None => Duration::ZERO,
        }
    }

    /// Records that a request was planned whose caller said on arrival how long it waits.
    pub fn record_attempt(&mut self, plan: &Plan, left: Option<Duration>) {
        if let Some(left) = left.filter(|_| self.spreads_returns()) {
            self.deadlines
                .record_attempt(tag(&plan.route), left, plan.arrived);
        }
    }

    /// Records that a caller was refused and told to come back.
    pub const fn record_refusal(&mut self, now: Monotonic) {
        self.deadlines.record_refusal(now);
    }
}
