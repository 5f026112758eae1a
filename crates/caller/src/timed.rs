//! Reading of bodies with a bound in time, and a typed answer to one that is told to be too large or
//! for which there is no memory.

use std::time::Duration;

use async_trait::async_trait;
use auburnline_duty::memory;
use auburnline_duty::memory::Reservation;
use dropshot::ApiEndpointBodyContentType;
use dropshot::Body;
use dropshot::ClientErrorStatusCode;
use dropshot::ExclusiveExtractor;
use dropshot::ExtractorMetadata;
use dropshot::HttpError;
use dropshot::RequestContext;
use dropshot::ServerContext;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use http_body_util::BodyExt as _;
use tokio::time::timeout;

/// Longest time for a caller to send a body.
pub(crate) const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Copies of a body while it is decoded.
const COPIES: usize = 3;
/// Percentage of the heap up to which bodies are read.
const BODIES_PERCENT: usize = 75;

/// There is no memory for a body.
struct NoMemory;

/// Body of a request that came in time.
pub(crate) struct Timed<T>(pub(crate) T);

#[async_trait]
impl<T: ExclusiveExtractor + 'static> ExclusiveExtractor for Timed<T> {
    async fn from_request<Context: ServerContext>(
        context: &RequestContext<Context>,
        request: hyper::Request<Body>,
    ) -> Result<Timed<T>, HttpError> {
        if told(&request) > context.request_body_max_bytes() as u64 {
            let status = ClientErrorStatusCode::PAYLOAD_TOO_LARGE;
            return Err(HttpError::for_client_error_with_status(None, status));
        }
        let Ok(_reservation) = reserve(&request, context.request_body_max_bytes()) else {
            // A connection that closes with unread bytes is reset, and the answer would be lost.
            let _ = timeout(BODY_TIMEOUT, discard(request.into_body())).await;
            let text = "no memory for the body".to_owned();
            return Err(HttpError::for_unavail(None, text));
        };
        match timeout(BODY_TIMEOUT, T::from_request(context, request)).await {
            Ok(body) => body.map(Timed),
            Err(_) => Err(HttpError::for_client_error_with_status(
                None,
                ClientErrorStatusCode::REQUEST_TIMEOUT,
            )),
        }
    }

    fn metadata(content_type: ApiEndpointBodyContentType) -> ExtractorMetadata {
        T::metadata(content_type)
    }
}

/// Reserves memory for a body while it is read.
fn reserve(
    request: &hyper::Request<Body>,
    max_bytes: usize,
) -> Result<Option<Reservation>, NoMemory> {
    let is_chunked = request.headers().contains_key(TRANSFER_ENCODING);
    let told = usize::try_from(told(request)).unwrap_or(usize::MAX);
    let bytes = if is_chunked { max_bytes } else { told };
    let Some(limit) = memory::limit() else {
        return Ok(None);
    };
    let reservation = limit.reserve(COPIES.saturating_mul(bytes), BODIES_PERCENT);
    reservation.map(Some).ok_or(NoMemory)
}

/// Reads a body and keeps nothing of it.
async fn discard(mut body: Body) {
    while let Some(Ok(_)) = body.frame().await {}
}

/// Returns the length of the body that the head tells, 0 if it tells none.
fn told(request: &hyper::Request<Body>) -> u64 {
    let header = request.headers().get(CONTENT_LENGTH);
    let text = header.and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}
