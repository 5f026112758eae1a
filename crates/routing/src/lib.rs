//! Choice of an upstream for a request.
//!
//! A [`Router`] keeps the state of the units that one process may send to (groups of ranks, or
//! instances of plain services) and chooses one for each [`Query`]. It predicts the time to the
//! first token for a small, bounded number of candidates: the units that probably cache a prefix of
//! the prompt, the owner of that prefix on a consistent-hash ring, and two drawn at random. Load
//! reports are already old when they arrive, so the tokens that the process itself has sent since
//! the measurement are added to them.
//!
//! The crate only makes decisions. It does no I/O, does not read a clock, and keeps no state that
//! grows with the number of requests. Incarnations, retries and limits are handled by other crates.
//! The `Display` output of a [`Decision`] is its log line.

mod candidate;
mod config;
mod decision;
mod hint;
mod invariant;
mod number;
mod prefix;
mod query;
mod ring;
mod router;
mod score;
mod shard;
mod unit;

pub use config::Builder;
pub use config::Config;
pub use decision::Candidate;
pub use decision::Decision;
pub use decision::Reason;
pub use hint::Event;
pub use prefix::BLOCK_BYTES;
pub use prefix::BLOCK_TOKENS;
pub use prefix::Prefix;
pub use query::Query;
pub use router::MAX_GROUPS;
pub use router::Router;
pub use unit::Mark;
pub use unit::Member;
pub use unit::Ticket;
