//! Whether a process may send new work.
//!
//! A process that starts, or resumes after a pause, asks both the configuration service and a peer.
//! It is ready when one of them has answered, the other has answered or [`SOURCE_WAIT`] has passed,
//! and no newer configuration is known that could be fetched. With no answer from either, it is not
//! ready. Only answers to requests sent after the start or the pause count, since a message that
//! was buffered in a socket may be outdated.

use std::time::Duration;

use auburnline_core::time::Monotonic;
use auburnline_membership::pause::Detector;

use crate::parcel::Ticket;

/// Time that a source has to answer before an answer of the other one suffices.
pub const SOURCE_WAIT: Duration = Duration::from_secs(2);

/// Source of a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Origin {
    /// The platform's configuration service.
    Platform,
    /// Another process, over its session.
    Peer,
}

/// Why a process is not ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// No configuration has been accepted.
    NoConfiguration,
    /// Neither source has answered since the start or the last pause.
    NoAnswer,
    /// This source has not answered yet and still has time to.
    Waiting(Origin),
    /// A newer configuration is being fetched.
    Behind,
    /// The process has paused and readiness has not been evaluated since.
    Paused,
}

/// State of a process that its readiness depends on.
#[derive(Clone, Copy, Debug)]
pub struct Knowledge {
    /// Whether a configuration is in force.
    pub has_configuration: bool,
    /// Whether a newer one is known that can be fetched.
    pub is_behind: bool,
}

/// Readiness of one process, evaluated anew after each pause.
#[derive(Clone, Debug)]
pub struct Readiness {
    pause: Detector,
    /// First ticket drawn since the start or the last pause; answers to earlier ones don't count.
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
        let mut pause = Detector::default();
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

    /// Records that the process runs. After a pause, returns its length and requires new answers of
    /// both sources.
    ///
    /// `next` is the ticket that the next request will have.
    pub fn observe(&mut self, next: Ticket, now: Monotonic) -> Option<Duration> {
        let gap = self.pause.observe(now)?;
        self.first_valid = next;
        self.since = now;
        self.platform_answered = false;
        self.peer_answered = false;
        self.verdict = Err(Reason::Paused);
        Some(gap)
    }

    /// Records an answer to the request `ticket`.
    pub fn answered(&mut self, origin: Origin, ticket: Ticket) {
        if ticket < self.first_valid {
            return;
        }
        match origin {
            Origin::Platform => self.platform_answered = true,
            Origin::Peer => self.peer_answered = true,
        }
    }

    /// Returns whether the process was ready at the last event; [`Readiness::may_send`] also
    /// detects a pause since then.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.verdict.is_ok()
    }

    /// Returns whether no peer has answered since the start or the last pause.
    #[must_use]
    pub fn needs_peer(&self) -> bool {
        !self.peer_answered
    }

    /// Evaluates readiness; returns whether the result changed.
    pub fn update(&mut self, knowledge: Knowledge, now: Monotonic) -> bool {
        let before = self.verdict;
        // Only a pause makes a ready process unready. Every new configuration leaves it behind for
        // a moment, and slots refuse requests with a stale revision.
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
    /// Returns why not. A pause is detected here even before the first event after it is handled.
    pub fn may_send(&self, now: Monotonic) -> Result<(), Reason> {
        if self.pause.gap(now).is_some() {
            return Err(Reason::Paused);
        }
        self.verdict
    }
}
