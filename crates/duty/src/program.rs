//! Runs a single-threaded program from start to exit.
//!
//! Where an instance has only a fraction of a core, switching threads costs more than it gains.
//! Therefore all workers of such a program are tasks of one runtime. Only the log writer and the
//! metrics' upkeep have their own threads.

use std::io;

use tokio::runtime::Builder;
use tokio::task::LocalSet;

use crate::logging;
use crate::metrics;
use crate::metrics::Handle;

/// Number of decisions stored for operators.
const MAX_DECISIONS: usize = 64;

/// Runs `main` to completion, with logs on standard output.
///
/// # Errors
///
/// Returns the error of `main`, or the system's if logs, metrics or the runtime can't start.
pub fn run<F: Future<Output = io::Result<()>>>(main: impl FnOnce(Handle) -> F) -> io::Result<()> {
    logging::start_on(MAX_DECISIONS, io::stdout())?;
    let metrics = metrics::install()?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let outcome = LocalSet::new().block_on(&runtime, main(metrics));
    log::logger().flush();
    outcome
}
