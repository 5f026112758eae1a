//! Worker threads, each with its own single-threaded runtime.

use std::io;
use std::thread;

use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// A started worker thread.
#[derive(Debug)]
pub struct Thread {
    name: &'static str,
    handle: thread::JoinHandle<()>,
}

impl Thread {
    /// Starts a thread called `name` that runs the future returned by `main` to completion.
    ///
    /// # Errors
    ///
    /// The system's error if the runtime or the thread can't be created.
    pub fn start<F, D>(name: &'static str, main: D) -> io::Result<Thread>
    where
        F: Future<Output = ()> + 'static,
        D: FnOnce() -> F + Send + 'static,
    {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || {
                LocalSet::new().block_on(&runtime, main());
            })?;
        Ok(Thread { name, handle })
    }

    /// Returns whether the thread has finished, also by a panic.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.handle.is_finished()
    }

    /// Waits for the thread to finish; logs a panic in it and returns `false` then.
    #[must_use]
    pub fn join(self) -> bool {
        let finished = self.handle.join().is_ok();
        if !finished {
            log::error!(target: "duty", duty = self.name; "worker thread panicked");
        }
        finished
    }
}
