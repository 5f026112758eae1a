//! Settings of a queue, with a builder.

use std::time::Duration;

use auburnline_core::request::Priority;

/// Bounds and estimates of a queue.
#[derive(Clone, Debug)]
pub struct Settings {
    pub(super) max_running: usize,
    pub(super) max_queued: usize,
    pub(super) max_bytes: usize,
    pub(super) token_time: Duration,
    pub(super) wait_tolerance: f64,
    pub(super) head_starts: [u64; 3],
    pub(super) delays: [Duration; 3],
}

impl Settings {
    /// Returns a builder with default values.
    #[must_use]
    pub fn builder() -> Builder {
        Builder(Settings {
            max_running: 32,
            max_queued: 1024,
            max_bytes: usize::MAX,
            token_time: Duration::from_millis(2),
            wait_tolerance: 1.0,
            head_starts: [0, 4_096, 16_384],
            delays: [
                Duration::from_secs(8),
                Duration::from_secs(2),
                Duration::ZERO,
            ],
        })
    }

    /// Returns the head start of a priority over other flows, in tokens per unit of weight.
    pub(super) fn head_start(&self, priority: Priority) -> u64 {
        self.head_starts[priority as usize]
    }

    /// Returns the time that is added to the arrival of a request in the order of its own flow; zero for urgent
    /// requests.
    pub(super) fn delay(&self, priority: Priority) -> Duration {
        self.delays[priority as usize]
    }
}

/// Builder of [`Settings`].
#[derive(Clone, Debug)]
pub struct Builder(Settings);

impl Builder {
    /// Sets the maximum number of requests that run at once, at least 1.
    #[must_use]
    pub fn max_running(mut self, requests: usize) -> Self {
        self.0.max_running = requests.max(1);
        self
    }

    /// Sets the maximum number of queued requests.
    #[must_use]
    pub fn max_queued(mut self, requests: usize) -> Self {
        self.0.max_queued = requests;
        self
    }

    /// Sets the maximum bytes of queued and running requests together.
    #[must_use]
    pub fn max_bytes(mut self, bytes: usize) -> Self {
        self.0.max_bytes = bytes;
        self
    }

    /// Sets the initial estimate of a running request's time per token charged.
    #[must_use]
    pub fn token_time(mut self, time: Duration) -> Self {
        self.0.token_time = time;
        self
    }

    /// Sets the factor by which the predicted wait of a queued request may be too long, at least 1: the request is
    /// shed only if it would be late after the predicted wait divided by this.
    #[must_use]
    pub fn wait_tolerance(mut self, factor: f64) -> Self {
        self.0.wait_tolerance = factor.max(1.0);
        self
    }

    /// Sets the head starts of normal and urgent requests over other flows, in tokens per unit of weight. Batch
    /// requests have none.
    #[must_use]
    pub fn head_starts(mut self, normal: u64, urgent: u64) -> Self {
        self.0.head_starts = [0, normal, urgent];
        self
    }

    /// Sets the times that are added to the arrival of batch and normal requests in the order of their own flow.
    /// Urgent requests have none.
    #[must_use]
    pub fn delays(mut self, batch: Duration, normal: Duration) -> Self {
        self.0.delays = [batch, normal, Duration::ZERO];
        self
    }

    /// Returns the settings.
    #[must_use]
    pub fn build(self) -> Settings {
        self.0
    }
}
