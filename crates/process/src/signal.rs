//! The duty that waits for signals.

use std::io;

use auburnline_duty::thread::Thread;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Starts the duty; `told` is called at each interrupt or termination signal.
///
/// # Errors
///
/// The system's error if the thread can't be made.
pub fn start(mut told: impl FnMut() + Send + 'static) -> io::Result<Thread> {
    Thread::start("signal", move || async move {
        let streams = (
            signal(SignalKind::terminate()),
            signal(SignalKind::interrupt()),
        );
        let (Ok(mut terminate), Ok(mut interrupt)) = streams else {
            log::error!(target: "process", "signals can't be waited for");
            return;
        };
        loop {
            tokio::select! {
                _ = terminate.recv() => told(),
                _ = interrupt.recv() => told(),
            }
        }
    })
}
