//! The operator's command line, as a program.

use std::io::stderr;
use std::io::stdout;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args_os()
        .skip(1)
        .map(|argument| argument.to_string_lossy().into_owned())
        .collect();
    let code = auburnline_ctl::run(&arguments, &mut stdout(), &mut stderr());
    ExitCode::from(code)
}
