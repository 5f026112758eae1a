//! Time since the start of the process.

use std::time::Instant;

use auburnline_core::time::Monotonic;

/// Monotonic clock of one process, shared by its worker threads.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    /// Returns the time since [`Clock::start`].
    #[must_use]
    pub fn now(&self) -> Monotonic {
        self.0.elapsed()
    }
}
