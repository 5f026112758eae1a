//! One upstream of the pool: what this gateway has in flight there and what its last answers showed.

use std::sync::Arc;
use std::time::Duration;

use auburnline_core::time::Monotonic;

use crate::quarantine::StartTag;
use crate::quarantine::start_tag;
use crate::upstream::Outcome;
use crate::upstream::State;
use crate::upstream::Upstream;
use crate::upstream::tag;

/// Time in which the memory of a failure halves. Troubles of upstreams last seconds, and a judgement
/// that lasts longer keeps an upstream that is well again without work.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Most failures that are remembered.
const MAX_FAILURES: f64 = 8.0;
/// Weight of a new answer in the mean time of an upstream, if it follows the one before at once.
const TIME_WEIGHT: f64 = 0.2;
/// Time after its last answer from which a mean counts no more, however far it lies above its peers': a slow upstream
/// gets no work, and only another request shows that it is well again.
const TIME_MEMORY: Duration = Duration::from_secs(8);

/// One upstream with what is known of it.
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
    /// Whether it is missing from the list.
    pub(crate) is_missing: bool,
}

impl Member {
    /// Returns an upstream that was just listed.
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
            is_missing: false,
        }
    }

    /// Returns whether `upstream` is a later start of this one under its id: nothing of before holds for it.
    pub(crate) fn is_other_incarnation(&self, upstream: &Upstream) -> bool {
        let starts = self.upstream.born.zip(upstream.born);
        starts.is_some_and(|(known, told)| known != told)
    }

    /// Returns whether this is a later start than that of `upstream`, under its id.
    pub(crate) fn is_newer_than(&self, upstream: &Upstream) -> bool {
        let starts = self.upstream.born.zip(upstream.born);
        starts.is_some_and(|(known, told)| known > told)
    }

    /// Takes its entry anew; a start that is not told this time is the one that was told before.
    pub(crate) fn update(&mut self, mut upstream: Upstream) {
        upstream.born = upstream.born.or(self.upstream.born);
        self.start = start_tag(&upstream);
        self.upstream = Arc::new(upstream);
        self.is_missing = false;
    }

    /// Takes that it leaves.
    pub(crate) fn leave(&mut self) {
        let upstream = Upstream {
            state: State::Draining,
            ..Upstream::clone(&self.upstream)
        };
        self.upstream = Arc::new(upstream);
    }

    /// Returns whether it takes new work.
    pub(crate) fn takes_work(&self) -> bool {
        self.upstream.state == State::Ready
    }

    /// Returns the failures that are still remembered.
    pub(crate) fn failures(&self, now: Monotonic) -> f64 {
        self.failures * halved(now.saturating_sub(self.failed_at), FAILURE_HALF_LIFE)
    }

    /// Takes how an exchange with it ended.
    pub(crate) fn record(&mut self, outcome: Outcome, now: Monotonic) {
        match outcome {
            Outcome::Answered(took) => {
                self.failures = self.failures(now) / 2.0;
                self.failed_at = now;
                let took = took.as_secs_f64();
                let mean = self.mean_seconds.unwrap_or(took);
                let kept = (1.0 - TIME_WEIGHT) * self.remembered(now);
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

    /// Returns how many times longer it takes than its fastest peer; that fades with time.
    pub(crate) fn slowness(&self, usual: Option<f64>, now: Monotonic) -> f64 {
        let (Some(mean), Some(usual)) = (self.mean_seconds, usual) else {
            return 1.0;
        };
        let excess = (mean / usual.max(f64::EPSILON) - 1.0).max(0.0);
        1.0 + excess * self.remembered(now)
    }

    /// Returns the part of its mean time that still counts.
    fn remembered(&self, now: Monotonic) -> f64 {
        let age = now.saturating_sub(self.mean_at);
        (1.0 - age.div_duration_f64(TIME_MEMORY)).max(0.0)
    }
}

/// Returns the part left after `age` of what halves in `half_life`.
fn halved(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
