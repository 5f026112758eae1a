//! One daemon as a child process.

use std::fs::File;
use std::io;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

/// Time between two looks at a child.
const LOOK: Duration = Duration::from_millis(10);

/// Signal that a process can be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Asks for a planned stop.
    Terminate,
    /// Ends it at once.
    Kill,
    /// Freezes it.
    Stop,
    /// Lets it go on.
    Continue,
}

impl Signal {
    const fn name(self) -> &'static str {
        match self {
            Signal::Terminate => "-TERM",
            Signal::Kill => "-KILL",
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
        }
    }
}

/// A running daemon; it is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts `program` with a settings file; its log goes to `log`.
    ///
    /// # Errors
    ///
    /// The system's error if it can't be started.
    pub fn start(program: &Path, settings: &Path, log: &Path, filter: &str) -> io::Result<Process> {
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(program)
            .arg("--settings")
            .arg(settings)
            .env("AUBURNLINE_LOG", filter)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        Ok(Process { child })
    }

    /// Returns its id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// The system's error if it can't be sent.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").arg(signal.name()).arg(id).status()?;
        if sent.success() {
            Ok(())
        } else {
            Err(io::Error::other("the signal was not sent"))
        }
    }

    /// Waits for its end; `None` if it still runs after `bound`.
    ///
    /// # Errors
    ///
    /// The system's error if it can't be waited for.
    pub fn wait(&mut self, bound: Duration) -> io::Result<Option<ExitStatus>> {
        let until = Instant::now() + bound;
        loop {
            let ended = self.child.try_wait()?;
            if ended.is_some() || Instant::now() >= until {
                return Ok(ended);
            }
            std::thread::sleep(LOOK);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
