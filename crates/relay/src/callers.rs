//! Connections of callers.

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

/// Pause after a connection that could not be taken, mostly for lack of descriptors.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Bounds before a configuration tells them.
const FIRST_IDLE: Duration = Duration::from_secs(15);
/// Bytes of a head before a configuration tells the bound.
const FIRST_HEADER_BYTES: usize = 16 << 10;
/// Least buffer that the library takes.
const LEAST_BUFFER: usize = 8 << 10;

/// Takes connections for as long as the process runs.
pub(crate) async fn listen(shared: Rc<Shared>, listener: TcpListener, most: usize) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if shared.open() < most => {
                spawn_local(connection(Rc::clone(&shared), stream));
            }
            Ok(_) => metrics::counter!("auburnline_connections_refused_total").increment(1),
            Err(error) => pause(&error).await,
        }
    }
}

async fn pause(error: &io::Error) {
    log::warn!(target: "callers", cause = error.to_string().as_str(); "connection not taken");
    sleep(ACCEPT_PAUSE).await;
}

async fn connection(shared: Rc<Shared>, stream: TcpStream) {
    shared.opened();
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(target: "callers", cause = error.to_string().as_str(); "no delay not set");
    }
    let limits = shared.gateway().table().map(|table| table.limits());
    let idle = limits.map_or(FIRST_IDLE, |limits| limits.idle);
    let header_bytes = limits.map_or(FIRST_HEADER_BYTES, |limits| limits.header_bytes);
    let service = {
        let shared = Rc::clone(&shared);
        service_fn(move |request| {
            let shared = Rc::clone(&shared);
            async move { Ok::<_, Infallible>(serve(shared, request).await) }
        })
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The library has one bound for the time between requests and for the arrival of a head.
        .header_read_timeout(idle)
        .max_buf_size(header_bytes.max(LEAST_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut leaving = shared.leaving();
    let told = async {
        let _ = leaving.wait_for(|is_leaving| *is_leaving).await;
    };
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = told => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!(target: "callers", cause = error.to_string().as_str(); "connection ended");
    }
    shared.closed();
}
