//! Checker of recorded calls, answers and effects.
//!
//! Tests with real processes write what each side saw as JSON lines: callers their calls and
//! answers, stand-ins the effects of what they ran, processes the configuration in force, ranks the
//! map of each step. After the run [`checker::Checker`] compares them against what must always
//! hold. It believes no process of the system: an effect counts only if a stand-in recorded it, an
//! answer only if a caller did.

pub mod checker;
pub mod record;
pub mod recorder;
