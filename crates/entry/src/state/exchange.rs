//! One request of one caller, from its arrival to its final answer.

use auburnline_attempt::attempt::Attempt;
use auburnline_attempt::attempt::Fresh;
use auburnline_attempt::attempt::Sent;
use auburnline_attempt::claim::Claim;
use auburnline_caller::command::Key;
use auburnline_caller::command::Parts;
use auburnline_core::id::Attempt as Number;
use auburnline_core::id::Incarnation;
use auburnline_core::id::InstanceId;
use auburnline_core::id::Offset;
use auburnline_core::id::PoolId;
use auburnline_core::id::Revision;
use auburnline_core::request::Request;
use auburnline_core::time::Monotonic;
use auburnline_limits::bucket::Charge;
use auburnline_routing::Query;
use auburnline_routing::Ticket;

use crate::state::retry::Turn;

/// A request under way.
pub(crate) struct Exchange {
    pub(crate) request: Box<Request>,
    pub(crate) key: Key,
    pub(crate) parts: Parts,
    pub(crate) pool: PoolId,
    pub(crate) query: Query,
    pub(crate) arrived: Monotonic,
    pub(crate) sends: u32,
    pub(crate) ticket: Option<Ticket>,
    pub(crate) charge: Option<Charge>,
    pub(crate) phase: Phase,
}

/// How far a request is.
pub(crate) enum Phase {
    /// At no slot, and not yet paid for.
    Paying(Attempt<Fresh>),
    /// At no slot.
    Fresh(Attempt<Fresh>),
    /// Waits for a newer configuration, since a slot has one.
    Behind {
        /// At no slot.
        attempt: Attempt<Fresh>,
        /// What the slot has.
        revision: Revision,
        /// When to give up.
        until: Monotonic,
    },
    /// Waits for its turn at another slot.
    Waiting {
        /// At no slot.
        attempt: Attempt<Fresh>,
        /// When, and where.
        turn: Turn,
    },
    /// Asks the slots what they know.
    Claiming {
        /// The claim.
        claim: Box<Claim>,
        /// When to take silence for an answer.
        until: Monotonic,
    },
    /// At a slot.
    Running(Running),
    /// Between two phases.
    Moving,
}

/// A request at a slot.
pub(crate) struct Running {
    pub(crate) slot: InstanceId,
    pub(crate) incarnation: Incarnation,
    /// Attempt number that frames carry.
    pub(crate) number: Number,
    /// The attempt that was sent; `None` if the answer of an earlier one is read.
    pub(crate) attempt: Option<Attempt<Sent>>,
    pub(crate) cut: Option<Cut>,
}

/// A running request whose session is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Cut {
    pub(crate) since: Monotonic,
    pub(crate) offset: Offset,
    /// Whether the new session was asked.
    pub(crate) asked: bool,
}

impl Exchange {
    /// Takes the phase out, to be put back or replaced.
    pub(crate) fn take(&mut self) -> Phase {
        std::mem::replace(&mut self.phase, Phase::Moving)
    }

    /// Returns when the answer is worthless.
    pub(crate) fn deadline(&self) -> Monotonic {
        self.arrived + self.request.deadline
    }
}
