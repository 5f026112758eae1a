//! The operator's command line.
//!
//! `auburnctl` checks a configuration before it is published, and asks the operators' addresses of
//! running processes. It keeps nothing and changes nothing but by `drain --start`. A process that
//! can't be asked is a row of the answer, not an end of the program. Every answer has a table for a
//! person and, by `--json`, a form for a program.
//!
//! The exit code is 0 for a yes, [`NO`] for an honest no (a refused or unfinished thing, a process
//! that didn't answer) and [`WRONG`] for a call that makes no sense.

mod command;
mod completion;
mod config;
mod discover;
mod drain;
mod error;
mod explain;
mod fleet;
mod manual;
mod options;
mod output;
mod rollout;
mod settings;
mod status;
mod table;
mod verb;

use std::io::Write;

pub use error::Error;

use crate::output::Output;

/// Exit code of an answer that is a no.
pub const NO: u8 = 1;
/// Exit code of a wrong call or of files that can't be read.
pub const WRONG: u8 = 2;

/// Runs the command line, without the program's own name, and returns the exit code.
pub fn run(arguments: &[String], out: &mut dyn Write, notes: &mut dyn Write) -> u8 {
    let mut output = Output::new(out, notes);
    match command::run(arguments, &mut output) {
        Ok(true) => 0,
        Ok(false) => NO,
        Err(error) => {
            output.note(&format!("auburnctl: {error}"));
            WRONG
        }
    }
}
