//! Limit on what an upstream may send before the head of its answer is complete, and end of connections without an answer.
//!
//! The HTTP library bounds the size of one head, but skips any number of informational responses before it, and a connection on
//! which bytes are always ready keeps the thread while it does so. A [`Metered`] stream counts the bytes from a request until its
//! head has arrived and fails beyond [`MAX_HEAD_BYTES`].
//!
//! A connection that is closed in order goes on being delivered by the system after the process forgot it, so that a request into
//! a link that is cut, or to an upstream that reads nothing, arrives long after it was abandoned. One without an answer is
//! reset, which takes back what the other side has not acknowledged.

use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use http::Uri;
use hyper::rt::Read;
use hyper::rt::ReadBuf;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use hyper_util::client::legacy::connect::Connected;
use hyper_util::client::legacy::connect::Connection;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tower_service::Service;

/// Maximum bytes from a request to the end of its answer's head, with what is read ahead of the body.
const MAX_HEAD_BYTES: usize = 256 << 10;
/// Maximum bytes of one read, less than the read buffer with which the HTTP library begins: one that is filled by a read grows.
const READ_BYTES: usize = (8 << 10) - 1;

#[derive(Debug, Default)]
struct State {
    /// Whether a request is being answered.
    is_busy: AtomicBool,
    /// Whether the head of the answer has not arrived.
    is_in_head: AtomicBool,
    head_bytes: AtomicUsize,
}

/// Count of a connection's bytes, shared with the exchange that uses the connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct Meter(Arc<State>);

impl Meter {
    /// Records that a request is written.
    fn begin(&self) {
        if !self.0.is_busy.swap(true, Ordering::Relaxed) {
            self.0.head_bytes.store(0, Ordering::Relaxed);
            self.0.is_in_head.store(true, Ordering::Relaxed);
        }
    }

    /// Records that the head of the answer has arrived.
    pub(crate) fn head_arrived(&self) {
        self.0.is_in_head.store(false, Ordering::Relaxed);
    }

    /// Records that the answer is over, so that the next write belongs to another request.
    pub(crate) fn end(&self) {
        self.0.is_busy.store(false, Ordering::Relaxed);
    }

    /// Returns whether a request was written of whose answer the head has not arrived.
    fn is_unanswered(&self) -> bool {
        self.0.is_busy.load(Ordering::Relaxed) && self.0.is_in_head.load(Ordering::Relaxed)
    }

    fn add(&self, bytes: usize) -> io::Result<()> {
        if !self.0.is_in_head.load(Ordering::Relaxed) {
            return Ok(());
        }
        let before = self.0.head_bytes.fetch_add(bytes, Ordering::Relaxed);
        if before + bytes > MAX_HEAD_BYTES {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the head of the answer exceeds its size limit",
            ));
        }
        Ok(())
    }
}

/// Connector whose connections are metered.
#[derive(Clone, Debug)]
pub(crate) struct Connector(pub(crate) HttpConnector);

impl Service<Uri> for Connector {
    type Response = Metered;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(context)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.0.call(uri);
        Box::pin(async move {
            let stream = connecting.await?;
            let meter = Meter::default();
            Ok(Metered { stream, meter })
        })
    }
}

/// Connection that fails once too much has been read before the head of an answer.
#[derive(Debug)]
pub(crate) struct Metered {
    stream: TokioIo<TcpStream>,
    meter: Meter,
}

impl Drop for Metered {
    fn drop(&mut self) {
        if self.meter.is_unanswered() {
            // Without it the connection is closed in order, which is harmless if the request has arrived.
            let _ = self.stream.inner().set_zero_linger();
        }
    }
}

impl Connection for Metered {
    fn connected(&self) -> Connected {
        self.stream.connected().extra(self.meter.clone())
    }
}

impl Read for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        // The cursor does not tell how many bytes were added to it, so they go through another buffer.
        let mut bytes = [const { MaybeUninit::uninit() }; READ_BYTES];
        let length = buffer.remaining().min(READ_BYTES);
        let mut own = ReadBuf::uninit(&mut bytes[..length]);
        ready!(Pin::new(&mut self.stream).poll_read(context, own.unfilled()))?;
        self.meter.add(own.filled().len())?;
        buffer.put_slice(own.filled());
        Poll::Ready(Ok(()))
    }
}

impl Write for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.meter.begin();
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.meter.begin();
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }
}
