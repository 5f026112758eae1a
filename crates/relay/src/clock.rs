//! Time since the start of the process, suspensions included.
//!
//! A key that was taken away must not work because an instance slept: ages are taken from the boot
//! clock, which counts that time, unlike the clock of the timers.

use std::time::Duration;

use auburnline_core::time::Monotonic;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Clock of one process.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Duration);

impl Clock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Clock {
        Clock(boot_time())
    }

    /// Returns the time since the start.
    #[must_use]
    pub fn now(&self) -> Monotonic {
        boot_time().saturating_sub(self.0)
    }
}

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanoseconds)
}
