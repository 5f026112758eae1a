//! Delay before a retry.

use std::time::Duration;

use rand::Rng;

/// Exponential backoff with full jitter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Upper bound of the jitter before the first retry; doubles with each further retry.
    pub base: Duration,
    /// Upper bound of the jitter before any retry.
    pub cap: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Backoff {
            base: Duration::from_millis(100),
            cap: Duration::from_secs(10),
        }
    }
}

impl Backoff {
    /// Returns the delay before retry `number`, counted from 1.
    ///
    /// The jitter is added to `retry_after`, so that the delay is never shorter than the server
    /// asked for and clients that were refused at the same time do not retry at the same time.
    pub fn wait(&self, number: u32, retry_after: Duration, rng: &mut impl Rng) -> Duration {
        let doubled = 2_u32.saturating_pow(number.saturating_sub(1));
        let max_jitter = self.base.saturating_mul(doubled).min(self.cap);
        retry_after + max_jitter.mul_f64(rng.random::<f64>())
    }
}
