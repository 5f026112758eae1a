//! HTTP server for callers.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::exchange::serve;
use crate::shared::Shared;

/// Pause after a failed `accept`, which is mostly due to a lack of file descriptors.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Idle timeout of a connection while no configuration is loaded.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum size of a request head while no configuration is loaded.
const DEFAULT_MAX_HEADER_BYTES: usize = 16 << 10;
/// Smallest read buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Accepts callers' connections until the task is aborted, and closes new ones at once while
/// `max_connections` are open.
pub(crate) async fn listen(shared: Rc<Shared>, listener: TcpListener, max_connections: usize) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if shared.open() < max_connections => {
                spawn_local(connection(Rc::clone(&shared), stream));
            }
            Ok(_) => metrics::counter!("auburnline_connections_refused_total").increment(1),
            Err(error) => pause_after(&error).await,
        }
    }
}

async fn pause_after(error: &io::Error) {
    log::warn!(target: "callers", cause = error.to_string().as_str(); "failed to accept connection");
    sleep(ACCEPT_PAUSE).await;
}

async fn connection(shared: Rc<Shared>, stream: TcpStream) {
    shared.opened();
    let served = Rc::new(Cell::new(0_u64));
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(target: "callers", cause = error.to_string().as_str(); "failed to set TCP_NODELAY");
    }
    let limits = shared.gateway().table().map(|table| table.limits());
    let idle = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle);
    let header_bytes = limits.map_or(DEFAULT_MAX_HEADER_BYTES, |limits| limits.header_bytes);
    let service = {
        let (shared, served) = (Rc::clone(&shared), Rc::clone(&served));
        service_fn(move |request| {
            let shared = Rc::clone(&shared);
            served.set(served.get() + 1);
            async move { Ok::<_, Infallible>(serve(shared, request).await) }
        })
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // hyper has a single timeout for the time between requests and for the arrival of a head.
        .header_read_timeout(idle)
        .max_buf_size(header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut leaving = shared.leaving();
    let shutdown = async {
        let _ = leaving.wait_for(|is_leaving| *is_leaving).await;
    };
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = shutdown => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!(target: "callers", cause = error.to_string().as_str(); "connection closed with an error");
    }
    let reason = match (shared.is_leaving(), served.get()) {
        (true, 0) => "leaving_unused",
        (true, _) => "leaving",
        (false, 0) => "unused",
        (false, _) => "used",
    };
    metrics::counter!("auburnline_connections_closed_total", "reason" => reason).increment(1);
    shared.closed();
}
