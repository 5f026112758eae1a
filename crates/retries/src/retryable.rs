//! Conditions under which a request may be retried.

use auburnline_core::error::Fate;
use auburnline_core::error::Kind;
use auburnline_core::error::Return;
use auburnline_core::request::Request;

/// Witness that a request's work may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Idempotent(());

impl Idempotent {
    /// Returns the witness if the request is published as idempotent or declared so by its caller.
    #[must_use]
    pub fn of(request: &Request) -> Option<Self> {
        request.idempotent.then_some(Idempotent(()))
    }
}

/// Proof that a retry is safe and may help; only [`Retryable::of`] creates one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retryable(Basis);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Basis {
    NotRun,
    Idempotent(Idempotent),
}

impl Retryable {
    /// Returns the proof that an attempt that ended with `kind` may be retried, if there is one.
    ///
    /// A request that ran, or may have run, needs the witness. A kind that the same request would
    /// meet again is never retried.
    #[must_use]
    pub fn of(kind: Kind, witness: Option<Idempotent>) -> Option<Self> {
        let row = kind.row();
        if row.retry == Return::Never {
            return None;
        }
        match row.fate {
            Fate::NotRun => Some(Retryable(Basis::NotRun)),
            Fate::Ran | Fate::Unknown => {
                witness.map(|witness| Retryable(Basis::Idempotent(witness)))
            }
        }
    }

    /// Whether the retry is safe because the request did not run, rather than by idempotence.
    #[must_use]
    pub fn is_not_run(self) -> bool {
        self.0 == Basis::NotRun
    }
}
