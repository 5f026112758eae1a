//! Answers from parts: streamed or whole.

use std::convert::Infallible;

use auburnline_core::answer::Failure;
use auburnline_core::answer::Head;
use auburnline_core::answer::Part;
use auburnline_core::error::Kind;
use auburnline_duty::ring::Receiver;
use bytes::Bytes;
use bytes::BytesMut;
use dropshot::Body;
use futures::stream::unfold;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::StreamBody;
use hyper::body::Frame;

use crate::event;
use crate::failure::Problem;

/// Header that names the request in every answer.
const REQUEST_ID: &str = "idempotency-key";

/// Whether an answer goes out as events or whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Form {
    /// Server-sent events.
    Events,
    /// One JSON object with the text of a draft.
    Whole,
    /// The bytes as the plain service gave them.
    Plain,
}

/// Turns the parts of an answer into a response as soon as its status is known.
pub(crate) async fn response(form: Form, id: &str, mut parts: Receiver<Part>) -> Response<Body> {
    let mut response = match form {
        Form::Events => events(id, parts).await,
        Form::Whole => match gather(&mut parts).await {
            Ok(whole) => draft(id, &whole),
            Err(failure) => Problem::new(&failure, Some(id)).response(),
        },
        Form::Plain => match gather(&mut parts).await {
            Ok(whole) => plain(whole),
            Err(failure) => Problem::new(&failure, Some(id)).response(),
        },
    };
    if let Ok(value) = HeaderValue::from_str(id) {
        response.headers_mut().insert(REQUEST_ID, value);
    }
    response
}

async fn events(id: &str, mut parts: Receiver<Part>) -> Response<Body> {
    let first = match parts.pop().await {
        Some(Part::Failure(failure)) => return Problem::new(&failure, Some(id)).response(),
        None => return Problem::new(&lost(), Some(id)).response(),
        Some(part) => part,
    };
    let state = Stream {
        id: id.to_owned(),
        parts,
        next: Some(first),
        ended: false,
    };
    let frames = unfold(state, |mut state| async move {
        let bytes = state.advance().await?;
        Some((Ok::<_, Infallible>(Frame::data(bytes)), state))
    });
    let mut response = Response::new(Body::wrap(StreamBody::new(Box::pin(frames))));
    let events = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, events);
    response
}

/// A streamed answer under way.
struct Stream {
    id: String,
    parts: Receiver<Part>,
    next: Option<Part>,
    ended: bool,
}

impl Stream {
    /// Returns the next bytes, `None` after the end; parts that wait together go out together.
    async fn advance(&mut self) -> Option<Bytes> {
        if self.ended {
            return None;
        }
        let mut out = BytesMut::new();
        while out.is_empty() {
            let part = match self.next.take() {
                Some(part) => Some(part),
                None => self.parts.pop().await,
            };
            self.put(part, &mut out);
            while !self.ended {
                let Some(part) = self.parts.try_pop() else {
                    break;
                };
                self.put(Some(part), &mut out);
            }
        }
        Some(out.freeze())
    }

    fn put(&mut self, part: Option<Part>, out: &mut BytesMut) {
        match part {
            None => {
                out.extend_from_slice(&event::broken(&self.id));
                self.ended = true;
            }
            Some(part) => {
                self.ended = matches!(part, Part::End { .. } | Part::Failure(_));
                out.extend_from_slice(&event::write(&part, &self.id));
            }
        }
    }
}

/// A whole answer.
struct Whole {
    bytes: BytesMut,
    length: u64,
    checksum: u64,
}

async fn gather(parts: &mut Receiver<Part>) -> Result<Whole, Failure> {
    let mut whole = Whole {
        bytes: BytesMut::new(),
        length: 0,
        checksum: 0,
    };
    loop {
        match parts.pop().await {
            Some(Part::Chunk { bytes, .. }) => whole.bytes.extend_from_slice(&bytes),
            Some(Part::End { length, checksum }) => {
                whole.length = length;
                whole.checksum = checksum;
                return Ok(whole);
            }
            Some(Part::Failure(failure)) => return Err(failure),
            None => return Err(lost()),
        }
    }
}

fn lost() -> Failure {
    Failure::new(
        Kind::Incomplete,
        "the answer broke off; ask again with the same key",
    )
}

fn draft(id: &str, whole: &Whole) -> Response<Body> {
    let value = serde_json::json!({
        "request_id": id,
        "text": String::from_utf8_lossy(&whole.bytes),
        "length": whole.length,
        "checksum": format!("{:016x}", whole.checksum),
    });
    let mut response = Response::new(Body::with_content(value.to_string()));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

fn plain(whole: Whole) -> Response<Body> {
    let Some((head, body)) = Head::split(&whole.bytes.freeze()) else {
        let failure = Failure::new(Kind::UpstreamFailed, "the service's answer has no head");
        return Problem::new(&failure, None).response();
    };
    let mut response = Response::new(Body::with_content(body));
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Ok(value) = HeaderValue::from_str(&head.content_type) {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    response
}
