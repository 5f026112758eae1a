//! Stream of the tokens of one answer.
//!
//! The answer is whole only if the engine said so: a stream that ends otherwise is
//! [`Failure::Lost`], and one whose count differs from the tokens read is [`Failure::Malformed`].

use auburnline_http::Body;
use auburnline_http::Failure;
use bytes::Buf as _;
use bytes::Bytes;
use bytes::BytesMut;
use error_stack::Report;
use error_stack::ResultExt as _;

use crate::wire::Event;

/// Largest event of a stream, in bytes.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// Stream of tokens; to drop it closes the connection.
#[derive(Debug)]
pub struct Tokens {
    body: Option<Body>,
    buffer: BytesMut,
    read: u64,
}

impl Tokens {
    pub(crate) fn new(body: Body) -> Self {
        Self {
            body: Some(body),
            buffer: BytesMut::new(),
            read: 0,
        }
    }

    /// Returns the text of the next token, or `None` once the answer is whole or has failed.
    ///
    /// # Errors
    ///
    /// Returns why the answer is not whole; nothing follows.
    pub async fn next(&mut self) -> Option<Result<Bytes, Report<Failure>>> {
        let result = self.step().await;
        if !matches!(result, Ok(Some(_))) {
            self.body = None;
        }
        result.transpose()
    }

    async fn step(&mut self) -> Result<Option<Bytes>, Report<Failure>> {
        loop {
            if self.body.is_none() {
                return Ok(None);
            }
            let Some(line) = self.line() else {
                self.fill().await?;
                continue;
            };
            let Some(event) = event(&line)? else {
                continue;
            };
            return self.take(event);
        }
    }

    fn take(&mut self, event: Event) -> Result<Option<Bytes>, Report<Failure>> {
        match event {
            Event::Token { token } => {
                self.read += 1;
                Ok(Some(Bytes::from(token)))
            }
            Event::Done { done: true, tokens } if tokens == self.read => Ok(None),
            Event::Done { .. } => {
                Err(Report::new(Failure::Malformed).attach("the count of tokens differs"))
            }
            Event::Error { error } => Err(Report::new(Failure::Failed).attach(error)),
        }
    }

    /// Takes the next whole line out of the buffer.
    fn line(&mut self) -> Option<Bytes> {
        let end = self.buffer.iter().position(|&byte| byte == b'\n')?;
        let line = self.buffer.split_to(end).freeze();
        self.buffer.advance(1);
        Some(line)
    }

    async fn fill(&mut self) -> Result<(), Report<Failure>> {
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(Report::new(Failure::Malformed).attach("the event is too large"));
        }
        let next = match &mut self.body {
            Some(body) => body.next().await,
            None => None,
        };
        let part = next.ok_or_else(|| Report::new(Failure::Lost).attach("no last event"))??;
        self.buffer.extend_from_slice(&part);
        Ok(())
    }
}

/// Returns the event of a line; comments and blank lines have none.
fn event(line: &[u8]) -> Result<Option<Event>, Report<Failure>> {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    if line.is_empty() || line.starts_with(b":") {
        return Ok(None);
    }
    let data = line
        .strip_prefix(b"data:")
        .ok_or_else(|| Report::new(Failure::Malformed).attach("no event"))?;
    serde_json::from_slice(data)
        .change_context(Failure::Malformed)
        .map(Some)
}
