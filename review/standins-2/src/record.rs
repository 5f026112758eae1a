//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::Write as _;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Lines of a record, with the time since its start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    /// Begins a record in a file.
    pub fn create(path: &Path) -> std::io::Result<Record> {
        let file = File::create(path)?;
        Ok(Record(Arc::new((Instant::now(), Mutex::new(file)))))
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.0.0.elapsed()
    }

    /// Adds a line.
    pub fn add(&self, line: &str) {
        let at = self.now().as_secs_f64();
        let mut file = self.0.1.lock().expect("a lock");
        let _ = writeln!(file, "{at:9.3}  {line}");
    }
}
