//! Command line of the entry.

use std::process::ExitCode;

use auburnline_settings::Entry;
use auburnline_settings::arguments;
use auburnline_settings::arguments::Program;

const PROGRAM: Program = Program {
    name: "auburnline-entry",
    version: env!("CARGO_PKG_VERSION"),
    purpose: "Takes callers' requests to slots and brings the answers back.",
};

fn main() -> ExitCode {
    match arguments::start::<Entry>(PROGRAM) {
        Ok(settings) => auburnline_entry::run(settings),
        Err(code) => code,
    }
}
