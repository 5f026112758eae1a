//! Estimate of an upstream's service time per token.

use std::time::Duration;

/// Factor by which each finished request reduces the weight of earlier ones in the estimate.
const DECAY: f64 = 0.98;
/// Number of finished requests that the initial value counts as.
const PRIOR_REQUESTS: f64 = 4.0;
/// Tokens of each request that the initial value counts as.
const PRIOR_REQUEST_TOKENS: f64 = 512.0;

/// Time that a running request takes per token charged, as a ratio of decayed sums.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimator {
    seconds: f64,
    tokens: f64,
}

impl Estimator {
    /// Returns an estimator whose initial value is `token_time`.
    pub(super) fn new(token_time: Duration) -> Self {
        let tokens = PRIOR_REQUESTS * PRIOR_REQUEST_TOKENS;
        Estimator {
            seconds: token_time.as_secs_f64() * tokens,
            tokens,
        }
    }

    /// Adds a finished request to the estimate.
    pub(super) fn record(&mut self, took: Duration, tokens: u64) {
        self.seconds = self.seconds * DECAY + took.as_secs_f64();
        self.tokens = self.tokens * DECAY + super::to_float(tokens.max(1));
    }

    /// Discards earlier requests if this one was faster than the estimate, which then starts from this one.
    pub(super) fn restart_if_faster(&mut self, took: Duration, tokens: u64) {
        if took < self.service_time(tokens) {
            *self = Estimator::new(took.div_f64(super::to_float(tokens.max(1))));
        }
    }

    /// Returns the expected running time of a request of `tokens`.
    pub(super) fn service_time(&self, tokens: u64) -> Duration {
        self.drain_time(super::to_float(tokens), 1)
    }

    /// Returns the time to process `tokens` with `concurrency` requests running at once.
    pub(super) fn drain_time(&self, tokens: f64, concurrency: usize) -> Duration {
        let concurrency = super::to_float(concurrency.max(1) as u64);
        let seconds = tokens * self.seconds / self.tokens / concurrency;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX / 4)
    }
}
