//! The closed list of error kinds, with the HTTP status, fate and retry delay of each.
//!
//! Every answer that is not a success has one [`Kind`]; [`Kind::row`] gives its HTTP status,
//! whether the request ran, and when the caller may retry. Each kind has exactly one [`Fate`], so
//! that a process can't claim "not run" by choosing a status. Proving that a request did not run is
//! the task of `auburnline-attempt`; this table only defines what each kind states.

use std::error::Error;
use std::fmt::Display;
use std::fmt::Formatter;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fate {
    /// Proven not to have run, and never to run under this attempt.
    NotRun,
    /// Ran at an upstream, completely or in part.
    Ran,
    /// May or may not have run.
    Unknown,
}

/// When a caller may retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Return {
    /// Not at all: the same request would fail again.
    Never,
    /// Immediately, through another entry if one is offered.
    Now,
    /// After this default delay, unless the failure gives a better one.
    After(Duration),
}

/// What an error kind states in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row {
    /// HTTP status of the answer.
    pub status: u16,
    /// Whether the request ran.
    pub fate: Fate,
    /// When the caller may retry.
    pub retry: Return,
}

/// Why a request has no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[repr(u16)]
pub enum Kind {
    /// The request is malformed or invalid.
    BadRequest = 1,
    /// A body or header exceeds its limit.
    TooLarge = 2,
    /// The caller sent its request too slowly.
    SlowSender = 3,
    /// The workspace is not in the published configuration.
    UnknownWorkspace = 4,
    /// No pool serves the model.
    UnknownModel = 5,
    /// No plain service has this route.
    UnknownRoute = 6,
    /// The deadline passed before the request was forwarded.
    DeadlinePassed = 7,
    /// The workspace has used up its limit.
    LimitExceeded = 8,
    /// A queue or ring is full, or the request can't meet its deadline.
    Overloaded = 9,
    /// This instance is leaving the fleet.
    Leaving = 10,
    /// This process has no accepted configuration yet.
    NotReady = 11,
    /// No upstream of the pool can be reached.
    Unreachable = 12,
    /// A later attempt of the request has fenced this one.
    Fenced = 13,
    /// The sender's configuration is older than the receiver's.
    StaleRevision = 14,
    /// The preset in force accepts no work for this pool.
    Maintenance = 15,
    /// The request was sent, and whether it ran can't be determined.
    OutcomeUnknown = 16,
    /// The upstream reported a failure after the request had started.
    UpstreamFailed = 17,
    /// The answer began and can't be completed.
    Incomplete = 18,
    /// The caller cancelled the request after the request had started.
    Cancelled = 19,
    /// The request ran, but its answer is no longer stored.
    Expired = 20,
    /// No request with this id is known, for a resume or a status query.
    UnknownRequest = 21,
    /// The idempotency key was already used for a different request.
    KeyReused = 22,
    /// The deadline passed while the request ran.
    Timeout = 23,
    /// Internal error of this process; whether the request ran is unknown.
    Internal = 24,
    /// The caller presented no valid token.
    Unauthorized = 25,
    /// An order with an older fencing number was refused.
    StaleFence = 26,
    /// The request crashed the upstreams that ran it.
    Quarantined = 27,
}

/// Default retry delay of the kinds that may be retried, but not immediately.
const DEFAULT_RETRY: Duration = Duration::from_secs(1);

impl Kind {
    /// All kinds, in the order of their numbers.
    pub const ALL: [Kind; 27] = [
        Kind::BadRequest,
        Kind::TooLarge,
        Kind::SlowSender,
        Kind::UnknownWorkspace,
        Kind::UnknownModel,
        Kind::UnknownRoute,
        Kind::DeadlinePassed,
        Kind::LimitExceeded,
        Kind::Overloaded,
        Kind::Leaving,
        Kind::NotReady,
        Kind::Unreachable,
        Kind::Fenced,
        Kind::StaleRevision,
        Kind::Maintenance,
        Kind::OutcomeUnknown,
        Kind::UpstreamFailed,
        Kind::Incomplete,
        Kind::Cancelled,
        Kind::Expired,
        Kind::UnknownRequest,
        Kind::KeyReused,
        Kind::Timeout,
        Kind::Internal,
        Kind::Unauthorized,
        Kind::StaleFence,
        Kind::Quarantined,
    ];

    /// Returns the HTTP status, fate and retry delay of this kind.
    #[must_use]
    pub const fn row(self) -> Row {
        use Fate::NotRun;
        use Fate::Ran;
        use Fate::Unknown;
        use Return::After;
        use Return::Never;
        use Return::Now;
        match self {
            Kind::BadRequest => row(400, NotRun, Never),
            Kind::TooLarge => row(413, NotRun, Never),
            Kind::SlowSender => row(408, NotRun, Now),
            Kind::UnknownWorkspace => row(403, NotRun, Never),
            Kind::UnknownModel | Kind::UnknownRoute => row(404, NotRun, Never),
            Kind::DeadlinePassed => row(408, NotRun, Never),
            Kind::LimitExceeded => row(429, NotRun, After(DEFAULT_RETRY)),
            Kind::Overloaded | Kind::NotReady | Kind::Unreachable => {
                row(503, NotRun, After(DEFAULT_RETRY))
            }
            Kind::Leaving | Kind::StaleRevision => row(503, NotRun, Now),
            Kind::Fenced | Kind::StaleFence => row(409, NotRun, Never),
            Kind::Maintenance | Kind::Quarantined => {
                row(503, NotRun, After(Duration::from_mins(1)))
            }
            Kind::OutcomeUnknown | Kind::Incomplete => row(502, Unknown, After(DEFAULT_RETRY)),
            Kind::UpstreamFailed => row(502, Ran, Never),
            Kind::Cancelled => row(499, Ran, Never),
            Kind::Expired => row(410, Ran, Never),
            Kind::UnknownRequest => row(404, Unknown, Never),
            Kind::KeyReused => row(422, NotRun, Never),
            Kind::Timeout => row(504, Unknown, After(DEFAULT_RETRY)),
            Kind::Internal => row(500, Unknown, Never),
            Kind::Unauthorized => row(401, NotRun, Never),
        }
    }

    /// Returns whether a request that failed with this kind ran.
    #[must_use]
    pub const fn fate(self) -> Fate {
        self.row().fate
    }

    /// Returns the name used on the wire and in logs.
    ///
    /// # Panics
    ///
    /// Never: a unit variant always has a name.
    #[must_use]
    pub fn name(self) -> String {
        match serde_json::to_value(self) {
            Ok(serde_json::Value::String(name)) => name,
            _ => unreachable!("a unit variant serialises to its name"),
        }
    }

    /// Returns the kind with this number on the wire.
    #[must_use]
    pub fn from_number(number: u16) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.number() == number)
    }

    /// Returns this kind's number on the wire.
    #[must_use]
    pub const fn number(self) -> u16 {
        self as u16
    }
}

const fn row(status: u16, fate: Fate, retry: Return) -> Row {
    Row {
        status,
        fate,
        retry,
    }
}

impl Display for Kind {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.name())
    }
}

impl Error for Kind {}
