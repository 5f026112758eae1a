//! Whether a process may send new work.
//!
//! A process that starts, or wakes from a pause, asks both the configuration service and a peer.
//! It is ready when one has answered, the other has answered or had its time, and nothing newer
//! is known that could be fetched. With an answer from neither, it is not ready. Answers count only
//! if they were asked for after the start or the wake: what lay in a socket proves nothing.

use std::time::Duration;

use auburnline_core::time::Monotonic;
use auburnline_membership::pause::Pause;

use crate::parcel::Ticket;

/// Time that one source gets to answer before the other's answer is enough.
pub const SOURCE_WAIT: Duration = Duration::from_secs(2);

/// Where a configuration can be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Origin {
    /// The platform's configuration service.
    Platform,
    /// A peer.
    Peer,
}

/// Why a process is not ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// No configuration has been accepted.
    NoConfiguration,
    /// Neither source has answered since the start or the wake.
    NoAnswer,
    /// One source still has time to answer.
    Waiting(Origin),
    /// A newer configuration is being fetched.
    Behind,
    /// The process has paused and has not yet asked anybody.
    Paused,
}

/// What a process knows that readiness depends on.
#[derive(Clone, Copy, Debug)]
pub struct Knowledge {
    /// Whether a configuration is in force.
    pub has_configuration: bool,
    /// Whether a newer one is known that can be fetched.
    pub is_behind: bool,
}

/// Readiness of one process.
#[derive(Clone, Debug)]
pub struct Readiness {
    pause: Pause,
    /// Answers to tickets below this one were asked for too early.
    first_valid: Ticket,
    since: Monotonic,
    platform_answered: bool,
    peer_answered: bool,
    verdict: Result<(), Reason>,
}

impl Readiness {
    /// Returns the state of a process that starts at `now`.
    #[must_use]
    pub fn new(now: Monotonic) -> Self {
        let mut pause = Pause::default();
        pause.observe(now);
        Self {
            pause,
            first_valid: 0,
            since: now,
            platform_answered: false,
            peer_answered: false,
            verdict: Err(Reason::NoConfiguration),
        }
    }

    /// Observes that the process runs; after a pause returns the gap, and all must be asked anew.
    ///
    /// `next` is the number that the next question will have.
    pub fn observe(&mut self, next: Ticket, now: Monotonic) -> Option<Duration> {
        let gap = self.pause.observe(now)?;
        self.first_valid = next;
        self.since = now;
        self.platform_answered = false;
        self.peer_answered = false;
        self.verdict = Err(Reason::Paused);
        Some(gap)
    }

    /// Takes an answer to the question `ticket`.
    pub fn answered(&mut self, origin: Origin, ticket: Ticket) {
        if ticket < self.first_valid {
            return;
        }
        match origin {
            Origin::Platform => self.platform_answered = true,
            Origin::Peer => self.peer_answered = true,
        }
    }

    /// Returns whether the process is ready, as far as events have shown.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.verdict.is_ok()
    }

    /// Returns whether a peer is still to be asked.
    #[must_use]
    pub fn needs_peer(&self) -> bool {
        !self.peer_answered
    }

    /// Weighs what is known; returns whether the verdict changed.
    pub fn update(&mut self, knowledge: Knowledge, now: Monotonic) -> bool {
        let before = self.verdict;
        // Once ready, only a pause takes it back: being behind for a moment is what every
        // change brings, and slots turn stale requests away.
        if before.is_ok() {
            return false;
        }
        self.verdict = self.evaluate(knowledge, now);
        before != self.verdict
    }

    fn evaluate(&self, knowledge: Knowledge, now: Monotonic) -> Result<(), Reason> {
        if !knowledge.has_configuration {
            return Err(Reason::NoConfiguration);
        }
        let waited = now >= self.since + SOURCE_WAIT;
        match (self.platform_answered, self.peer_answered) {
            (false, false) => return Err(Reason::NoAnswer),
            (false, true) if !waited => return Err(Reason::Waiting(Origin::Platform)),
            (true, false) if !waited => return Err(Reason::Waiting(Origin::Peer)),
            _ => {}
        }
        if knowledge.is_behind {
            return Err(Reason::Behind);
        }
        Ok(())
    }

    /// Returns whether the process may send new work now; `now` must be read for this send.
    ///
    /// # Errors
    ///
    /// Returns why not. A pause shows here even before its first event is handled.
    pub fn may_send(&self, now: Monotonic) -> Result<(), Reason> {
        if self.pause.gap(now).is_some() {
            return Err(Reason::Paused);
        }
        self.verdict
    }
}
