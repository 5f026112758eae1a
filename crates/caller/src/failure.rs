//! The one form of all answers that are not a success.

use std::fmt::Display;
use std::fmt::Formatter;

use auburnline_core::answer::Failure;
use auburnline_core::error::Kind;
use dropshot::Body;
use dropshot::ErrorStatusCode;
use dropshot::HttpError;
use dropshot::HttpResponseError;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Milliseconds of the unit of the header `retry-after`.
const SECOND_MILLIS: u64 = 1000;

/// Body of an answer that is not a success.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub(crate) struct Problem {
    /// Name of the error kind.
    pub(crate) kind: String,
    /// Whether the request ran: `not_run`, `ran` or `unknown`.
    pub(crate) fate: String,
    /// Explanation for people.
    pub(crate) message: String,
    /// Time until the caller may come back; absent if the same request will fail again.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) retry_after_ms: Option<u64>,
    /// Idempotency key of the request, if it was read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) request_id: Option<String>,
    #[serde(skip)]
    #[schemars(skip)]
    status: u16,
}

impl Problem {
    /// Makes the body of a failure.
    pub(crate) fn new(failure: &Failure, request_id: Option<&str>) -> Problem {
        let row = failure.kind.row();
        let millis = |time: std::time::Duration| u64::try_from(time.as_millis()).ok();
        Problem {
            kind: failure.kind.name(),
            fate: name(row.fate),
            message: failure.detail.clone(),
            retry_after_ms: failure.retry.and_then(millis),
            request_id: request_id.map(str::to_owned),
            status: row.status,
        }
    }

    /// Makes the body of a kind that this crate found itself.
    pub(crate) fn found(kind: Kind, detail: impl Into<String>) -> Problem {
        Problem::new(&Failure::new(kind, detail), None)
    }

    /// Makes the whole HTTP answer.
    pub(crate) fn response(&self) -> Response<Body> {
        let body = serde_json::to_vec(self).unwrap_or_default();
        let mut response = Response::new(Body::with_content(body));
        *response.status_mut() =
            StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        headers.insert(
            CONTENT_TYPE,
            http::HeaderValue::from_static("application/json"),
        );
        if let Some(millis) = self.retry_after_ms {
            let seconds = millis.div_ceil(SECOND_MILLIS);
            headers.insert(RETRY_AFTER, http::HeaderValue::from(seconds));
        }
        response
    }
}

fn name(fate: auburnline_core::error::Fate) -> String {
    use auburnline_core::error::Fate;
    match fate {
        Fate::NotRun => "not_run",
        Fate::Ran => "ran",
        Fate::Unknown => "unknown",
    }
    .to_owned()
}

impl Display for Problem {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.kind, self.message)
    }
}

impl From<HttpError> for Problem {
    /// Turns an error that dropshot found while reading a request into a row of the table.
    fn from(error: HttpError) -> Problem {
        let kind = match error.status_code.as_u16() {
            408 => Kind::SlowSender,
            503 => Kind::Overloaded,
            413 => Kind::TooLarge,
            404 | 405 => Kind::UnknownRoute,
            400..500 => Kind::BadRequest,
            _ => Kind::Internal,
        };
        Problem::found(kind, error.external_message)
    }
}

impl HttpResponseError for Problem {
    fn status_code(&self) -> ErrorStatusCode {
        ErrorStatusCode::from_u16(self.status).unwrap_or(ErrorStatusCode::INTERNAL_SERVER_ERROR)
    }
}
