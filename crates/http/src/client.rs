//! HTTP client for one address.
//!
//! A request whose fate or answer matters uses a connection of its own ([`Connection::Fresh`]). A
//! connection that was kept alive may have been lost unnoticed, in which case a successful write
//! proves nothing, or its answers may lag one behind its requests. [`Connection::Kept`] is for
//! frequent polls whose results are only hints. Automatic retries of the HTTP library are disabled
//! in both cases.

use std::error::Error as _;
use std::net::SocketAddr;
use std::time::Duration;

use auburnline_core::answer::STATUSES;
use bytes::Bytes;
use error_stack::Report;
use error_stack::ResultExt as _;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http::Uri;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use http_body_util::Full;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use serde::de::DeserializeOwned;

use crate::body::Body;
use crate::failure::Failure;
use crate::meter::Connector;
use crate::meter::Meter;
use crate::timeouts::Timeouts;
use crate::wait::bounded;

/// Header by which an upstream states that it did not run the request.
pub const NOT_RUN: &str = "x-not-run";
/// Size limit of a JSON answer in [`json`], in bytes.
pub const MAX_JSON_BYTES: usize = 4 << 20;
/// Read buffer of a connection, and maximum size of the head of an answer, in bytes.
const MAX_BUFFER_BYTES: usize = 64 << 10;
/// Maximum number of idle connections kept for reuse.
const MAX_IDLE_CONNECTIONS: usize = 4;

type Inner = legacy::Client<Connector, Full<Bytes>>;

/// Which connection to use for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// A new connection, used for this request only.
    Fresh,
    /// An idle connection that was kept alive, or a new one if there is none.
    Kept,
}

/// Head of an answer and its body.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Body, still to be read.
    pub body: Body,
}

/// HTTP client for one address.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    timeouts: Timeouts,
    fresh: Inner,
    kept: Inner,
}

impl Client {
    /// Returns a client for `address` without connecting to it.
    #[must_use]
    pub fn new(address: SocketAddr, timeouts: Timeouts) -> Self {
        Self {
            address,
            timeouts,
            fresh: inner(&timeouts, 0),
            kept: inner(&timeouts, MAX_IDLE_CONNECTIONS),
        }
    }

    /// Returns the time limit for the head of an answer.
    #[must_use]
    pub const fn head_timeout(&self) -> Duration {
        self.timeouts.head
    }

    /// Returns the URI of `path` at this upstream.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::NotSent`] if `path` is not a valid absolute path.
    pub fn uri(&self, path: &str) -> Result<Uri, Report<Failure>> {
        if !path.starts_with('/') {
            return Err(
                Report::new(Failure::NotSent).attach("the path does not start with a slash")
            );
        }
        Uri::builder()
            .scheme("http")
            .authority(self.address.to_string())
            .path_and_query(path)
            .build()
            .change_context(Failure::NotSent)
    }

    /// Sends a request once and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns a failure that gives the fate of the request. An error status is a failure only if
    /// the upstream stated, with [`NOT_RUN`], that it did not run the request.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        connection: Connection,
    ) -> Result<Reply, Report<Failure>> {
        self.send_within(request, connection, self.timeouts.head)
            .await
    }

    /// As [`Client::send`], with `head` as the time limit for the head of the answer.
    ///
    /// # Errors
    ///
    /// As [`Client::send`].
    pub async fn send_within(
        &self,
        request: Request<Full<Bytes>>,
        connection: Connection,
        head: Duration,
    ) -> Result<Reply, Report<Failure>> {
        let inner = match connection {
            Connection::Fresh => &self.fresh,
            Connection::Kept => &self.kept,
        };
        let bodiless = request.method() == Method::HEAD;
        let sent = bounded(self.timeouts.connect + head, inner.request(request))
            .await
            .change_context(Failure::Lost)?;
        let response = match sent {
            Ok(response) => response,
            Err(error) => {
                let failure = send_failure(&error);
                return Err(Report::new(error).change_context(failure));
            }
        };
        let (mut head, incoming) = response.into_parts();
        let meter = head.extensions.remove::<Meter>().unwrap_or_default();
        meter.head_arrived();
        // What an answer without a valid status says of its request can't be relied on either.
        if !STATUSES.contains(&head.status.as_u16()) {
            return Err(Report::new(Failure::Malformed).attach(head.status));
        }
        if head.headers.contains_key(NOT_RUN) && !head.status.is_success() {
            return Err(Report::new(Failure::Refused(head.status.as_u16())));
        }
        let delimited = bodiless || is_delimited(head.status, &head.headers);
        Ok(Reply {
            status: head.status,
            headers: head.headers,
            body: Body::new(incoming, meter, &self.timeouts, delimited),
        })
    }
}

/// Reads a successful JSON answer of at most [`MAX_JSON_BYTES`].
///
/// # Errors
///
/// Returns [`Failure::Failed`] if the status is not a success, [`Failure::Malformed`] if the body
/// is too large or not a valid `T`, and otherwise fails as [`Body::whole`] does.
pub async fn json<T: DeserializeOwned>(reply: Reply) -> Result<T, Report<Failure>> {
    json_within(reply, MAX_JSON_BYTES).await
}

/// Reads a successful JSON answer of at most `limit` bytes.
///
/// # Errors
///
/// As [`json`].
pub async fn json_within<T: DeserializeOwned>(
    reply: Reply,
    limit: usize,
) -> Result<T, Report<Failure>> {
    if !reply.status.is_success() {
        return Err(Report::new(Failure::Failed).attach(reply.status));
    }
    let body = reply.body.whole(limit).await?;
    serde_json::from_slice(&body).change_context(Failure::Malformed)
}

fn inner(timeouts: &Timeouts, idle: usize) -> Inner {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(timeouts.connect));
    connector.set_nodelay(true);
    legacy::Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(timeouts.idle)
        .pool_max_idle_per_host(idle)
        .http1_max_buf_size(MAX_BUFFER_BYTES)
        .retry_canceled_requests(false)
        .build(Connector(connector))
}

fn is_delimited(status: StatusCode, headers: &HeaderMap) -> bool {
    let empty = status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    empty || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Returns the failure for a request that got no answer head.
///
/// The HTTP library reports a request as canceled only while the request waits for a connection.
/// Once the library has taken the request for writing, it reports other errors.
fn send_failure(error: &legacy::Error) -> Failure {
    if error.is_connect() {
        return Failure::NotSent;
    }
    let inner = error
        .source()
        .and_then(|source| source.downcast_ref::<hyper::Error>());
    match inner {
        Some(inner) if inner.is_canceled() => Failure::NotSent,
        Some(inner) if inner.is_parse() => Failure::Malformed,
        _ => Failure::Lost,
    }
}
