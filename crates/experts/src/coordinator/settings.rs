//! Settings of a coordinator.

use std::time::Duration;

use auburnline_core::id::Step;

/// Timing and limits of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    pub(super) retry: Duration,
    pub(super) poll: Duration,
    pub(super) prepare_timeout: Duration,
    pub(super) arm_timeout: Duration,
    pub(super) margin: Step,
    pub(super) bytes_per_second: u64,
}

impl Settings {
    /// Returns a builder that holds the defaults.
    #[must_use]
    pub const fn builder() -> Builder {
        Builder(Settings {
            retry: Duration::from_millis(20),
            poll: Duration::from_secs(1),
            prepare_timeout: Duration::from_mins(10),
            arm_timeout: Duration::from_secs(2),
            margin: 2,
            bytes_per_second: u64::MAX,
        })
    }
}

/// Builds [`Settings`].
#[derive(Clone, Copy, Debug)]
pub struct Builder(Settings);

impl Builder {
    /// Initial interval between an order and its retry; it doubles with each retry, up to 16 times
    /// this value.
    #[must_use]
    pub const fn retry(mut self, retry: Duration) -> Builder {
        self.0.retry = retry;
        self
    }

    /// Interval between reads of the ranks while no change is under way.
    #[must_use]
    pub const fn poll(mut self, poll: Duration) -> Builder {
        self.0.poll = poll;
        self
    }

    /// Timeout for loading weights, after which the change is aborted.
    #[must_use]
    pub const fn prepare_timeout(mut self, timeout: Duration) -> Builder {
        self.0.prepare_timeout = timeout;
        self
    }

    /// Timeout for arming all ranks, after which the change is aborted.
    #[must_use]
    pub const fn arm_timeout(mut self, timeout: Duration) -> Builder {
        self.0.arm_timeout = timeout;
        self
    }

    /// Minimum number of steps between the highest reported step and the switch step; doubled each
    /// time that a rank enters the switch step before it is armed.
    #[must_use]
    pub const fn margin(mut self, margin: Step) -> Builder {
        self.0.margin = margin;
        self
    }

    /// Maximum rate at which one rank reads from the weight store, in bytes per second.
    #[must_use]
    pub const fn bytes_per_second(mut self, rate: u64) -> Builder {
        self.0.bytes_per_second = rate;
        self
    }

    /// Returns the settings.
    #[must_use]
    pub const fn build(self) -> Settings {
        self.0
    }
}
