//! Time since the start of the process, including time in which the system was suspended.
//!
//! A revoked key must not remain valid because an instance was suspended. Ages are therefore
//! measured with `CLOCK_BOOTTIME`, which includes that time, unlike the clock used by timers.

use std::time::Duration;

use auburnline_core::time::Monotonic;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Monotonic clock that starts at zero with the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Duration);

impl Clock {
    /// Returns a clock whose zero is now.
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
