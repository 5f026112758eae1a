//! The command line that all daemons share.
//!
//! [`parse`] has no side effects. [`start`] is the first call of every daemon: it handles `--help`,
//! `--version` and `--check`, and otherwise returns the settings to run with.

use std::ffi::OsString;
use std::fmt::Display;
use std::fmt::Formatter;
use std::path::PathBuf;
use std::process::ExitCode;

use getopts::Options;

use crate::read::Settings;
use crate::read::read;

/// Exit code for a wrong command line and for refused settings.
pub const EXIT_REFUSED: u8 = 2;

/// Name, version and purpose of a daemon, for its help text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Program {
    /// Name of the binary, also the prefix of its error messages.
    pub name: &'static str,
    /// Version that `--version` prints.
    pub version: &'static str,
    /// Purpose of the daemon, in one phrase.
    pub purpose: &'static str,
}

/// Action requested by the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Print this help text.
    Help(String),
    /// Print this name and version.
    Version(String),
    /// Read and check the settings in this file, then exit.
    Check(PathBuf),
    /// Run with the settings in this file.
    Run(PathBuf),
}

/// Why a command line is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UsageError {
    /// An option is unknown, repeated or lacks its argument.
    Option(String),
    /// This argument belongs to no option.
    UnexpectedArgument(String),
    /// The `--settings` option is missing.
    NoSettings,
}

impl Display for UsageError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            UsageError::Option(cause) => f.write_str(cause),
            UsageError::UnexpectedArgument(argument) => {
                write!(f, "unexpected argument '{argument}'")
            }
            UsageError::NoSettings => f.write_str("--settings FILE is missing"),
        }
    }
}

impl std::error::Error for UsageError {}

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help and exit");
    options.optflag("V", "version", "print the version and exit");
    options.optopt("s", "settings", "read the settings from this file", "FILE");
    options.optflag(
        "",
        "check",
        "check the settings and exit: 0 good, 2 refused",
    );
    options
}

/// Parses a command line that doesn't include the program's own name.
///
/// # Errors
///
/// Returns why the command line is refused.
pub fn parse<I>(program: Program, arguments: I) -> Result<Command, UsageError>
where
    I: IntoIterator<Item = OsString>,
{
    let options = options();
    let found = options
        .parse(arguments)
        .map_err(|error| UsageError::Option(error.to_string()))?;
    if found.opt_present("help") {
        let brief = format!(
            "{}: {}\n\nUsage: {} --settings FILE [--check]",
            program.name, program.purpose, program.name
        );
        return Ok(Command::Help(options.usage(&brief)));
    }
    if found.opt_present("version") {
        let version = format!("{} {}", program.name, program.version);
        return Ok(Command::Version(version));
    }
    if let Some(unexpected) = found.free.first() {
        return Err(UsageError::UnexpectedArgument(unexpected.clone()));
    }
    let path = found.opt_str("settings").ok_or(UsageError::NoSettings)?;
    let path = PathBuf::from(path);
    if found.opt_present("check") {
        Ok(Command::Check(path))
    } else {
        Ok(Command::Run(path))
    }
}

/// Handles the command line of the process; returns the settings if the daemon is to run.
///
/// # Errors
///
/// Returns the exit code: 0 after `--help`, `--version` or a passed `--check`, [`EXIT_REFUSED`] if
/// the command line or the settings were refused.
pub fn start<T: Settings>(program: Program) -> Result<T, ExitCode> {
    let refused = ExitCode::from(EXIT_REFUSED);
    let command = parse(program, std::env::args_os().skip(1)).map_err(|error| {
        eprintln!("{}: {error}; try --help", program.name);
        refused
    })?;
    let load = |path: &PathBuf| {
        read::<T>(path).map_err(|error| {
            eprintln!("{}: settings refused: {}", program.name, path.display());
            eprintln!("{error}");
            refused
        })
    };
    match command {
        Command::Help(text) => print!("{text}"),
        Command::Version(text) => println!("{text}"),
        Command::Run(path) => return load(&path),
        Command::Check(path) => {
            load(&path)?;
            println!("{}: settings are good", path.display());
        }
    }
    Err(ExitCode::SUCCESS)
}
