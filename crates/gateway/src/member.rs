//! An upstream in the pool: this gateway's requests in flight there, and its recent failures and
//! response times.

use std::sync::Arc;
use std::time::Duration;

use auburnline_core::time::Monotonic;

use crate::quarantine::StartTag;
use crate::quarantine::start_tag;
use crate::spread::Revision;
use crate::upstream::Change;
use crate::upstream::Outcome;
use crate::upstream::State;
use crate::upstream::Upstream;
use crate::upstream::tag;

/// Half-life of the failure count. Faults of upstreams last seconds; a longer half-life would keep
/// a recovered upstream without work.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Upper limit of the failure count.
const MAX_FAILURES: f64 = 8.0;
/// Weight of a new sample in the mean response time, if it directly follows the previous one.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Age of the last response at which the mean response time no longer counts, however far it
/// exceeds that of the peers. A slow upstream gets no requests, so only a new one can show that it
/// has recovered.
const MEAN_MAX_AGE: Duration = Duration::from_secs(8);

/// An upstream and its statistics.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) tag: u32,
    pub(crate) start: StartTag,
    pub(crate) in_flight: u32,
    failures: f64,
    failed_at: Monotonic,
    pub(crate) mean_seconds: Option<f64>,
    mean_at: Monotonic,
    /// Revision as of which it is missing from the published list; `None` if it is listed.
    pub(crate) missing_as_of: Option<Revision>,
}

impl Member {
    /// Returns a newly listed upstream, without statistics.
    pub(crate) fn new(upstream: Upstream) -> Member {
        Member {
            tag: tag(&upstream.id),
            start: start_tag(&upstream),
            upstream: Arc::new(upstream),
            in_flight: 0,
            failures: 0.0,
            failed_at: Monotonic::ZERO,
            mean_seconds: None,
            mean_at: Monotonic::ZERO,
            missing_as_of: None,
        }
    }

    /// Returns whether `upstream` is another incarnation under the same id, to which these
    /// statistics don't apply.
    pub(crate) fn is_other_incarnation(&self, upstream: &Upstream) -> bool {
        let start_times = self.upstream.born.zip(upstream.born);
        start_times.is_some_and(|(known, told)| known != told)
    }

    /// Returns whether this incarnation started after that of `upstream`, which has the same id.
    pub(crate) fn is_newer_than(&self, upstream: &Upstream) -> bool {
        let start_times = self.upstream.born.zip(upstream.born);
        start_times.is_some_and(|(known, told)| known > told)
    }

    /// Updates the published entry. An entry without a start time keeps the one that is known.
    pub(crate) fn update(&mut self, mut upstream: Upstream) {
        upstream.born = upstream.born.or(self.upstream.born);
        self.start = start_tag(&upstream);
        self.upstream = Arc::new(upstream);
        self.missing_as_of = None;
    }

    /// Marks it as missing from the published list as of a revision; returns the change if it was
    /// listed.
    pub(crate) fn mark_missing(&mut self, as_of: Revision) -> Option<Change> {
        if self.missing_as_of.is_some() {
            return None;
        }
        self.missing_as_of = Some(as_of);
        Some(Change::Missing(Arc::clone(&self.upstream)))
    }

    /// Marks it as draining.
    pub(crate) fn mark_draining(&mut self) {
        let upstream = Upstream {
            state: State::Draining,
            ..Upstream::clone(&self.upstream)
        };
        self.upstream = Arc::new(upstream);
    }

    /// Returns whether it accepts new requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.upstream.state == State::Ready
    }

    /// Returns the decayed failure count.
    pub(crate) fn failures(&self, now: Monotonic) -> f64 {
        self.failures * decay(now.saturating_sub(self.failed_at), FAILURE_HALF_LIFE)
    }

    /// Records the outcome of a request.
    pub(crate) fn record(&mut self, outcome: Outcome, now: Monotonic) {
        match outcome {
            Outcome::Answered(took) => {
                self.failures = self.failures(now) / 2.0;
                self.failed_at = now;
                let took = took.as_secs_f64();
                let mean = self.mean_seconds.unwrap_or(took);
                let kept = (1.0 - SAMPLE_WEIGHT) * self.mean_weight(now);
                self.mean_seconds = Some(took + (mean - took) * kept);
                self.mean_at = now;
            }
            Outcome::Failed | Outcome::Refused => {
                self.failures = (self.failures(now) + 1.0).min(MAX_FAILURES);
                self.failed_at = now;
            }
            Outcome::Cancelled => {}
        }
    }

    /// Returns the factor by which it is slower than its fastest peer, given that peer's mean in
    /// seconds. The factor decays to 1 as the last response ages.
    pub(crate) fn slowness(&self, fastest: Option<f64>, now: Monotonic) -> f64 {
        let (Some(mean), Some(fastest)) = (self.mean_seconds, fastest) else {
            return 1.0;
        };
        let excess = (mean / fastest.max(f64::EPSILON) - 1.0).max(0.0);
        1.0 + excess * self.mean_weight(now)
    }

    /// Returns the weight of the mean response time, from 1 for a new one down to 0.
    fn mean_weight(&self, now: Monotonic) -> f64 {
        let age = now.saturating_sub(self.mean_at);
        (1.0 - age.div_duration_f64(MEAN_MAX_AGE)).max(0.0)
    }
}

/// Returns the fraction that is left after `age` of a quantity that decays by `half_life`.
fn decay(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
