//! Timeouts of an exchange.

use std::time::Duration;

/// Default time limit for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Default time limit for the head of an answer.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Default time limit for the next part of a body.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Default time limit for a complete body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Default time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeouts of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Time limit for connecting.
    pub(crate) connect: Duration,
    /// Time limit for the head of an answer.
    pub(crate) head: Duration,
    /// Time limit for the next part of a body.
    pub(crate) silence: Duration,
    /// Time limit for a complete body, even while parts keep arriving.
    pub(crate) whole: Duration,
    /// Time after which an idle connection is closed.
    pub(crate) idle: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            connect: CONNECT_TIMEOUT,
            head: HEAD_TIMEOUT,
            silence: READ_TIMEOUT,
            whole: BODY_TIMEOUT,
            idle: IDLE_TIMEOUT,
        }
    }
}

impl Timeouts {
    /// Returns the default timeouts.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the time limit for connecting.
    #[must_use]
    pub const fn connect(mut self, bound: Duration) -> Self {
        self.connect = bound;
        self
    }

    /// Sets the time limit for the head of an answer.
    #[must_use]
    pub const fn head(mut self, bound: Duration) -> Self {
        self.head = bound;
        self
    }

    /// Sets the time limit for the next part of a body.
    #[must_use]
    pub const fn silence(mut self, bound: Duration) -> Self {
        self.silence = bound;
        self
    }

    /// Sets the time limit for a complete body, even while parts keep arriving.
    #[must_use]
    pub const fn whole(mut self, bound: Duration) -> Self {
        self.whole = bound;
        self
    }

    /// Sets the time after which an idle connection is closed.
    #[must_use]
    pub const fn idle(mut self, bound: Duration) -> Self {
        self.idle = bound;
        self
    }
}
