//! Heads of requests and answers on their way through.

use std::time::Duration;

use auburnline_core::error::Kind;
use bytes::Bytes;
use futures::stream::LocalBoxStream;
use http::HeaderMap;
use http::HeaderName;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Either;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Frame;

use crate::dialect::Dialect;

/// Why a stream breaks off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Broken(pub(crate) &'static str);

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for Broken {}

/// Events on their way to a caller.
pub(crate) type Events = LocalBoxStream<'static, Result<Frame<Bytes>, Broken>>;
/// Body of an answer to a caller.
pub(crate) type Body = Either<Full<Bytes>, StreamBody<Events>>;

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
];

/// Returns the headers that pass through, without those of one connection and of the body's framing.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut passed = headers.clone();
    let named = headers.get_all(header::CONNECTION).iter();
    let named = named.filter_map(|value| value.to_str().ok());
    for name in named.flat_map(|value| value.split(',')) {
        passed.remove(name.trim());
    }
    for name in HOP_BY_HOP {
        passed.remove(name);
    }
    passed.remove(header::TRANSFER_ENCODING);
    passed.remove(header::CONTENT_LENGTH);
    passed.remove(header::EXPECT);
    passed
}

/// Returns an answer whose body is whole.
pub(crate) fn whole(status: StatusCode, headers: HeaderMap, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Either::Left(Full::new(body)));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Returns an answer whose events are still to come.
pub(crate) fn streamed(status: StatusCode, headers: HeaderMap, events: Events) -> Response<Body> {
    let mut response = Response::new(Either::Right(StreamBody::new(events)));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Returns an answer of the gateway's own.
pub(crate) fn own(
    dialect: &dyn Dialect,
    id: &str,
    kind: Kind,
    retry_after: Option<Duration>,
) -> Response<Body> {
    let status = StatusCode::from_u16(kind.row().status);
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut headers = HeaderMap::new();
    dialect.own_answer(&mut headers, id, retry_after);
    whole(status, headers, Bytes::from(kind.name()))
}
