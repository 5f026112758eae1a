//! Where answers and notes go.

use std::io;
use std::io::Write;

use serde::Serialize;

/// Answers on one side, notes and progress on the other.
pub(crate) struct Output<'a> {
    answer: &'a mut dyn Write,
    notes: &'a mut dyn Write,
}

impl<'a> Output<'a> {
    pub(crate) fn new(answer: &'a mut dyn Write, notes: &'a mut dyn Write) -> Self {
        Output { answer, notes }
    }

    /// Writes a line of the answer.
    pub(crate) fn line(&mut self, line: &str) -> io::Result<()> {
        writeln!(self.answer, "{line}")
    }

    /// Writes the answer as JSON.
    pub(crate) fn json(&mut self, answer: &impl Serialize) -> io::Result<()> {
        serde_json::to_writer_pretty(&mut *self.answer, answer)?;
        writeln!(self.answer)
    }

    /// Writes a note for a person; a note that can't be written is lost.
    pub(crate) fn note(&mut self, note: &str) {
        let _ = writeln!(self.notes, "{note}");
    }
}
