//! Answers of all stand-ins, and the reading of what they are asked.

use std::io;

use auburnline_http::NOT_RUN;
use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use http_body_util::Limited;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Body of an answer; an error cuts the connection.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;
/// Answer, or an error that cuts the connection.
pub(crate) type Answer = Result<Response<Body>, io::Error>;

/// Largest body that is read, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Returns an error that cuts the connection.
pub(crate) fn cut() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "cut by a test")
}

pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

pub(crate) fn bytes(status: StatusCode, kind: &str, bytes: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    if let Ok(kind) = kind.parse() {
        response.headers_mut().insert(CONTENT_TYPE, kind);
    }
    response
}

pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(text) => bytes(status, "application/json", text),
        Err(error) => bytes(
            StatusCode::INTERNAL_SERVER_ERROR,
            "text/plain",
            error.to_string(),
        ),
    }
}

pub(crate) fn ok<T: Serialize>(value: &T) -> Response<Body> {
    json(StatusCode::OK, value)
}

/// Returns a refusal that says that the request was not run.
pub(crate) fn refused(status: u16, reason: &str) -> Response<Body> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let mut response = bytes(status, "text/plain", reason.to_owned());
    response
        .headers_mut()
        .insert(NOT_RUN, http::HeaderValue::from_static("1"));
    response
}

pub(crate) fn not_found() -> Response<Body> {
    refused(404, "no such path")
}

pub(crate) async fn body(request: Request<Incoming>) -> Result<Bytes, io::Error> {
    Limited::new(request.into_body(), MAX_BODY_BYTES)
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes)
        .map_err(io::Error::other)
}

/// Reads a JSON body, or returns the refusal.
pub(crate) async fn read<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<Result<T, Response<Body>>, io::Error> {
    let body = body(request).await?;
    Ok(serde_json::from_slice(&body).map_err(|error| refused(400, &error.to_string())))
}

/// Returns the number that a query gives to `name`.
pub(crate) fn number(request: &Request<Incoming>, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .filter(|(key, _)| *key == name)
        .find_map(|(_, value)| value.parse().ok())
}
