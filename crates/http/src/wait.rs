//! Timeouts that tolerate a pause of this process.
//!
//! A process that was frozen or got no CPU time resumes with its timers expired and its sockets not
//! yet read. Data waiting in the sockets may have arrived in time, so it is read before a timeout
//! counts.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use tokio::time::error::Elapsed;
use tokio::time::timeout;

/// Extra time to read data that arrived while the process did not run.
const GRACE: Duration = Duration::from_millis(50);

/// Waits for `future` for at most `bound`, and then for a moment more to read what has already arrived.
///
/// # Errors
///
/// Returns [`Elapsed`] if `future` is still pending after both.
pub async fn bounded<F: Future>(bound: Duration, future: F) -> Result<F::Output, Elapsed> {
    let mut future = pin!(future);
    match timeout(bound, future.as_mut()).await {
        Ok(output) => Ok(output),
        Err(_) => timeout(GRACE, future).await,
    }
}
