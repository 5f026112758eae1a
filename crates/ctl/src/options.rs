//! The options, which stand anywhere on the command line.

use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use getopts::Matches;

use crate::error::Error;
use crate::fleet::Fleet;
use crate::settings::Client;
use crate::verb::VERBS;

/// Environment variable with the token, so that it stands in no list of processes.
pub(crate) const TOKEN_VARIABLE: &str = "AUBURNCTL_TOKEN";
/// Time for one call to one process.
const CALL_MS: u64 = 2_000;
/// Time that `rollout` and `drain --wait` wait at most, in seconds.
const WAIT_SECONDS: f64 = 30.0;

/// Options of a command line that was read.
pub(crate) struct Options {
    matches: Matches,
}

fn known() -> getopts::Options {
    let mut options = getopts::Options::new();
    options.optmulti(
        "a",
        "at",
        "operators' addresses to ask, IP:PORT, with commas",
        "ADDRESS,...",
    );
    options.optopt(
        "t",
        "token",
        "operators' token; or set AUBURNCTL_TOKEN",
        "TOKEN",
    );
    options.optopt(
        "s",
        "settings",
        "JSON file with the fields operators and token",
        "FILE",
    );
    options.optflag("j", "json", "print JSON instead of tables");
    options.optopt(
        "",
        "timeout",
        "time for a call, in milliseconds (2000)",
        "MS",
    );
    options.optopt(
        "w",
        "wait",
        "time to wait at most, in seconds (rollout: 30; drain: none)",
        "SECONDS",
    );
    options.optflag("", "start", "with drain: start the planned stop");
    options.optopt(
        "",
        "revision",
        "with publish-form: number of the revision",
        "N",
    );
    options.optopt(
        "",
        "preset",
        "with publish-form: preset to put in force",
        "NAME",
    );
    options.optflag("h", "help", "print this help and exit");
    options.optflag("V", "version", "print the version and exit");
    options
}

/// Returns the long names of all options, with their dashes.
pub(crate) fn names() -> Vec<String> {
    let usage = known().usage("");
    usage
        .split_whitespace()
        .filter(|word| word.starts_with("--"))
        .map(str::to_owned)
        .collect()
}

/// Returns the options' part of the help.
pub(crate) fn usage() -> String {
    known().usage("")
}

/// Returns the help.
pub(crate) fn help() -> String {
    use std::fmt::Write as _;
    let mut text = "auburnctl: check configurations and ask the processes of auburnline\n\n\
                    Usage: auburnctl VERB [ARGUMENT...] [OPTION...]\n\nVerbs:\n"
        .to_owned();
    for verb in VERBS {
        let call = format!("{} {}", verb.name, verb.arguments);
        let _ = writeln!(text, "    {call:36}{}", verb.summary);
    }
    text.push_str(&usage());
    text
}

impl Options {
    /// Reads a command line and returns the words that are no options with it.
    pub(crate) fn parse(arguments: &[String]) -> Result<(Options, Vec<String>), Error> {
        let matches = known()
            .parse(arguments)
            .map_err(|error| Error::usage(error.to_string()))?;
        let words = matches.free.clone();
        Ok((Options { matches }, words))
    }

    pub(crate) fn wants_help(&self) -> bool {
        self.matches.opt_present("help")
    }

    pub(crate) fn wants_version(&self) -> bool {
        self.matches.opt_present("version")
    }

    pub(crate) fn json(&self) -> bool {
        self.matches.opt_present("json")
    }

    pub(crate) fn start(&self) -> bool {
        self.matches.opt_present("start")
    }

    pub(crate) fn preset(&self) -> Option<String> {
        self.matches.opt_str("preset")
    }

    pub(crate) fn revision(&self) -> Result<Option<u64>, Error> {
        self.number("revision")
    }

    /// Returns the time to wait, or the default of `rollout`.
    pub(crate) fn wait(&self) -> Result<Duration, Error> {
        let seconds = self.number("wait")?.unwrap_or(WAIT_SECONDS);
        Duration::try_from_secs_f64(seconds)
            .map_err(|error| Error::usage(format!("--wait: {error}")))
    }

    pub(crate) fn wants_wait(&self) -> bool {
        self.matches.opt_present("wait")
    }

    pub(crate) fn timeout(&self) -> Result<Duration, Error> {
        let milliseconds = self.number("timeout")?.unwrap_or(CALL_MS);
        if milliseconds == 0 {
            return Err(Error::usage("--timeout must be greater than zero"));
        }
        Ok(Duration::from_millis(milliseconds))
    }

    /// Returns whom to ask: the command line goes before the settings.
    pub(crate) fn fleet(&self) -> Result<Fleet, Error> {
        let settings = match self.matches.opt_str("settings") {
            Some(path) => Some(read(Path::new(&path))?),
            None => None,
        };
        let (mut addresses, token) = match settings {
            Some(client) => (client.operators, Some(client.token.secret().to_owned())),
            None => (Vec::new(), None),
        };
        let at = self.matches.opt_strs("at");
        if !at.is_empty() {
            addresses = at
                .iter()
                .flat_map(|list| list.split(','))
                .map(address)
                .collect::<Result<_, _>>()?;
        }
        if addresses.is_empty() {
            return Err(Error::usage(
                "name the processes to ask by --at or --settings",
            ));
        }
        let token = self
            .matches
            .opt_str("token")
            .or_else(|| std::env::var(TOKEN_VARIABLE).ok())
            .or(token)
            .ok_or_else(|| Error::usage("the token is missing"))?;
        Ok(Fleet::new(addresses, token, self.timeout()?))
    }

    fn number<T: FromStr>(&self, name: &str) -> Result<Option<T>, Error>
    where
        T::Err: std::fmt::Display,
    {
        let Some(text) = self.matches.opt_str(name) else {
            return Ok(None);
        };
        let number = text
            .parse()
            .map_err(|error| Error::usage(format!("--{name} {text}: {error}")))?;
        Ok(Some(number))
    }
}

fn read(path: &Path) -> Result<Client, Error> {
    auburnline_settings::read(path).map_err(Error::Settings)
}

/// Reads an IP number with a port.
pub(crate) fn address(text: &str) -> Result<SocketAddr, Error> {
    text.trim()
        .parse()
        .map_err(|error| Error::usage(format!("{text}: {error}")))
}
