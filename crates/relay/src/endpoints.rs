//! HTTP endpoints for readiness probes and for discovery of gateways.

use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::header::CONTENT_TYPE;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::callers::ACCEPT_PAUSE;
use crate::head;
use crate::head::Body;
use crate::room::Room;
use crate::shared::Shared;

/// Maximum idle time of a connection, and maximum time for a request head to arrive.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a request head.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Time for which callers may cache a discovery response: slightly longer than it takes to detect a dead gateway,
/// so that callers stop using it soon.
const DISCOVERY_LIFETIME: Duration = Duration::from_secs(2);

/// State shared by the endpoints.
pub(crate) struct Endpoints {
    pub(crate) shared: Rc<Shared>,
    /// Places for the connections to all endpoints.
    pub(crate) room: Rc<Room>,
    /// Maximum lifetime of a discovery response that the platform allows.
    pub(crate) max_lifetime: Duration,
}

/// Accepts connections for as long as the process runs.
pub(crate) async fn listen(endpoints: Rc<Endpoints>, listener: TcpListener) {
    loop {
        endpoints.room.wait().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(connection(Rc::clone(&endpoints), stream));
            }
            Err(error) => {
                endpoints.room.close_oldest();
                let cause = error.to_string();
                log::warn!(target: "site", cause = cause.as_str(); "failed to accept connection");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(endpoints: Rc<Endpoints>, stream: TcpStream) {
    let place = endpoints.room.enter();
    let serving = Rc::clone(&place);
    let service = service_fn(move |request: Request<Incoming>| {
        let endpoints = Rc::clone(&endpoints);
        let _busy = serving.begin();
        async move { Ok::<_, Infallible>(endpoints.answer(request.uri())) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let result = tokio::select! {
        biased;
        result = connection.as_mut() => result,
        () = place.told_to_close() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!(target: "site", cause = error.to_string().as_str(); "connection closed with an error");
    }
}

impl Endpoints {
    fn answer(&self, uri: &Uri) -> Response<Body> {
        let dialect = &self.shared.dialect;
        if uri.path() == dialect.ready_path() {
            let is_ready = self.shared.gateway().roster.is_ready();
            return respond(ready_status(is_ready), "text/plain", Bytes::new());
        }
        match dialect.discovery_request(uri) {
            Some(request) => self.offer(request.failure_domain.as_deref()),
            None => respond(StatusCode::NOT_FOUND, "text/plain", Bytes::new()),
        }
    }

    fn offer(&self, domain: Option<&str>) -> Response<Body> {
        let now = self.shared.now();
        let seed = rand::random();
        let offer = self.shared.gateway().roster.offer(domain, seed, now);
        let addresses: Vec<_> = offer.entries.iter().map(|entry| entry.address).collect();
        if addresses.is_empty() {
            return respond(StatusCode::SERVICE_UNAVAILABLE, "text/plain", Bytes::new());
        }
        let lifetime = DISCOVERY_LIFETIME.min(self.max_lifetime);
        let body = self.shared.dialect.discovery_response(&addresses, lifetime);
        respond(StatusCode::OK, "application/json", body)
    }
}

fn ready_status(is_ready: bool) -> StatusCode {
    if is_ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

fn respond(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<Body> {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    head::whole(status, headers, body)
}
