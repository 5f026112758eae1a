//! The closed list of failures of one exchange, each with the fate of the request.
//!
//! Only two failures prove that the upstream did not run the request: nothing was sent, or the
//! upstream itself stated so. If nothing is proven, the failure is [`Failure::Lost`] or
//! [`Failure::Malformed`], and the fate is unknown.

use std::error::Error;
use std::fmt::Display;
use std::fmt::Formatter;

use auburnline_core::error::Fate;

/// Why an exchange has no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Failure {
    /// No byte of the request was sent.
    NotSent,
    /// The upstream answered with this status and stated that it did not run the request.
    Refused(u16),
    /// The answer did not arrive, or not to its end, before a time limit or a lost connection.
    Lost,
    /// The upstream reported that the request failed after it had started.
    Failed,
    /// The answer is invalid or exceeds its size limit.
    Malformed,
}

impl Failure {
    /// Returns a name for logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Failure::NotSent => "not_sent",
            Failure::Refused(_) => "refused",
            Failure::Lost => "lost",
            Failure::Failed => "failed",
            Failure::Malformed => "malformed",
        }
    }

    /// Returns whether the request ran.
    #[must_use]
    pub const fn fate(self) -> Fate {
        match self {
            Failure::NotSent | Failure::Refused(_) => Fate::NotRun,
            Failure::Failed => Fate::Ran,
            Failure::Lost | Failure::Malformed => Fate::Unknown,
        }
    }
}

impl Display for Failure {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Failure::NotSent => f.write_str("the request was not sent"),
            Failure::Refused(status) => write!(f, "refused with status {status}, not run"),
            Failure::Lost => f.write_str("the answer did not come or did not end"),
            Failure::Failed => f.write_str("the upstream failed after the start"),
            Failure::Malformed => f.write_str("the answer can't be understood"),
        }
    }
}

impl Error for Failure {}
