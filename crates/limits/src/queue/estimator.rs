//! Estimate of how long an upstream takes for a token.

use std::time::Duration;

/// Part of the past that one more finished request leaves in the estimate.
const DECAY: f64 = 0.98;
/// Finished requests that the first guess counts for.
const PRIOR: f64 = 4.0;
/// Tokens of a request of the first guess.
const PRIOR_TOKENS: f64 = 512.0;

/// Seconds that a running request takes for each token that it was charged.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimator {
    seconds: f64,
    tokens: f64,
}

impl Estimator {
    /// Starts from a guess of the time for one token.
    pub(super) fn new(guess: Duration) -> Self {
        let tokens = PRIOR * PRIOR_TOKENS;
        Estimator {
            seconds: guess.as_secs_f64() * tokens,
            tokens,
        }
    }

    /// Learns from one finished request.
    pub(super) fn record(&mut self, took: Duration, tokens: u64) {
        self.seconds = self.seconds * DECAY + took.as_secs_f64();
        self.tokens = self.tokens * DECAY + super::to_float(tokens.max(1));
    }

    /// Forgets a past that was slower than this request.
    pub(super) fn restart_if_faster(&mut self, took: Duration, tokens: u64) {
        if took < self.service_time(tokens) {
            *self = Estimator::new(took.div_f64(super::to_float(tokens.max(1))));
        }
    }

    /// Time that a request of `tokens` runs.
    pub(super) fn service_time(&self, tokens: u64) -> Duration {
        self.drain_time(super::to_float(tokens), 1)
    }

    /// Time that `tokens` take when `places` requests run at once.
    pub(super) fn drain_time(&self, tokens: f64, concurrency: usize) -> Duration {
        let concurrency = super::to_float(concurrency.max(1) as u64);
        let seconds = tokens * self.seconds / self.tokens / concurrency;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX / 4)
    }
}
