//! State of one attempt of a request, from the entry that sends it to the slot that takes it.
//!
//! The types encode the state machine: [`Fresh`] → [`Sent`] → an [`Outcome`]. A sent attempt ends
//! as "not run" only if it is a first attempt and the slot incarnation that it was sent to refuses
//! it. A later attempt proves nothing about the earlier ones, so its outcome is unknown unless a
//! [`crate::claim::Claim`] has fenced them. Any other loss after the send also leaves the outcome
//! unknown.
//!
//! Losing the session does not end the attempt: the same submission may be sent again to the same
//! slot incarnation ([`Attempt::record_resend`]), whose ledger admits it at most once.

use auburnline_core::error::Kind;
use auburnline_core::id::Attempt as Number;
use auburnline_core::id::Incarnation;
use auburnline_core::id::InstanceId;
use auburnline_core::id::RequestId;
use auburnline_core::request::Request;

use crate::ledger::Refusal;
use crate::outcome::Cause;
use crate::outcome::NeverSent;
use crate::outcome::NotRun;
use crate::outcome::Outcome;
use crate::outcome::Proof;
use crate::outcome::Refused;
use crate::outcome::Unknown;
use crate::stream::Whole;

/// Whether earlier attempts of the request may exist.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// The caller numbered it 1, or this process generated the idempotency key.
    First,
    /// Earlier attempts may exist.
    Later,
}

impl Order {
    /// Returns the order of `request`; an attempt without a number counts as later.
    #[must_use]
    pub fn of(request: &Request) -> Order {
        if request.attempt == Some(1) {
            Order::First
        } else {
            Order::Later
        }
    }
}

/// State: held by no slot. It was never sent, every slot that received it refused it, or it was
/// lost and is idempotent.
#[derive(Clone, Copy, Debug)]
pub struct Fresh {
    proof: Proof,
}

/// State: sent to one slot incarnation, which may run it.
#[derive(Clone, Debug)]
pub struct Sent {
    slot: InstanceId,
    incarnation: Incarnation,
    copies: u32,
}

/// An attempt in state `S`, either [`Fresh`] or [`Sent`].
#[derive(Clone, Debug)]
pub struct Attempt<S> {
    id: RequestId,
    number: Number,
    order: Order,
    idempotent: bool,
    state: S,
}

impl<S> Attempt<S> {
    /// Returns the request's idempotency key.
    #[must_use]
    pub fn id(&self) -> &RequestId {
        &self.id
    }

    /// Returns the attempt number that frames carry; zero if the caller gave none.
    #[must_use]
    pub fn number(&self) -> Number {
        self.number
    }

    /// Returns whether earlier attempts may exist.
    #[must_use]
    pub fn order(&self) -> Order {
        self.order
    }

    fn with_state<T>(self, state: T) -> Attempt<T> {
        Attempt {
            id: self.id,
            number: self.number,
            order: self.order,
            idempotent: self.idempotent,
            state,
        }
    }
}

impl Attempt<Fresh> {
    /// Creates an attempt of `request` with the number that the caller gave.
    #[must_use]
    pub fn new(request: &Request) -> Self {
        Attempt {
            id: request.id.clone(),
            number: request.attempt.unwrap_or(0),
            order: Order::of(request),
            idempotent: request.idempotent,
            state: Fresh {
                proof: Proof::NeverSent(NeverSent::new()),
            },
        }
    }

    /// Creates the only attempt of a request whose key this process has just generated.
    #[must_use]
    pub fn generated(request: &Request) -> Self {
        Attempt {
            order: Order::First,
            ..Attempt::new(request)
        }
    }

    /// Ends an attempt that no slot holds: "not run" for a first attempt, otherwise unknown.
    #[must_use]
    pub fn not_sent(self, kind: Kind) -> Outcome {
        match self.order {
            Order::First => Outcome::NotRun(NotRun::new(kind, self.state.proof)),
            Order::Later => Outcome::Unknown(Unknown::new(Cause::NotSent(kind))),
        }
    }

    /// Marks the attempt as sent. Call this before the first byte is passed to a session.
    #[must_use]
    pub fn send(self, slot: InstanceId, incarnation: Incarnation) -> Attempt<Sent> {
        self.with_state(Sent {
            slot,
            incarnation,
            copies: 1,
        })
    }
}

/// Result of applying a refusal to a sent attempt.
#[derive(Debug)]
pub enum Disposition {
    /// That slot did not run it. It may be sent to another slot or ended by [`Attempt::not_sent`].
    Resendable(Attempt<Fresh>),
    /// It must not be sent elsewhere.
    Ended(Outcome),
    /// The refusal does not match this send; the attempt is returned unchanged.
    Unmatched(Attempt<Sent>),
}

impl Attempt<Sent> {
    /// Returns the slot and the incarnation that it was sent to.
    #[must_use]
    pub fn target(&self) -> (&InstanceId, Incarnation) {
        (&self.state.slot, self.state.incarnation)
    }

    /// Records that the same submission is sent to the same slot incarnation over another session.
    ///
    /// The slot's ledger admits it at most once, so this may be repeated any number of times. From
    /// then on a temporary refusal proves nothing, because another copy may still arrive.
    pub fn record_resend(&mut self) {
        self.state.copies += 1;
    }

    /// Applies a refusal. One for another slot incarnation, id or attempt proves nothing.
    #[must_use]
    pub fn refused(self, from: &InstanceId, refusal: &Refusal) -> Disposition {
        if !self.matches(from, refusal) {
            return Disposition::Unmatched(self);
        }
        let permanent = matches!(refusal.kind, Kind::Fenced | Kind::KeyReused);
        let proves_not_run = self.order == Order::First && (self.state.copies == 1 || permanent);
        if !proves_not_run && !self.idempotent {
            return Disposition::Ended(self.lost(Cause::Refused(refusal.kind)));
        }
        let order = if proves_not_run {
            self.order
        } else {
            Order::Later
        };
        let fresh = Attempt { order, ..self }.with_state(Fresh {
            proof: Proof::Refused(Refused::new()),
        });
        if permanent {
            return Disposition::Ended(fresh.not_sent(refusal.kind));
        }
        Disposition::Resendable(fresh)
    }

    /// Returns a fresh later attempt after a loss, for idempotent work only.
    ///
    /// # Errors
    ///
    /// Returns the attempt unchanged if the work is not idempotent.
    pub fn repeat(self) -> Result<Attempt<Fresh>, Attempt<Sent>> {
        if !self.idempotent {
            return Err(self);
        }
        let later = Attempt {
            order: Order::Later,
            ..self
        };
        Ok(later.with_state(Fresh {
            proof: Proof::Refused(Refused::new()),
        }))
    }

    /// Ends the attempt with a complete, checked answer.
    #[must_use]
    pub fn answered(self, whole: Whole) -> Outcome {
        Outcome::Answered(whole)
    }

    /// Ends the attempt after the slot has reported that it ran and failed.
    #[must_use]
    pub fn failed(self, kind: Kind) -> Outcome {
        Outcome::Ran(kind)
    }

    /// Ends the attempt with an unknown outcome.
    #[must_use]
    pub fn lost(self, cause: Cause) -> Outcome {
        Outcome::Unknown(Unknown::new(cause))
    }

    fn matches(&self, from: &InstanceId, refusal: &Refusal) -> bool {
        self.state.slot == *from
            && self.state.incarnation == refusal.incarnation
            && self.id == refusal.id
            && self.number == refusal.attempt
    }
}
