//! Settings of a queue.

use std::time::Duration;

use auburnline_core::request::Priority;

/// Settings of a queue.
#[derive(Clone, Debug)]
pub struct Settings {
    pub(super) max_running: usize,
    pub(super) max_queued: usize,
    pub(super) token_time: Duration,
    pub(super) wait_tolerance: f64,
    pub(super) head_starts: [u64; 3],
    pub(super) delays: [Duration; 3],
}

impl Settings {
    /// Returns a builder with the defaults.
    #[must_use]
    pub fn builder() -> Builder {
        Builder(Settings {
            max_running: 32,
            max_queued: 1024,
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

    /// Tokens per weight by which a priority goes before its flow's turn.
    pub(super) fn head_start(&self, priority: Priority) -> u64 {
        self.head_starts[priority as usize]
    }

    /// Time by which a priority stands behind urgent work of its own flow.
    pub(super) fn delay(&self, priority: Priority) -> Duration {
        self.delays[priority as usize]
    }
}

/// Builder of [`Settings`].
#[derive(Clone, Debug)]
pub struct Builder(Settings);

impl Builder {
    /// Most requests that run at once, at least 1.
    #[must_use]
    pub fn max_running(mut self, requests: usize) -> Self {
        self.0.max_running = requests.max(1);
        self
    }

    /// Most requests that wait.
    #[must_use]
    pub fn max_queued(mut self, requests: usize) -> Self {
        self.0.max_queued = requests;
        self
    }

    /// First guess of a running request's time for each token charged.
    #[must_use]
    pub fn pace(mut self, time: Duration) -> Self {
        self.0.token_time = time;
        self
    }

    /// By how much a waiting request's predicted wait may be overrated before it is shed, from 1.
    #[must_use]
    pub fn wait_tolerance(mut self, factor: f64) -> Self {
        self.0.wait_tolerance = factor.max(1.0);
        self
    }

    /// Tokens per weight by which normal and urgent work go before their flow's turn.
    #[must_use]
    pub fn head_starts(mut self, normal: u64, urgent: u64) -> Self {
        self.0.head_starts = [0, normal, urgent];
        self
    }

    /// Time by which batch and normal work stand behind urgent work of their own flow.
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
