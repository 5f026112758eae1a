//! The life cycle of a process with what operators see of it.
//!
//! [`Stay`] holds the decisions of [`auburnline_membership::lifecycle`]: whether new work is taken,
//! what is in flight, and when a process that leaves may end.

use std::time::Duration;

use auburnline_configuration::checked::Checked;
use auburnline_core::time::Monotonic;
use auburnline_membership::lifecycle::Lifecycle;
use auburnline_membership::lifecycle::Limits;
use auburnline_membership::lifecycle::Reason;
use auburnline_operator::shape;

use crate::board::millis;

/// Stay of a process in the fleet.
#[derive(Debug)]
pub struct Stay {
    lifecycle: Lifecycle,
    linger: Duration,
    deadline: Duration,
    since: Option<Monotonic>,
    last_work: Option<Monotonic>,
    cut: u64,
}

impl Stay {
    /// Starts to serve; a planned stop lingers at least `linger` and lasts at most `deadline`.
    #[must_use]
    pub fn new(linger: Duration, deadline: Duration) -> Stay {
        Stay {
            lifecycle: Lifecycle::default(),
            linger,
            deadline,
            since: None,
            last_work: None,
            cut: 0,
        }
    }

    /// Admits one request; returns whether it was admitted.
    #[must_use]
    pub fn admit(&mut self, now: Monotonic) -> bool {
        let admitted = self.lifecycle.admit();
        if admitted {
            self.last_work = Some(now);
        }
        admitted
    }

    /// Ends one request.
    pub fn finish(&mut self) {
        self.lifecycle.finish();
    }

    /// Returns whether new work is refused.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        !matches!(self.lifecycle, Lifecycle::Serving(_))
    }

    /// Returns the requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u64 {
        match &self.lifecycle {
            Lifecycle::Serving(serving) => serving.in_flight(),
            Lifecycle::Leaving(leaving) => leaving.in_flight(),
            Lifecycle::Drained(_) | Lifecycle::Cut(_) => 0,
        }
    }

    /// Returns whether the process may end.
    #[must_use]
    pub fn is_over(&self) -> bool {
        matches!(self.lifecycle, Lifecycle::Drained(_) | Lifecycle::Cut(_))
    }

    /// Takes a signal: the first leaves, the second ends at once.
    pub fn signal(&mut self, now: Monotonic) {
        let limits = self.limits();
        self.change(now, |lifecycle| lifecycle.signal(limits, now));
    }

    /// Leaves at an operator's order; a stop that has begun goes on.
    pub fn order(&mut self, now: Monotonic) {
        let begun =
            matches!(&self.lifecycle, Lifecycle::Leaving(it) if it.reason() == Reason::Signal);
        if !begun {
            self.signal(now);
        }
    }

    /// Leaves since the published list says so.
    pub fn listed(&mut self, now: Monotonic) {
        let limits = self.limits();
        self.change(now, |lifecycle| lifecycle.leave(Reason::List, limits, now));
    }

    /// Takes what the preset in force says: leave, or serve again.
    pub fn configure(&mut self, now: Monotonic, checked: &Checked, drains: bool) {
        self.deadline = checked.preset().drain_deadline();
        let limits = self.limits();
        let revision = checked.revision();
        self.change(now, |lifecycle| match lifecycle {
            lifecycle if drains => lifecycle.leave(Reason::Preset(revision), limits, now),
            Lifecycle::Leaving(leaving) => leaving.resume(revision),
            other => other,
        });
    }

    /// Takes the passing of time.
    pub fn tick(&mut self, now: Monotonic) {
        self.change(now, |lifecycle| lifecycle.tick(now));
    }

    fn limits(&self) -> Limits {
        Limits {
            linger: self.linger,
            deadline: self.deadline,
        }
    }

    fn change(&mut self, now: Monotonic, change: impl FnOnce(Lifecycle) -> Lifecycle) {
        let was_over = self.is_over();
        let before = self.is_leaving();
        self.lifecycle = change(std::mem::take(&mut self.lifecycle));
        let after = self.is_leaving();
        if before != after {
            self.since = after.then_some(now);
            log::info!(target: "decision", leaving = after, cause = self.cause().unwrap_or("-"), in_flight = self.in_flight(); "life");
        }
        if !was_over && self.is_over() {
            if let Lifecycle::Cut(cut) = &self.lifecycle {
                self.cut = cut.requests;
            }
            log::info!(target: "decision", life:? = self.lifecycle; "end");
        }
    }

    /// Returns why the process leaves.
    #[must_use]
    pub fn cause(&self) -> Option<&'static str> {
        let reason = match &self.lifecycle {
            Lifecycle::Serving(_) => return None,
            Lifecycle::Leaving(leaving) => leaving.reason(),
            Lifecycle::Drained(drained) => drained.reason,
            Lifecycle::Cut(cut) => cut.reason,
        };
        Some(match reason {
            Reason::Signal => "signal",
            Reason::List => "list",
            Reason::Preset(_) => "preset",
        })
    }

    /// Returns the progress of a planned stop, as operators see it.
    #[must_use]
    pub fn drain(&self, instance: &str, now: Monotonic) -> shape::Drain {
        let age = |since: Monotonic| millis(now.saturating_sub(since));
        let left = |since: Monotonic| millis((since + self.deadline).saturating_sub(now));
        shape::Drain {
            instance: instance.to_owned(),
            leaving: self.is_leaving(),
            cause: self.cause().map(str::to_owned),
            elapsed_ms: self.since.map(age),
            deadline_ms: self.since.map(left),
            in_flight: self.in_flight(),
            last_new_work_ms: self.last_work.map(age),
            cut: self.cut,
            done: self.is_leaving() && self.in_flight() == 0,
        }
    }
}
