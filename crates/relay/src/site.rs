//! Small questions over HTTP: is this gateway ready, and which gateways to use.

use std::convert::Infallible;
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
use crate::shared::Shared;

/// Longest time that a connection may stay idle.
const IDLE: Duration = Duration::from_secs(10);
/// Time for which an answer to a caller holds: a little more than a gateway that died takes to be
/// noticed, so that callers drop it soon.
const ANSWER_LIFETIME: Duration = Duration::from_secs(2);

/// What the small questions are answered from.
pub(crate) struct Site {
    pub(crate) shared: Rc<Shared>,
    /// Longest time for which the platform lets an answer hold.
    pub(crate) longest: Duration,
}

/// Answers questions for as long as the process runs.
pub(crate) async fn listen(site: Rc<Site>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(connection(Rc::clone(&site), stream));
            }
            Err(error) => {
                let cause = error.to_string();
                log::warn!(target: "site", cause = cause.as_str(); "connection not taken");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(site: Rc<Site>, stream: TcpStream) {
    let service = service_fn(move |request: Request<Incoming>| {
        let site = Rc::clone(&site);
        async move { Ok::<_, Infallible>(site.answer(request.uri())) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!(target: "site", cause = error.to_string().as_str(); "connection ended");
    }
}

impl Site {
    fn answer(&self, uri: &Uri) -> Response<Body> {
        let dialect = &self.shared.dialect;
        if uri.path() == dialect.ready_path() {
            let is_ready = self.shared.gateway().roster.is_ready();
            return text(ready_status(is_ready), "text/plain", Bytes::new());
        }
        match dialect.question(uri) {
            Some(question) => self.offer(question.failure_domain.as_deref()),
            None => text(StatusCode::NOT_FOUND, "text/plain", Bytes::new()),
        }
    }

    fn offer(&self, domain: Option<&str>) -> Response<Body> {
        let now = self.shared.now();
        let seed = rand::random();
        let offer = self.shared.gateway().roster.offer(domain, seed, now);
        let addresses: Vec<_> = offer.entries.iter().map(|entry| entry.address).collect();
        if addresses.is_empty() {
            return text(StatusCode::SERVICE_UNAVAILABLE, "text/plain", Bytes::new());
        }
        let lifetime = ANSWER_LIFETIME.min(self.longest);
        let body = self.shared.dialect.offer(&addresses, lifetime);
        text(StatusCode::OK, "application/json", body)
    }
}

fn ready_status(is_ready: bool) -> StatusCode {
    if is_ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

fn text(status: StatusCode, kind: &'static str, body: Bytes) -> Response<Body> {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    head::whole(status, headers, body)
}
