//! HTTP server for callers.
//!
//! A gateway that shuts down goes on accepting connections, since callers learn only later that they should use another one. It
//! serves what comes at first, then refuses it as not run, and asks for the end of each connection in the answer. A connection
//! is closed without one only if no request comes on it. On a busy machine a request may have come long before this process reads
//! it, so that connections are read, and the queue of new ones emptied, before they are closed.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use auburnline_core::error::Kind;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header::CONNECTION;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::arrival::refuse_any;
use crate::arrival::serve;
use crate::head;
use crate::head::Body;
use crate::memory;
use crate::room::Place;
use crate::shared::Phase;
use crate::shared::Shared;

/// Pause after a failed `accept`, which is mostly due to a lack of file descriptors.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Idle timeout of a connection while no configuration is loaded.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum size of a request head while no configuration is loaded.
const DEFAULT_MAX_HEADER_BYTES: usize = 16 << 10;
/// Smallest read buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Pause in which the runtime learns what has come on a connection before it is closed.
pub(crate) const READ_PAUSE: Duration = Duration::from_millis(10);

/// An open connection of a caller.
struct Open {
    shared: Rc<Shared>,
    place: Rc<Place>,
    /// Requests read so far.
    requests: Cell<u64>,
}

impl Open {
    fn new(shared: Rc<Shared>) -> Rc<Open> {
        let place = shared.room.enter();
        Rc::new(Open {
            shared,
            place,
            requests: Cell::new(0),
        })
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        self.requests.set(self.requests.get() + 1);
        let shared = &self.shared;
        let (busy, room) = (self.place.begin(), self.place.room());
        let mut response = if room.is_overloaded() {
            refuse_any(shared, request, Kind::Overloaded, "too many connections").await
        } else if !memory::has_room_for_request(shared.memory) {
            metrics::counter!("auburnline_memory_refusals_total").increment(1);
            refuse_any(shared, request, Kind::Overloaded, "not enough memory").await
        } else if shared.phase() >= Phase::Refusing {
            refuse_any(shared, request, Kind::Leaving, "shutting down").await
        } else {
            serve(Rc::clone(shared), request).await
        };
        if room.is_crowded() || shared.is_leaving() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        head::guarded(response, busy)
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        let reason = match (self.shared.is_leaving(), self.requests.get()) {
            (true, 0) => "leaving_unused",
            (true, _) => "leaving",
            (false, 0) => "unused",
            (false, _) => "used",
        };
        metrics::counter!("auburnline_connections_closed_total", "reason" => reason).increment(1);
    }
}

/// The task that accepts callers' connections.
pub(crate) struct Listening {
    end: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl Listening {
    /// Accepts callers' connections for which there is room.
    pub(crate) fn start(shared: Rc<Shared>, listener: TcpListener) -> Listening {
        let (end, ended) = oneshot::channel();
        Listening {
            end,
            task: spawn_local(Acceptor(shared).run(listener, ended)),
        }
    }

    /// Accepts what has come, so that it is answered, and nothing more: connections are refused from then on.
    pub(crate) async fn end(self) {
        // Fails if the task has ended, which happens only on a panic.
        let _ = self.end.send(());
        let _ = self.task.await;
    }
}

struct Acceptor(Rc<Shared>);

impl Acceptor {
    async fn run(self, listener: TcpListener, mut ended: oneshot::Receiver<()>) {
        loop {
            let accepting = async {
                self.0.room.wait().await;
                listener.accept().await
            };
            let accepted = tokio::select! {
                accepted = accepting => accepted,
                _ = &mut ended => break,
            };
            match accepted {
                Ok((stream, _)) => self.accept(stream),
                Err(error) => {
                    self.0.room.close_oldest();
                    pause_after(&error).await;
                }
            }
        }
        self.empty(listener);
    }

    fn accept(&self, stream: TcpStream) {
        let open = Open::new(Rc::clone(&self.0));
        spawn_local(connection(open, stream));
    }

    /// Accepts what the queue holds, without a pause in which more could come before it is closed. The runtime knows only what
    /// had come when it last looked.
    fn empty(&self, listener: TcpListener) {
        let Ok(listener) = listener.into_std() else {
            return;
        };
        while let Ok((stream, _)) = listener.accept() {
            let stream = stream.set_nonblocking(true).map(|()| stream);
            if let Ok(stream) = stream.and_then(TcpStream::from_std) {
                self.accept(stream);
            }
        }
    }
}

async fn pause_after(error: &io::Error) {
    log::warn!(target: "callers", cause = error.to_string().as_str(); "failed to accept connection");
    sleep(ACCEPT_PAUSE).await;
}

async fn connection(open: Rc<Open>, stream: TcpStream) {
    let (shared, place) = (Rc::clone(&open.shared), Rc::clone(&open.place));
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(target: "callers", cause = error.to_string().as_str(); "failed to set TCP_NODELAY");
    }
    let limits = shared.gateway().table().map(|table| table.limits());
    let idle = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle);
    let header_bytes = limits.map_or(DEFAULT_MAX_HEADER_BYTES, |limits| limits.header_bytes);
    let service = service_fn(move |request| {
        let open = Rc::clone(&open);
        async move { Ok::<_, Infallible>(open.answer(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // hyper has a single timeout for the time between requests and for the arrival of a head.
        .header_read_timeout(idle)
        .max_buf_size(header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut phase = shared.phases();
    // On a connection that was made late its request is still to come.
    let is_late = *phase.borrow() >= Phase::Closing;
    let last = if is_late {
        Phase::Ending
    } else {
        Phase::Closing
    };
    let closing = async {
        tokio::select! {
            _ = phase.wait_for(|phase| *phase >= last) => {}
            () = place.told_to_close() => {
                metrics::counter!("auburnline_connections_told_to_close_total").increment(1);
            }
        }
        sleep(READ_PAUSE).await;
    };
    let result = tokio::select! {
        biased;
        result = connection.as_mut() => result,
        () = closing => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!(target: "callers", cause = error.to_string().as_str(); "connection closed with an error");
    }
}
