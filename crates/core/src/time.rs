//! Time as passed to decision logic.
//!
//! Decision logic never reads a clock. It receives the time since the start of its own process,
//! which never goes back, and never compares it with another process's: times on the wire are
//! durations.

use std::time::Duration;

/// Time since the start of this process.
pub type Monotonic = Duration;
