//! Server-sent events of one stream, with comments while there is nothing to tell.

use std::future::pending;
use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt as _;
use http_body_util::StreamBody;
use hyper::body::Frame;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::timeout;

use crate::answer;
use crate::answer::Body;
use crate::engine::batch::Item;

/// Longest time without a byte on a live stream.
const KEEP_ALIVE: Duration = Duration::from_millis(500);
/// Comment that keeps the stream alive.
const COMMENT: &str = ":\n\n";

/// Returns the answer that carries `items`.
pub(crate) fn response(items: UnboundedReceiver<Item>, silent: Arc<AtomicBool>) -> Response<Body> {
    let parts = stream::unfold((items, silent), |(mut items, silent)| async {
        let part = next(&mut items, &silent).await?;
        Some((part.map(Frame::data), (items, silent)))
    });
    let body = StreamBody::new(parts).boxed_unsync();
    let mut response = answer::bytes(StatusCode::OK, "text/event-stream", Bytes::new());
    *response.body_mut() = body;
    response
}

async fn next(
    items: &mut UnboundedReceiver<Item>,
    silent: &AtomicBool,
) -> Option<io::Result<Bytes>> {
    let item = timeout(KEEP_ALIVE, items.recv()).await;
    if silent.load(Ordering::Relaxed) {
        pending::<()>().await;
    }
    match item {
        Err(_) => Some(Ok(Bytes::from_static(COMMENT.as_bytes()))),
        Ok(Some(Item::Event(event))) => Some(Ok(Bytes::from(event))),
        Ok(Some(Item::Cut)) => Some(Err(answer::cut())),
        Ok(None) => None,
    }
}
