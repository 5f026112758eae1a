//! At-most-once execution: decides which requests may run and which are proved not to have run.
//!
//! Non-idempotent work runs at most once, without a persistent store, through four components:
//!
//! - a slot's [`ledger::Ledger`] records every id that this incarnation of the slot has admitted or
//!   permanently refused, and holds the answer's bytes for resume and replay;
//! - an entry's [`attempt::Attempt`] is one attempt of one request; its types allow "not run" only
//!   with a proof;
//! - a first attempt may go to any slot that [`candidates::Candidates::allows_first_attempt`] allows; a
//!   later one needs a [`claim::Claim`], which locates the id at every slot that an earlier attempt
//!   may have reached, fences all but one, and only then runs it;
//! - a [`stream::Receiver`] passes on only the frames of the caller's own answer, in order.
//!
//! The crate does no I/O, reads no clock and draws no random numbers: callers pass in the time and
//! carry out the returned actions.

pub mod attempt;
pub mod candidates;
pub mod claim;
pub mod fingerprint;
pub mod ledger;
pub mod outcome;
pub mod stream;
