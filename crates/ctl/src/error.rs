//! Why a call makes no sense.

use std::fmt::Display;
use std::fmt::Formatter;
use std::path::Path;
use std::path::PathBuf;

/// Why a call makes no sense or can't be carried out here.
#[derive(Debug)]
pub enum Error {
    /// The command line is wrong.
    Usage(String),
    /// A file can't be read.
    File {
        /// Its path.
        path: PathBuf,
        /// Why.
        cause: String,
    },
    /// A file is none of a configuration's.
    UnknownForm(PathBuf),
    /// Two files hold the same part of a configuration.
    Twice(&'static str),
    /// A part of a configuration is not there.
    Missing(&'static str),
    /// The client's settings are refused.
    Settings(auburnline_settings::Error),
    /// This host has no means to go on, or the output is gone.
    Host(std::io::Error),
}

impl Error {
    pub(crate) fn usage(message: impl Into<String>) -> Error {
        Error::Usage(message.into())
    }

    pub(crate) fn file(path: &Path, cause: impl Display) -> Error {
        Error::File {
            path: path.to_owned(),
            cause: cause.to_string(),
        }
    }
}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Error {
        Error::Host(error)
    }
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Usage(message) => write!(f, "{message}; try auburnctl --help"),
            Error::File { path, cause } => write!(f, "{}: {cause}", path.display()),
            Error::UnknownForm(path) => {
                write!(f, "{}: neither a manifest nor a section", path.display())
            }
            Error::Twice(part) => write!(f, "two files hold the {part}"),
            Error::Missing(part) => write!(f, "no file holds the {part}"),
            Error::Settings(error) => write!(f, "settings refused: {error}"),
            Error::Host(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for Error {}
