//! Life cycle of a process, from serving to its end.
//!
//! Only [`Serving`] admits requests, so that a leaving process can't admit any by mistake.
//! [`Leaving`] waits for requests in flight until the deadline, and lingers so that callers which
//! still use its address get a typed answer. The end is [`Drained`], or [`Cut`], which reports the
//! number of requests that it cut off.

use std::time::Duration;

use auburnline_core::id::Revision;
use auburnline_core::time::Monotonic;

/// Why a process leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The process received a stop signal.
    Signal,
    /// The published list marks it as leaving.
    List,
    /// The preset in force at this revision drains it.
    Preset(Revision),
}

/// State in which requests are admitted and served.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Serving {
    in_flight: u64,
}

/// State in which no request is admitted and those in flight may finish.
#[derive(Debug, PartialEq, Eq)]
pub struct Leaving {
    in_flight: u64,
    reason: Reason,
    since: Monotonic,
    linger: Duration,
    deadline: Duration,
}

/// End state without requests in flight.
#[derive(Debug, PartialEq, Eq)]
pub struct Drained {
    /// Cause of the stop.
    pub reason: Reason,
    /// Time from the start of the drain to its end.
    pub took: Duration,
}

/// End state with requests in flight.
#[derive(Debug, PartialEq, Eq)]
pub struct Cut {
    /// Cause of the stop.
    pub reason: Reason,
    /// Number of requests cut off; each is answered as unknown or incomplete.
    pub requests: u64,
    /// True if a second signal ended the process, false if the deadline did.
    pub by_signal: bool,
}

/// State of a process.
#[derive(Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// Requests are admitted and served.
    Serving(Serving),
    /// No request is admitted; those in flight may finish.
    Leaving(Leaving),
    /// The process ended without requests in flight.
    Drained(Drained),
    /// The process ended with requests in flight.
    Cut(Cut),
}

/// Time limits of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Minimum time that a leaving process answers callers which still use its address.
    pub linger: Duration,
    /// Time that requests in flight get to finish; set by the preset in force.
    pub deadline: Duration,
}

impl Serving {
    /// Admits one request.
    pub fn admit(&mut self) {
        self.in_flight += 1;
    }

    /// Records the end of one request.
    pub fn finish(&mut self) {
        debug_assert!(self.in_flight > 0, "more requests end than were admitted");
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u64 {
        self.in_flight
    }

    /// Stops admitting at once; the owner must notify every session now.
    #[must_use]
    pub fn leave(self, reason: Reason, limits: Limits, now: Monotonic) -> Leaving {
        Leaving {
            in_flight: self.in_flight,
            reason,
            since: now,
            linger: limits.linger,
            deadline: limits.deadline,
        }
    }
}

impl Leaving {
    /// Records the end of one request.
    pub fn finish(&mut self) {
        debug_assert!(self.in_flight > 0, "more requests end than were admitted");
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u64 {
        self.in_flight
    }

    /// Returns why the process leaves.
    #[must_use]
    pub fn reason(&self) -> Reason {
        self.reason
    }

    /// Returns the time that requests in flight have until the deadline.
    #[must_use]
    pub fn time_left(&self, now: Monotonic) -> Duration {
        (self.since + self.deadline).saturating_sub(now)
    }

    /// Returns whether no request is in flight.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.in_flight == 0
    }

    /// Ends the process if it has drained or the deadline has passed.
    ///
    /// A drain by preset does not end the process: it may serve again under a later revision, and
    /// no request in flight needs to be cut off until the process itself is told to stop.
    #[must_use]
    pub fn tick(self, now: Monotonic) -> Lifecycle {
        if matches!(self.reason, Reason::Preset(_)) {
            return Lifecycle::Leaving(self);
        }
        let took = now.saturating_sub(self.since);
        let reason = self.reason;
        if self.in_flight == 0 && took >= self.linger.min(self.deadline) {
            return Lifecycle::Drained(Drained { reason, took });
        }
        if took >= self.deadline {
            return Lifecycle::Cut(Cut {
                reason,
                requests: self.in_flight,
                by_signal: false,
            });
        }
        Lifecycle::Leaving(self)
    }

    /// Ends the process now, on a second signal.
    #[must_use]
    pub fn cut(self, now: Monotonic) -> Lifecycle {
        let reason = self.reason;
        if self.in_flight == 0 {
            let took = now.saturating_sub(self.since);
            return Lifecycle::Drained(Drained { reason, took });
        }
        Lifecycle::Cut(Cut {
            reason,
            requests: self.in_flight,
            by_signal: true,
        })
    }

    /// Serves again under a newer revision, if only the preset drained the process.
    ///
    /// Call it only for a `revision` that no longer drains the process.
    #[must_use]
    pub fn resume(self, revision: Revision) -> Lifecycle {
        match self.reason {
            Reason::Preset(before) if revision > before => Lifecycle::Serving(Serving {
                in_flight: self.in_flight,
            }),
            _ => Lifecycle::Leaving(self),
        }
    }
}

impl Default for Lifecycle {
    fn default() -> Self {
        Lifecycle::Serving(Serving::default())
    }
}

impl Lifecycle {
    /// Admits one request; returns whether it was admitted.
    #[must_use]
    pub fn admit(&mut self) -> bool {
        let Lifecycle::Serving(serving) = self else {
            return false;
        };
        serving.admit();
        true
    }

    /// Records the end of one request.
    pub fn finish(&mut self) {
        match self {
            Lifecycle::Serving(serving) => serving.finish(),
            Lifecycle::Leaving(leaving) => leaving.finish(),
            Lifecycle::Drained(_) | Lifecycle::Cut(_) => {}
        }
    }

    /// Handles a stop signal: the first starts the drain, the second ends the process at once.
    ///
    /// A process that drains for another reason leaves for good at its first signal, and its linger
    /// time and deadline start anew.
    #[must_use]
    pub fn signal(self, limits: Limits, now: Monotonic) -> Self {
        match self {
            Lifecycle::Serving(serving) => {
                Lifecycle::Leaving(serving.leave(Reason::Signal, limits, now))
            }
            Lifecycle::Leaving(leaving) if leaving.reason == Reason::Signal => leaving.cut(now),
            Lifecycle::Leaving(leaving) => {
                let in_flight = leaving.in_flight;
                let serving = Serving { in_flight };
                Lifecycle::Leaving(serving.leave(Reason::Signal, limits, now))
            }
            ended => ended,
        }
    }

    /// Starts to leave for `reason`, unless the process is leaving already or has ended.
    #[must_use]
    pub fn leave(self, reason: Reason, limits: Limits, now: Monotonic) -> Self {
        match self {
            Lifecycle::Serving(serving) => Lifecycle::Leaving(serving.leave(reason, limits, now)),
            other => other,
        }
    }

    /// Ends a leaving process that has drained or whose deadline has passed.
    #[must_use]
    pub fn tick(self, now: Monotonic) -> Self {
        match self {
            Lifecycle::Leaving(leaving) => leaving.tick(now),
            other => other,
        }
    }
}
