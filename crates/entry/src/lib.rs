//! The entry: callers' requests to slots and back.
//!
//! The process has a thread for each duty: callers' HTTP, peers' sessions, the platform, signals, and
//! the deciding duty (`state`), which routes, retries and claims. Bytes of answers go from the
//! peers' duty straight to the callers' (`answers`); the deciding duty sees how they end. An entry
//! keeps nothing that another entry needs: whether a request ran is the slots' to say.

mod answers;
mod event;
mod run;
mod state;

pub use self::run::run;
