//! Command line of the slot.

use std::process::ExitCode;

use auburnline_settings::Slot;
use auburnline_settings::arguments;
use auburnline_settings::arguments::Program;

const PROGRAM: Program = Program {
    name: "auburnline-slot",
    version: env!("CARGO_PKG_VERSION"),
    purpose: "The only door to one upstream instance.",
};

fn main() -> ExitCode {
    match arguments::start::<Slot>(PROGRAM) {
        Ok(settings) => auburnline_slot::run(settings),
        Err(code) => code,
    }
}
