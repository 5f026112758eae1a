//! Decision on another attempt of a request, and its payment from the retry budget.

use std::time::Duration;

use auburnline_core::time::Monotonic;
use auburnline_gateway::unread::Attempt;

use crate::exchange::Exchange;
use crate::flight::Flight;
use crate::probe;

/// Longest time between the payment for a retry and its send.
const MAX_PAID_AHEAD: Duration = Duration::from_millis(500);

/// When a retry is taken from the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Payment {
    /// At once, so that an attempt under way is given up only for one that is sent.
    Now,
    /// As it is sent: requests that wait for capacity may all be sent at once.
    AtSend,
}

impl Exchange {
    /// Returns whether a request that may have been executed may be sent again for this reason.
    pub(crate) fn may_rerun(&self, reason: &'static str) -> bool {
        self.may_rerun_with(reason, Payment::Now)
    }

    /// Does the same as [`Exchange::may_rerun`], with a retry that is taken from the budget as `payment` says.
    pub(crate) fn may_rerun_with(&self, reason: &'static str, payment: Payment) -> bool {
        let is_idempotent = self.plan.route.kind.is_idempotent();
        is_idempotent && !self.is_quarantined() && self.may_retry(reason, payment)
    }

    /// Returns whether another attempt is allowed by the route, the deadline and the retry budget.
    pub(crate) fn may_retry(&self, reason: &'static str, payment: Payment) -> bool {
        if self.sends.get() >= self.plan.route.max_attempts || self.time_left().is_zero() {
            return false;
        }
        let now = self.shared.now();
        let unread = self.unread_attempt();
        let mut gateway = self.shared.gateway();
        let (is_allowed, is_paid) = match (unread, payment) {
            (Some(attempt), _) => (gateway.take_owed_retry(&self.plan, attempt, now), true),
            (None, Payment::Now) => (gateway.take_retry(&self.plan, now), true),
            (None, Payment::AtSend) => (gateway.has_retry(&self.plan, now), false),
        };
        drop(gateway);
        if is_allowed {
            self.record_allowed(unread, is_paid, now);
        }
        self.log_retry(reason, is_allowed, unread.is_some());
        is_allowed
    }

    fn record_allowed(&self, unread: Option<Attempt>, is_paid: bool, now: Monotonic) {
        if let Some(attempt) = unread {
            self.unread.borrow_mut().retain(|other| *other != attempt);
            self.has_owed.set(true);
        }
        if is_paid {
            self.paid_at.set(Some(now));
        }
    }

    /// Returns an attempt that has shown nothing, and for which no retry is owed.
    fn unread_attempt(&self) -> Option<Attempt> {
        let gateway = self.shared.gateway();
        let unread = self.unread.borrow();
        unread.iter().find(|one| gateway.is_unread(one)).copied()
    }

    /// Records that an attempt is sent.
    pub(crate) fn record_sent(&self, flight: &Flight) {
        let attempt = Attempt::new(flight.target(), flight.began());
        self.unread.borrow_mut().push(attempt);
        self.record_unread(flight.target(), attempt);
        let first = self.first_sent.get().unwrap_or(attempt.sent);
        self.first_sent.set(Some(first));
    }

    /// Records that an attempt ended by its upstream, or was not sent, so that it does not arrive later.
    pub(crate) fn record_shown(&self, flight: &Flight) {
        let attempt = Attempt::new(flight.target(), flight.began());
        self.shared.gateway().record_ended(&attempt);
        self.unread.borrow_mut().retain(|other| *other != attempt);
    }

    /// Records that the answer to an attempt has begun, which shows that its upstream reads.
    pub(crate) fn record_answer(&self, flight: &Flight) {
        let (began, now) = (flight.began(), self.shared.now());
        let was_avoided = self
            .shared
            .gateway()
            .record_sign(flight.target(), began, now);
        self.record_shown(flight);
        let mut gateway = self.shared.gateway();
        if let Some(first) = self.first_sent.get().filter(|_| !self.has_owed.get()) {
            gateway.record_read_retry(&self.plan, first, began);
        }
        drop(gateway);
        if was_avoided {
            probe::log_end(flight.target(), now.saturating_sub(began));
        }
    }

    /// Returns when the retry of a failed attempt is paid for: one of a stream waits for admission first.
    pub(crate) fn payment(&self) -> Payment {
        if self.plan.route.kind.is_stream() {
            Payment::AtSend
        } else {
            Payment::Now
        }
    }

    /// Takes a retry from the budget for the attempt that is sent now; returns whether there is one. What was taken a while ago
    /// belongs to an earlier window.
    pub(crate) fn pay(&self) -> bool {
        let now = self.shared.now();
        let paid_at = self.paid_at.take();
        if paid_at.is_some_and(|at| now.saturating_sub(at) <= MAX_PAID_AHEAD) {
            return true;
        }
        let is_left = self.shared.gateway().take_retry(&self.plan, now);
        if !is_left {
            self.log_retry("send", false, false);
        }
        is_left
    }
}
