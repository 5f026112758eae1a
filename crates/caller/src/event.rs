//! Server-sent events of a streamed answer.

use auburnline_core::answer::Part;
use auburnline_core::id::Offset;
use bytes::BufMut as _;
use bytes::Bytes;
use bytes::BytesMut;

use crate::failure::Problem;

/// Room for one event with a token.
const EVENT_BYTES: usize = 96;

/// Writes one part of an answer as an event.
///
/// Events of tokens carry the offset behind them as their id, from which a caller may resume.
pub(crate) fn write(part: &Part, request_id: &str) -> Bytes {
    match part {
        Part::Chunk { offset, bytes } => token(*offset, bytes),
        Part::End { length, checksum } => end(*length, *checksum),
        Part::Failure(failure) => problem(&Problem::new(failure, Some(request_id))),
    }
}

/// Writes the event that ends a stream whose parts ended without an end.
pub(crate) fn broken(request_id: &str) -> Bytes {
    let mut problem = Problem::found(
        auburnline_core::error::Kind::Incomplete,
        "the stream broke; resume from the last event's id",
    );
    problem.request_id = Some(request_id.to_owned());
    self::problem(&problem)
}

fn token(offset: Offset, bytes: &Bytes) -> Bytes {
    let text = String::from_utf8_lossy(bytes);
    let mut out = BytesMut::with_capacity(EVENT_BYTES + bytes.len());
    let after = offset + bytes.len() as u64;
    out.put_slice(b"id: ");
    decimal(after, &mut out);
    out.put_slice(b"\nevent: token\ndata: {\"text\":");
    let mut writer = out.writer();
    let written = serde_json::to_writer(&mut writer, &text);
    debug_assert!(written.is_ok(), "text is always JSON");
    let mut out = writer.into_inner();
    out.put_slice(b"}\n\n");
    out.freeze()
}

fn decimal(number: u64, out: &mut BytesMut) {
    use std::fmt::Write as _;
    let written = write!(out, "{number}");
    debug_assert!(written.is_ok(), "the buffer grows");
}

fn end(length: u64, checksum: u64) -> Bytes {
    let text =
        format!("event: end\ndata: {{\"length\":{length},\"checksum\":\"{checksum:016x}\"}}\n\n");
    Bytes::from(text)
}

fn problem(problem: &Problem) -> Bytes {
    let data = serde_json::to_string(problem).unwrap_or_default();
    Bytes::from(format!("event: error\ndata: {data}\n\n"))
}
