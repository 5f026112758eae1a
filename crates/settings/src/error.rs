//! Reasons for refusing settings, with the path of the field.

use std::fmt::Display;
use std::fmt::Formatter;

/// Reason for refusing one field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The file can't be read.
    Unreadable(String),
    /// The text is not JSON, or a field is unknown, missing or of the wrong type.
    Malformed(String),
    /// A name or list that must not be empty is empty.
    Empty,
    /// A name has a blank, a control character or a character beyond ASCII.
    BadName,
    /// A time or number that must be positive is zero.
    Zero,
    /// A number exceeds its greatest value.
    TooLarge(u64),
    /// The token has fewer characters than this.
    ShortToken(usize),
    /// The silence that ends a session is not longer than the heartbeat interval.
    SilenceWithinHeartbeat,
    /// The address conflicts with the one in this field of the same settings.
    Overlap(&'static str),
    /// The address has port 0.
    NoPort,
    /// The address to connect to has an unspecified IP address.
    NoHost,
    /// The address is not a loopback address.
    NotLocal,
    /// The value is already in the list.
    Repeated,
    /// The published fleet has no such failure domain.
    UnknownFailureDomain,
    /// The published fleet has no such instance in this role.
    UnknownInstance,
    /// The published fleet has this value instead.
    Differs(String),
}

impl Display for Reason {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Reason::Unreadable(cause) => write!(f, "can't be read: {cause}"),
            Reason::Malformed(cause) => f.write_str(cause),
            Reason::Empty => f.write_str("must not be empty"),
            Reason::BadName => f.write_str("may hold visible ASCII characters only"),
            Reason::Zero => f.write_str("must be greater than zero"),
            Reason::TooLarge(max) => write!(f, "must be at most {max}"),
            Reason::ShortToken(min) => write!(f, "must have at least {min} characters"),
            Reason::SilenceWithinHeartbeat => {
                f.write_str("must be greater than timing.heartbeat_ms")
            }
            Reason::Overlap(other) => write!(f, "overlaps with {other}"),
            Reason::NoPort => f.write_str("must name a port"),
            Reason::NoHost => f.write_str("must name a host to connect to"),
            Reason::NotLocal => f.write_str("must be a loopback address"),
            Reason::Repeated => f.write_str("is listed more than once"),
            Reason::UnknownFailureDomain => f.write_str("is not a published failure domain"),
            Reason::UnknownInstance => f.write_str("is not a published instance of this role"),
            Reason::Differs(published) => write!(f, "differs from the published {published}"),
        }
    }
}

/// A refused field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path of the field, such as `timing.silence_ms` or `seeds[2]`; `.` is the whole file.
    pub path: String,
    /// Why the field is refused.
    pub reason: Reason,
}

impl Fault {
    /// Creates the fault of the field at `path`.
    #[must_use]
    pub fn new(path: impl Into<String>, reason: Reason) -> Fault {
        Fault {
            path: path.into(),
            reason,
        }
    }
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

/// All faults found in the settings; never empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error(pub Vec<Fault>);

impl Error {
    /// Creates an error with a single fault.
    #[must_use]
    pub fn single(path: impl Into<String>, reason: Reason) -> Error {
        Error(vec![Fault::new(path, reason)])
    }
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Error {}
