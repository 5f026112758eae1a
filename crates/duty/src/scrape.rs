//! Serves the metrics of the process over HTTP for a scraper.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::metrics::Handle;

const METRICS_PATH: &str = "/metrics";
/// Longest wait for the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest head of a request.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serves the metrics, one connection at a time; never returns.
pub async fn serve(listener: TcpListener, metrics: Handle) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => connection(stream, &metrics).await,
            Err(error) => {
                let cause = error.to_string();
                log::warn!(target: "metrics", cause = cause.as_str(); "accept failed");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(stream: TcpStream, metrics: &Handle) {
    let service = service_fn(|request: Request<Incoming>| async move {
        Ok::<_, Infallible>(answer(request.uri().path(), metrics))
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        let cause = error.to_string();
        log::debug!(target: "metrics", cause = cause.as_str(); "connection failed");
    }
}

fn answer(path: &str, metrics: &Handle) -> Response<Full<Bytes>> {
    if path != METRICS_PATH {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    let mut response = Response::new(Full::new(Bytes::from(metrics.render())));
    let kind = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
