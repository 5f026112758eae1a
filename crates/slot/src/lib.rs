//! The slot: the only door to one upstream instance.
//!
//! Everything that the upstream runs was admitted here, so this is the one place that can say
//! whether a request ran. The process has a thread for each duty: peers' sessions, the upstream,
//! the platform, signals, and the deciding duty, which alone holds the ledger and the queue
//! (`state`). Nothing is kept on disk; a new incarnation starts with an empty ledger and says so.

mod event;
mod forward;
mod run;
mod state;
mod upstream;

pub use self::run::run;
