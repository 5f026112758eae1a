//! Writing and reading of histories.
//!
//! A process that is killed may leave half a line at the end of its file. That line is skipped and
//! counted; half a line anywhere else is an error.

use std::io;
use std::io::BufRead;
use std::io::Write;

use crate::record::Line;
use crate::record::Record;

/// Writer of one history file.
#[derive(Debug)]
pub struct Recorder<W: Write> {
    output: W,
}

impl<W: Write> Recorder<W> {
    /// Writes to `output`.
    pub const fn new(output: W) -> Self {
        Recorder { output }
    }

    /// Writes one line and flushes it, so that a kill after this call does not lose it.
    ///
    /// # Errors
    ///
    /// Returns the output's error.
    pub fn write(&mut self, at: u64, record: Record) -> io::Result<()> {
        let mut text = serde_json::to_vec(&Line { at, record })?;
        text.push(b'\n');
        self.output.write_all(&text)?;
        self.output.flush()
    }
}

/// Lines of one history file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
    /// Whole lines in order.
    pub lines: Vec<Line>,
    /// Whether the last line was cut off.
    pub torn: bool,
}

/// Reads one history file.
///
/// # Errors
///
/// Returns the input's error, or that a line other than an unended last one is no record.
pub fn read(mut input: impl BufRead) -> io::Result<History> {
    let mut history = History::default();
    let mut text = Vec::new();
    loop {
        text.clear();
        if input.read_until(b'\n', &mut text)? == 0 {
            return Ok(history);
        }
        if text.last() != Some(&b'\n') {
            history.torn = true;
            return Ok(history);
        }
        history.lines.push(serde_json::from_slice(&text)?);
    }
}
