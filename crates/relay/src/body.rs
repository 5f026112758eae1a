//! Receiving the body of a request.

use std::time::Duration;

use auburnline_core::error::Kind;
use auburnline_http::bounded;
use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt as _;
use hyper::body::Body as _;
use hyper::body::Incoming;

use crate::shared::Shared;

/// Maximum size of a request body while no configuration is loaded.
const DEFAULT_MAX_BODY_BYTES: usize = 1 << 20;
/// Maximum time for a request body to arrive while no configuration is loaded.
const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(3);

/// Reads a body, within the limits of the configuration and of the memory. One that is refused for lack of memory is read to its
/// end all the same: a connection that closes with unread bytes is reset, and the answer would be lost.
pub(crate) async fn read_body(shared: &Shared, mut body: Incoming) -> Result<Bytes, Kind> {
    let mut buffer = shared.bodies.buffer(body.size_hint().exact());
    let given_up = buffer.given_up();
    let mut whole = BytesMut::new();
    let take = |part: &[u8]| {
        let has_room = buffer.resize(whole.len() + part.len());
        whole.extend_from_slice(if has_room { part } else { &[] });
        has_room
    };
    let received = tokio::select! {
        biased;
        () = given_up => Err(Kind::Overloaded),
        received = receive(shared, &mut body, take) => received,
    };
    if received == Err(Kind::Overloaded) {
        drop((whole, buffer));
        discard_body(shared, body).await;
        return Err(Kind::Overloaded);
    }
    received.map(|()| whole.freeze())
}

/// Reads a body within the limits of the configuration, and keeps nothing of it.
pub(crate) async fn discard_body(shared: &Shared, mut body: Incoming) {
    // The sender is answered in any case.
    let _ = receive(shared, &mut body, |_| true).await;
}

/// Passes the parts of a body to `take`, until it refuses one for lack of memory.
async fn receive(
    shared: &Shared,
    body: &mut Incoming,
    mut take: impl FnMut(&[u8]) -> bool,
) -> Result<(), Kind> {
    let limits = shared.gateway().table().map(|table| table.limits());
    let max_bytes = limits.map_or(DEFAULT_MAX_BODY_BYTES, |limits| limits.body_bytes);
    let time_limit = limits.map_or(DEFAULT_BODY_TIMEOUT, |limits| limits.idle);
    let parts = async {
        let mut bytes = 0;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| Kind::BadRequest)?;
            let part = frame.into_data().unwrap_or_default();
            bytes += part.len();
            if bytes > max_bytes {
                return Err(Kind::TooLarge);
            }
            if !take(&part) {
                return Err(Kind::Overloaded);
            }
        }
        Ok(())
    };
    let received = bounded(time_limit, parts).await;
    received.unwrap_or(Err(Kind::SlowSender))
}
