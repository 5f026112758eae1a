//! The one shape of an error.

use std::fmt::Display;
use std::fmt::Formatter;

use auburnline_core::error::Fate;
use auburnline_core::error::Kind;
use auburnline_core::error::Return;
use dropshot::ErrorStatusCode;
use dropshot::HttpError;
use dropshot::HttpResponseError;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Why a call has no answer, from the table of error kinds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Failure {
    /// Kind of the error.
    #[schemars(with = "String")]
    pub kind: Kind,
    /// Whether what was asked for ran: `not_run`, `ran` or `unknown`.
    #[schemars(with = "String")]
    pub fate: Fate,
    /// What went wrong, for a person.
    pub message: String,
    /// When the same call may be tried again, if ever.
    pub retry_after_ms: Option<u64>,
}

impl Failure {
    /// Returns the failure of this kind.
    #[must_use]
    pub fn new(kind: Kind, message: impl Into<String>) -> Failure {
        let row = kind.row();
        let retry_after_ms = match row.retry {
            Return::Never => None,
            Return::Now => Some(0),
            Return::After(time) => Some(u64::try_from(time.as_millis()).unwrap_or(u64::MAX)),
        };
        Failure {
            kind,
            fate: row.fate,
            message: message.into(),
            retry_after_ms,
        }
    }
}

impl Display for Failure {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.kind, self.message)
    }
}

impl std::error::Error for Failure {}

/// What `dropshot` refuses by itself: a query or a body that doesn't fit.
impl From<HttpError> for Failure {
    fn from(error: HttpError) -> Failure {
        let kind = match error.status_code.as_u16() {
            413 => Kind::TooLarge,
            400..=499 => Kind::BadRequest,
            _ => Kind::Internal,
        };
        Failure::new(kind, error.external_message)
    }
}

impl HttpResponseError for Failure {
    fn status_code(&self) -> ErrorStatusCode {
        let status = self.kind.row().status;
        ErrorStatusCode::from_u16(status).unwrap_or(ErrorStatusCode::INTERNAL_SERVER_ERROR)
    }
}
