//! The record of a run, with times since its start.

use std::fs::File;
use std::io::Write as _;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// Writer of `record.txt`.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Begins a record.
    pub fn new(path: &Path) -> Record {
        let file = File::create(path).expect("a writable record");
        Record {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        }
    }

    /// Adds a line.
    pub fn add(&self, line: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no thread panics with it");
        let _ = writeln!(file, "{at:8.3} s  {line}");
    }

    /// Adds a line, and prints it.
    pub fn tell(&self, line: &str) {
        println!("{line}");
        self.add(line);
    }
}
