//! Client of one address.
//!
//! A request whose fate or answer matters goes over a connection of its own
//! ([`Connection::Fresh`]): one that was kept alive may have died or gone silent unnoticed, and a
//! write into it tells nothing; or it may be an answer behind. [`Connection::Kept`] is for what is
//! polled often and is only a hint. The library's own second send is off in both cases.

use std::error::Error as _;
use std::net::SocketAddr;
use std::time::Duration;

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
use crate::silence::bounded;
use crate::timeouts::Timeouts;

/// Header by which an upstream says that it did not run the request.
pub const NOT_RUN: &str = "x-not-run";
/// Largest JSON answer, in bytes.
pub const MAX_JSON_BYTES: usize = 4 << 20;
/// Most idle connections that are kept.
const MAX_IDLE: usize = 4;

type Inner = legacy::Client<HttpConnector, Full<Bytes>>;

/// Which connection carries a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// A new one, for this request only.
    Fresh,
    /// One that was kept alive, if there is one.
    Kept,
}

/// Head of an answer and its body.
#[derive(Debug)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body, still to be read.
    pub body: Body,
}

/// Client of one address.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    timeouts: Timeouts,
    fresh: Inner,
    kept: Inner,
}

impl Client {
    /// Returns a client of `address`; nothing is sent yet.
    #[must_use]
    pub fn new(address: SocketAddr, timeouts: Timeouts) -> Self {
        Self {
            address,
            timeouts,
            fresh: inner(&timeouts, 0),
            kept: inner(&timeouts, MAX_IDLE),
        }
    }

    /// Returns the longest wait for the head of an answer.
    #[must_use]
    pub const fn head_timeout(&self) -> Duration {
        self.timeouts.head
    }

    /// Returns the address of `path` at this upstream.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::NotSent`] if `path` is no path.
    pub fn uri(&self, path: &str) -> Result<Uri, Report<Failure>> {
        if !path.starts_with('/') {
            return Err(Report::new(Failure::NotSent).attach("the path has no root"));
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
    /// Returns the failure with the fate of the request. A refusal is a failure only if the
    /// upstream said that it did not run the request.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        connection: Connection,
    ) -> Result<Reply, Report<Failure>> {
        self.send_within(request, connection, self.timeouts.head)
            .await
    }

    /// Sends a request once and waits no longer than `head` for the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns the failure with the fate of the request.
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
                let failure = of_send(&error);
                return Err(Report::new(error).change_context(failure));
            }
        };
        let (head, incoming) = response.into_parts();
        if head.headers.contains_key(NOT_RUN) && !head.status.is_success() {
            return Err(Report::new(Failure::Refused(head.status.as_u16())));
        }
        let delimited = bodiless || is_delimited(head.status, &head.headers);
        Ok(Reply {
            status: head.status,
            headers: head.headers,
            body: Body::new(incoming, &self.timeouts, delimited),
        })
    }
}

/// Reads a JSON answer of a success.
///
/// # Errors
///
/// Returns [`Failure::Failed`] on another status, and [`Failure::Malformed`] if the body is not
/// what was asked for.
pub async fn json<T: DeserializeOwned>(reply: Reply) -> Result<T, Report<Failure>> {
    json_within(reply, MAX_JSON_BYTES).await
}

/// Reads a JSON answer of a success with at most `limit` bytes.
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
        .retry_canceled_requests(false)
        .build(connector)
}

fn is_delimited(status: StatusCode, headers: &HeaderMap) -> bool {
    let empty = status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    empty || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Returns the fate of a request whose head of answer did not come.
///
/// The library cancels a request only while it still waits for its connection; once it took the
/// request to write it, the error is another.
fn of_send(error: &legacy::Error) -> Failure {
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
