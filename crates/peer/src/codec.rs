//! Frames as bytes: a length of four bytes, little end first, then one Cap'n Proto message.
//!
//! Decoding trusts nothing: a length over [`MAX_FRAME_BYTES`], a message that can't be traversed,
//! text that is no UTF-8 and numbers without a meaning are all [`Malformed`]. Lone values are read
//! in `read`, written in `write`.

mod read;
mod write;

use std::error::Error;
use std::fmt::Display;
use std::fmt::Formatter;

use bytes::Buf as _;
use bytes::BytesMut;

use crate::wire::Frame;

pub use self::write::encode;

/// Largest frame, above the largest published value and the largest body.
pub const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;

/// Bytes of the length before each message.
const LENGTH_BYTES: usize = 4;

/// Bytes that are no frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// The length is over the limit.
    TooLong(usize),
    /// The message can't be read.
    Message(String),
    /// A number has no meaning in this version.
    Number(&'static str, u64),
}

impl Display for Malformed {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Malformed::TooLong(length) => write!(f, "frame of {length} bytes is too long"),
            Malformed::Message(text) => write!(f, "unreadable message: {text}"),
            Malformed::Number(field, number) => write!(f, "{field} has no meaning {number}"),
        }
    }
}

impl Error for Malformed {}

impl From<capnp::Error> for Malformed {
    fn from(error: capnp::Error) -> Malformed {
        Malformed::Message(error.to_string())
    }
}

impl From<std::str::Utf8Error> for Malformed {
    fn from(error: std::str::Utf8Error) -> Malformed {
        Malformed::Message(error.to_string())
    }
}

impl From<capnp::NotInSchema> for Malformed {
    fn from(error: capnp::NotInSchema) -> Malformed {
        Malformed::Number("union", u64::from(error.0))
    }
}

/// Takes the next whole frame from the front of `buffer`, or `None` if more bytes are needed.
///
/// # Errors
///
/// [`Malformed`] if the bytes are no frame; the session can't go on then, since the place of the
/// next frame is not known.
pub fn decode(buffer: &mut BytesMut) -> Result<Option<Frame>, Malformed> {
    let Some(head) = buffer.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*head) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(Malformed::TooLong(length));
    }
    if buffer.len() < LENGTH_BYTES + length {
        buffer.reserve(LENGTH_BYTES + length - buffer.len());
        return Ok(None);
    }
    buffer.advance(LENGTH_BYTES);
    let message = buffer.split_to(length);
    read::frame(&message).map(Some)
}
