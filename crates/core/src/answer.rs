//! Parts of an answer as it is streamed from an upstream to its caller.
//!
//! The bytes of a draft are its text. The bytes of a plain service's answer are its [`Head`] as one
//! line, followed by its body, so that resume, replay and checksum cover both.

use std::ops::RangeInclusive;
use std::time::Duration;

use bytes::Bytes;

use crate::error::Kind;
use crate::error::Return;
use crate::id::Offset;

/// One part of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// Some bytes of the answer.
    Chunk {
        /// Position of the first byte in the answer.
        offset: Offset,
        /// Content from `offset` on.
        bytes: Bytes,
    },
    /// The answer is complete.
    End {
        /// Total length in bytes.
        length: u64,
        /// [`Checksum`](crate::hash::Checksum) of all bytes.
        checksum: u64,
    },
    /// The answer can't be completed.
    Failure(Failure),
}

/// Final result of a request that has no complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Error kind, which determines the HTTP status and the fate of the request.
    pub kind: Kind,
    /// Delay before a retry; `None` if the same request would fail again.
    pub retry: Option<Duration>,
    /// Human-readable explanation.
    pub detail: String,
}

impl Failure {
    /// Returns a failure with the default retry delay of `kind`.
    #[must_use]
    pub fn new(kind: Kind, detail: impl Into<String>) -> Failure {
        let retry = match kind.row().retry {
            Return::Never => None,
            Return::Now => Some(Duration::ZERO),
            Return::After(time) => Some(time),
        };
        Failure {
            kind,
            retry,
            detail: detail.into(),
        }
    }

    /// Replaces the kind's default retry delay.
    #[must_use]
    pub fn retry(mut self, retry: Duration) -> Failure {
        self.retry = Some(retry);
        self
    }
}

/// Statuses of HTTP. An answer with any other is malformed.
pub const STATUSES: RangeInclusive<u16> = 100..=599;

/// Status and media type of a plain service's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// Media type, the value of `Content-Type`.
    pub content_type: String,
}

impl Head {
    /// Returns the line that precedes the body, with its line feed.
    #[must_use]
    pub fn line(&self) -> String {
        let content_type = self.content_type.replace(['\n', '\r'], " ");
        format!("{} {content_type}\n", self.status)
    }

    /// Splits a complete answer into head and body; `None` if it has no valid head.
    #[must_use]
    pub fn split(bytes: &Bytes) -> Option<(Head, Bytes)> {
        let end = bytes.iter().position(|&byte| byte == b'\n')?;
        let line = std::str::from_utf8(&bytes[..end]).ok()?;
        let (status, content_type) = line.split_once(' ')?;
        let status = status.parse().ok()?;
        if !STATUSES.contains(&status) {
            return None;
        }
        let head = Head {
            status,
            content_type: content_type.to_owned(),
        };
        Some((head, bytes.slice(end + 1..)))
    }
}
