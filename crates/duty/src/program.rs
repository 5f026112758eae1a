//! A program of one thread, from its start to its end.
//!
//! Where an instance has a part of one core, a change of thread costs more than it gains: all duties of
//! a program are tasks of one runtime then. Only the log's writer and the metrics' upkeep have threads of
//! their own.

use std::io;

use tokio::runtime::Builder;
use tokio::task::LocalSet;

use crate::logging;
use crate::metrics;
use crate::metrics::Handle;

/// Decisions kept for operators.
const DECISIONS: usize = 64;

/// Runs `main` with logs on standard output until it ends.
///
/// # Errors
///
/// Returns the error of `main`, or the system's if logs, metrics or the runtime can't start.
pub fn run<F: Future<Output = io::Result<()>>>(main: impl FnOnce(Handle) -> F) -> io::Result<()> {
    logging::start_on(DECISIONS, io::stdout())?;
    let metrics = metrics::install()?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let outcome = LocalSet::new().block_on(&runtime, main(metrics));
    log::logger().flush();
    outcome
}
