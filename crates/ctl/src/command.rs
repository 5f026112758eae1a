//! From words to verbs.

use std::path::PathBuf;

use tokio::runtime;

use crate::completion;
use crate::config;
use crate::discover;
use crate::drain;
use crate::error::Error;
use crate::explain;
use crate::manual;
use crate::options;
use crate::options::Options;
use crate::output::Output;
use crate::rollout;
use crate::status;

/// Carries out a command line; true is a yes.
pub(crate) fn run(arguments: &[String], output: &mut Output<'_>) -> Result<bool, Error> {
    let (options, words) = Options::parse(arguments)?;
    if options.wants_help() {
        output.line(options::help().trim_end())?;
        return Ok(true);
    }
    if options.wants_version() {
        output.line(&format!("auburnctl {}", env!("CARGO_PKG_VERSION")))?;
        return Ok(true);
    }
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["config", verb, rest @ ..] => configure(verb, rest, &options, output),
        ["completion", "bash"] => print(&completion::bash(), output),
        ["man"] => print(&manual::page(), output),
        words => ask(words, &options, output),
    }
}

fn print(text: &str, output: &mut Output<'_>) -> Result<bool, Error> {
    output.line(text.trim_end())?;
    Ok(true)
}

fn configure(
    verb: &str,
    rest: &[&str],
    options: &Options,
    output: &mut Output<'_>,
) -> Result<bool, Error> {
    let paths: Vec<PathBuf> = rest.iter().map(PathBuf::from).collect();
    match (verb, paths.as_slice()) {
        ("check", [_, ..]) => config::check::run(&paths, options, output),
        ("publish-form", [_, ..]) => config::publish::run(&paths, options, output),
        ("diff", [old, new]) => config::compare::diff(old, new, options, output),
        ("preview", [old, new]) => config::compare::preview(old, new, options, output),
        _ => Err(unknown(&["config", verb])),
    }
}

fn ask(words: &[&str], options: &Options, output: &mut Output<'_>) -> Result<bool, Error> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        match words {
            ["status"] => status::run(options, output).await,
            ["rollout", revision] => rollout::run(revision, options, output).await,
            ["explain", name] => explain::run(name, options, output).await,
            ["drain", instance] => drain::run(instance, options, output).await,
            ["discover", address] => discover::run(address, options, output).await,
            words => Err(unknown(words)),
        }
    })
}

fn unknown(words: &[&str]) -> Error {
    if words.is_empty() {
        return Error::usage("a verb is missing");
    }
    let words = words.join(" ");
    Error::usage(format!("'{words}' is no verb with its arguments"))
}
