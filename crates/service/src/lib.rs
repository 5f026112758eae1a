//! Client of plain services.
//!
//! A call is sent once, with its idempotency key, over a new connection. On a kept-alive connection,
//! an upstream that lags by one response would return one caller's record to the next caller. The
//! client returns complete answers only; a truncated one is a failure. A 4xx status is returned as
//! the service's answer, a 5xx status is [`Failure::Failed`].

use std::net::SocketAddr;

use auburnline_core::id::RequestId;
use auburnline_http::Connection;
pub use auburnline_http::Failure;
pub use auburnline_http::Timeouts;
use bytes::Bytes;
use error_stack::Report;
use error_stack::ResultExt as _;
use http::Request;
use http::header::CONTENT_TYPE;

/// Request header that carries the idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";
/// Largest accepted body of an answer.
pub const MAX_ANSWER_BYTES: usize = 8 << 20;

/// A call to a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Idempotency key, sent in [`KEY_HEADER`].
    pub id: RequestId,
    /// HTTP method, upper case.
    pub method: String,
    /// Path and query, starting with a slash.
    pub path: String,
    /// JSON body, sent unchanged.
    pub body: Bytes,
}

/// Complete answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status, never 5xx.
    pub status: u16,
    /// Value of the `content-type` header, if present and visible ASCII.
    pub content_type: Option<String>,
    /// Complete body, at most [`MAX_ANSWER_BYTES`] long.
    pub body: Bytes,
}

/// Client of one instance of a plain service.
#[derive(Clone, Debug)]
pub struct Client(auburnline_http::Client);

impl Client {
    /// Creates a client of the service at `address`, with the default timeouts.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self::with_timeouts(address, Timeouts::default())
    }

    /// Creates a client with the given timeouts.
    #[must_use]
    pub fn with_timeouts(address: SocketAddr, timeouts: Timeouts) -> Self {
        Self(auburnline_http::Client::new(address, timeouts))
    }

    /// Sends a call once, without retries, and returns the complete answer.
    ///
    /// # Errors
    ///
    /// Returns the failure; [`Failure::fate`] tells whether the call ran.
    pub async fn call(&self, call: &Call) -> Result<Answer, Report<Failure>> {
        let request = Request::builder()
            .method(call.method.as_str())
            .uri(self.0.uri(&call.path)?)
            .header(KEY_HEADER, &*call.id)
            .header(CONTENT_TYPE, "application/json")
            .body(call.body.clone().into())
            .change_context(Failure::NotSent)?;
        let reply = self.0.send(request, Connection::Fresh).await?;
        if reply.status.is_server_error() {
            return Err(Report::new(Failure::Failed).attach(reply.status));
        }
        let content_type = reply
            .headers
            .get(CONTENT_TYPE)
            .and_then(|text| Some(text.to_str().ok()?.to_owned()));
        Ok(Answer {
            status: reply.status.as_u16(),
            content_type,
            body: reply.body.whole(MAX_ANSWER_BYTES).await?,
        })
    }
}
