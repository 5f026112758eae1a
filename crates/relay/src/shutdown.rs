//! Graceful shutdown of a gateway, by the time since its signal.
//!
//! The platform counts the grace period from the signal, and ends the process after it. A process that did not run for a while
//! learns only that the signal came meanwhile. New work is therefore refused as if it had come at the start of that gap, and work
//! under way ends as if it had come in the middle of it: late for a signal at the end, and still before the end of the period for
//! one at the start.

use std::time::Duration;
use std::time::Instant;

use auburnline_core::time::Monotonic;
use tokio::signal::unix::Signal;
use tokio::time::sleep;

use crate::callers;
use crate::callers::Listening;
use crate::shared::Phase;
use crate::shared::Shared;
use crate::telemetry::millis;

/// Fraction of the grace period for which a gateway that is shutting down serves new requests: callers cache discovery
/// responses for seconds, and the requests that they send meanwhile must still complete within the period.
const SERVE_FRACTION: f64 = 0.35;
/// Longest time for which it serves them. Work that is cut at the end of the period is excused only if its request was sent within
/// 3 s of the signal, which a process on a busy machine notices late.
const MAX_SERVE: Duration = Duration::from_millis(2_400);
/// Fraction of the grace period after which connections without a request are closed. Callers that use theirs were refused
/// before, and know that this gateway leaves.
const CLOSE_FRACTION: f64 = 0.5;
/// Fraction of the grace period after which requests that have no answer yet are answered with an error.
const ANSWER_FRACTION: f64 = 0.85;
/// Fraction of the grace period after which the process exits even if connections are still open. The rest is for a process on a
/// busy machine, which acts late.
const EXIT_FRACTION: f64 = 0.9;
/// Fraction of the grace period, from the earliest time of the signal, within which the process exits in any case.
const LAST_EXIT_FRACTION: f64 = 0.97;
/// Interval at which the process takes note that it runs.
const RUN_POLL: Duration = Duration::from_millis(200);
/// Time in which the runtime learns of a signal that came while the process did not run.
const SIGNAL_DELAY: Duration = Duration::from_millis(50);
/// Interval at which a shutdown checks whether all connections are closed.
const SHUTDOWN_POLL: Duration = Duration::from_millis(100);

/// Times of a shutdown.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Schedule {
    /// When the gateway begins to refuse new requests.
    pub(crate) refusing: Monotonic,
    /// When it begins to close idle connections.
    closing: Monotonic,
    /// When it answers the requests that have no answer yet.
    pub(crate) ending: Monotonic,
    /// When the process exits.
    exit: Monotonic,
}

impl Schedule {
    /// Returns the times after a signal that was noticed at `now` and may have come up to `unnoticed` before.
    fn new(now: Monotonic, unnoticed: Duration, grace: Duration) -> Schedule {
        let earliest = now.saturating_sub(unnoticed);
        let middle = now.saturating_sub(unnoticed / 2);
        let exit = (middle + grace.mul_f64(EXIT_FRACTION))
            .min(earliest + grace.mul_f64(LAST_EXIT_FRACTION));
        let last_answers = grace.mul_f64(EXIT_FRACTION - ANSWER_FRACTION);
        Schedule {
            refusing: earliest + grace.mul_f64(SERVE_FRACTION).min(MAX_SERVE),
            closing: earliest + grace.mul_f64(CLOSE_FRACTION),
            ending: exit.saturating_sub(last_answers),
            exit,
        }
    }
}

/// Waits for a signal to stop. Returns for how long it may have gone unnoticed.
pub(crate) async fn told_to_stop(terminate: &mut Signal, interrupt: &mut Signal) -> Duration {
    let mut ran = Instant::now();
    let mut last_gap = Duration::ZERO;
    loop {
        let gap = || ran.elapsed().saturating_sub(RUN_POLL);
        tokio::select! {
            biased;
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            () = sleep(RUN_POLL) => {
                last_gap = gap();
                ran = Instant::now();
            }
        }
    }
    let since_run = ran.elapsed();
    if since_run < SIGNAL_DELAY {
        last_gap
    } else {
        since_run.saturating_sub(RUN_POLL)
    }
}

/// Shuts down gracefully: announces it, serves new requests for a while longer, refuses them after that, and returns once all
/// connections are closed or the grace period is nearly over. Requests that have no answer by then are answered with an error.
pub(crate) async fn leave(
    shared: &Shared,
    listening: Listening,
    grace: Duration,
    unnoticed: Duration,
) {
    log::info!(target: "process", open = shared.room.open(), grace_ms = millis(grace), unnoticed_ms = millis(unnoticed); "leaving");
    let schedule = Schedule::new(shared.now(), unnoticed, grace);
    shared.leave(schedule);
    let mut listening = Some(listening);
    loop {
        let now = shared.now();
        if now >= schedule.refusing {
            shared.enter(Phase::Refusing);
        }
        if now >= schedule.closing {
            shared.enter(Phase::Closing);
            if is_drained(shared, &mut listening).await {
                return;
            }
        }
        if now >= schedule.ending {
            end_listening(&mut listening).await;
            shared.enter(Phase::Ending);
        }
        if now >= schedule.exit {
            return;
        }
        sleep(SHUTDOWN_POLL).await;
    }
}

/// Returns whether no connection is open, also after those that waited to be accepted. The process may take a while to end, so that
/// no new ones are let in meanwhile.
async fn is_drained(shared: &Shared, listening: &mut Option<Listening>) -> bool {
    if shared.room.open() > 0 {
        return false;
    }
    sleep(callers::READ_PAUSE).await;
    end_listening(listening).await;
    shared.room.open() == 0
}

async fn end_listening(listening: &mut Option<Listening>) {
    if let Some(listening) = listening.take() {
        listening.end().await;
    }
}
