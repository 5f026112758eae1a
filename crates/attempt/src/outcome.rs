//! Outcomes of attempts, and the proofs that a "not run" outcome requires.
//!
//! A [`NotRun`] holds a [`Proof`], and a proof has no public constructor: it comes from an attempt
//! that was never sent, from a slot's refusal of exactly that send, or from a claim that has fenced
//! every slot that could have run the request. "Not run" is a statement about the request, so it is
//! not enough for a later attempt to prove that it did not run itself.

use std::time::Duration;

use auburnline_core::error::Fate;
use auburnline_core::error::Kind;
use auburnline_core::error::Return;

use crate::stream::Whole;

/// Retry delay for kinds that define none.
const DEFAULT_RETRY: Duration = Duration::from_secs(1);

/// Proof that a request was not run and will not be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// It was a first attempt and was never sent.
    NeverSent(NeverSent),
    /// It was a first attempt and each slot that received it refused it, or the key belongs to
    /// another request.
    Refused(Refused),
    /// Every slot that could have run it has permanently refused it.
    Fenced(Fenced),
}

/// Evidence that no attempt was sent; only this crate can create it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NeverSent(());

/// Evidence from a slot's refusal; only this crate can create it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused(());

/// Evidence from fences at every slot; only this crate can create it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fenced(());

impl NeverSent {
    pub(crate) const fn new() -> Self {
        NeverSent(())
    }
}

impl Refused {
    pub(crate) const fn new() -> Self {
        Refused(())
    }
}

impl Fenced {
    pub(crate) const fn new() -> Self {
        Fenced(())
    }
}

/// A request that is proved not to have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRun {
    kind: Kind,
    proof: Proof,
}

impl NotRun {
    /// Combines a kind whose fate is "not run" with its proof. Any other kind is a bug and becomes
    /// `Fenced` in release builds.
    pub(crate) fn new(kind: Kind, proof: Proof) -> Self {
        debug_assert_eq!(
            kind.fate(),
            Fate::NotRun,
            "kind {kind} does not mean \"not run\""
        );
        let kind = match kind.fate() {
            Fate::NotRun => kind,
            Fate::Ran | Fate::Unknown => Kind::Fenced,
        };
        NotRun { kind, proof }
    }

    /// Returns the reason; its fate is always "not run".
    #[must_use]
    pub const fn kind(&self) -> Kind {
        self.kind
    }

    /// Returns how it was proved.
    #[must_use]
    pub const fn proof(&self) -> Proof {
        self.proof
    }
}

/// Why a request's fate is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// A later attempt was not sent to any slot, and an earlier one may have run.
    NotSent(Kind),
    /// A slot refused this attempt or its claim, but an earlier attempt or another copy may run.
    Refused(Kind),
    /// The session was lost after the send.
    SessionLost,
    /// A slot that may have run it can't be reached.
    Unreachable,
    /// A slot that may have run it has restarted since the first send.
    Restarted,
    /// The slot lost its upstream during the run.
    UpstreamLost,
    /// The first send is longer ago than [`crate::ledger::RETRY_WINDOW`].
    TooOld,
    /// No slot currently admits work.
    NoSlot,
    /// Not all slots that the pool had at the time of the first send are known.
    UnknownPool,
    /// The answer ended without a valid last frame.
    Incomplete,
}

/// Outcome of a request whose fate is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unknown {
    /// Why the fate is unknown.
    pub cause: Cause,
    /// Delay after which the caller may retry with the same key.
    pub retry: Duration,
}

impl Unknown {
    /// Returns an unknown outcome with the retry delay of the cause's kind, or else of 1 s.
    #[must_use]
    pub fn new(cause: Cause) -> Self {
        let retry = match cause {
            Cause::NotSent(kind) | Cause::Refused(kind) => retry_delay(kind),
            _ => DEFAULT_RETRY,
        };
        Unknown { cause, retry }
    }

    /// Returns the error kind that the caller receives.
    #[must_use]
    pub const fn kind(&self) -> Kind {
        match self.cause {
            Cause::Incomplete => Kind::Incomplete,
            _ => Kind::OutcomeUnknown,
        }
    }
}

fn retry_delay(kind: Kind) -> Duration {
    match kind.row().retry {
        Return::Now => Duration::ZERO,
        Return::After(delay) => delay,
        Return::Never => DEFAULT_RETRY,
    }
}

/// Final result of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It ran and its answer is complete.
    Answered(Whole),
    /// It ran and has no complete answer.
    Ran(Kind),
    /// It is proved not to have run.
    NotRun(NotRun),
    /// It may or may not have run.
    Unknown(Unknown),
}

impl Outcome {
    /// Returns whether the request ran.
    #[must_use]
    pub const fn fate(&self) -> Fate {
        match self {
            Outcome::Answered(_) | Outcome::Ran(_) => Fate::Ran,
            Outcome::NotRun(_) => Fate::NotRun,
            Outcome::Unknown(_) => Fate::Unknown,
        }
    }

    /// Returns the error kind that the caller receives, `None` on success.
    #[must_use]
    pub const fn kind(&self) -> Option<Kind> {
        match self {
            Outcome::Answered(_) => None,
            Outcome::Ran(kind) => Some(*kind),
            Outcome::NotRun(not_run) => Some(not_run.kind()),
            Outcome::Unknown(unknown) => Some(unknown.kind()),
        }
    }
}
