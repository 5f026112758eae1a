//! Answer bodies, read with limits on idle time, total time and size.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use error_stack::Report;
use error_stack::ResultExt as _;
use http_body_util::BodyExt as _;
use hyper::body::Body as _;
use hyper::body::Incoming;

use crate::failure::Failure;
use crate::meter::Meter;
use crate::timeouts::Timeouts;
use crate::wait::bounded;

/// Body of an answer, read part by part or as a whole.
#[derive(Debug)]
pub struct Body {
    incoming: Incoming,
    /// Meter of the connection, until the answer is over.
    meter: Option<Meter>,
    silence: Duration,
    whole: Duration,
    /// Whether the end of the body can be told from a lost connection.
    delimited: bool,
    /// Whether the end of the connection is accepted as the end of the body.
    accepts_close: bool,
}

impl Body {
    pub(crate) fn new(
        incoming: Incoming,
        meter: Meter,
        timeouts: &Timeouts,
        delimited: bool,
    ) -> Self {
        Self {
            incoming,
            meter: Some(meter),
            silence: timeouts.silence,
            whole: timeouts.whole,
            delimited,
            accepts_close: false,
        }
    }

    /// Accepts the end of the connection as the end of a body with neither a length nor chunks. A connection that is reset
    /// loses such a body all the same.
    #[must_use]
    pub const fn ended_by_connection(mut self) -> Self {
        self.accepts_close = true;
        self
    }

    /// Returns whether a length or chunks mark the end of the body.
    #[must_use]
    pub const fn is_delimited(&self) -> bool {
        self.delimited
    }

    /// Returns the length of the body, if its head gives one.
    #[must_use]
    pub fn length(&self) -> Option<u64> {
        self.incoming.size_hint().exact()
    }

    /// Returns the next part, or `None` at the end.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Lost`] if the connection is lost, no part arrives in time or the end
    /// can't be told from a lost connection, and [`Failure::Malformed`] if the framing is broken.
    pub async fn next(&mut self) -> Option<Result<Bytes, Report<Failure>>> {
        loop {
            let frame = match bounded(self.silence, self.incoming.frame()).await {
                Ok(Some(frame)) => frame,
                Ok(None) => {
                    self.release();
                    return self.end();
                }
                Err(elapsed) => return Some(Err(elapsed).change_context(Failure::Lost)),
            };
            match frame {
                Ok(frame) => {
                    if let Ok(part) = frame.into_data() {
                        return Some(Ok(part));
                    }
                }
                Err(error) => {
                    let failure = body_failure(&error);
                    return Some(Err(error).change_context(failure));
                }
            }
        }
    }

    fn release(&mut self) {
        if let Some(meter) = self.meter.take() {
            meter.end();
        }
    }

    fn end(&self) -> Option<Result<Bytes, Report<Failure>>> {
        let lost = || {
            Report::new(Failure::Lost)
                .attach("the body ended with neither content-length nor transfer-encoding")
        };
        (!self.delimited && !self.accepts_close).then(|| Err(lost()))
    }

    /// Reads the complete body.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Malformed`] if the body exceeds `limit` bytes, and otherwise fails as
    /// [`Body::next`] does. The time limit for the complete body also gives [`Failure::Lost`].
    pub async fn whole(self, limit: usize) -> Result<Bytes, Report<Failure>> {
        self.whole_if(|bytes| bytes <= limit).await
    }

    /// Reads the complete body, as long as `has_room` holds for the bytes so far.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Malformed`] if there is no room, and otherwise fails as [`Body::whole`] does.
    pub async fn whole_if(
        self,
        has_room: impl FnMut(usize) -> bool,
    ) -> Result<Bytes, Report<Failure>> {
        bounded(self.whole, self.collect(has_room))
            .await
            .change_context(Failure::Lost)?
    }

    async fn collect(
        mut self,
        mut has_room: impl FnMut(usize) -> bool,
    ) -> Result<Bytes, Report<Failure>> {
        let too_long = || Report::new(Failure::Malformed).attach("the body exceeds its size limit");
        let length = self.length().unwrap_or(0);
        let length = usize::try_from(length).map_err(|_| too_long())?;
        if !has_room(length) {
            return Err(too_long());
        }
        let mut whole = BytesMut::with_capacity(length);
        while let Some(part) = self.next().await {
            let part = part?;
            if !has_room(whole.len() + part.len()) {
                return Err(too_long());
            }
            whole.extend_from_slice(&part);
        }
        Ok(whole.freeze())
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        self.release();
    }
}

fn body_failure(error: &hyper::Error) -> Failure {
    if error.is_parse() {
        Failure::Malformed
    } else {
        Failure::Lost
    }
}
