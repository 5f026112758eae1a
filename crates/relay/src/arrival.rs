//! A caller's request until it is admitted.

use std::cell::Cell;
use std::rc::Rc;

use auburnline_core::error::Kind;
use auburnline_gateway::prompt::Part;
use auburnline_gateway::quarantine::Fingerprint;
use auburnline_gateway::quarantine::fingerprint;
use auburnline_gateway::request::Refusal;
use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use hyper::body::Incoming;

use crate::body::discard_body;
use crate::body::read_body;
use crate::dialect::Call;
use crate::exchange::Exchange;
use crate::exchange::RETRY_ELSEWHERE;
use crate::head;
use crate::head::Body;
use crate::hold::Waiting;
use crate::shared::Shared;
use crate::telemetry::refuse;

/// A caller's request after its body was read.
pub(crate) struct Arrival {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) call: Call,
    /// Whether an upstream has answered it with success.
    pub(crate) is_answered: Cell<bool>,
}

impl Arrival {
    /// Returns all parts of the prompt.
    pub(crate) fn parts(&self) -> Vec<Part> {
        let shared = self.call.parts.iter().copied();
        shared.chain(self.call.last_part).collect()
    }

    pub(crate) fn fingerprint(&self) -> Fingerprint {
        let key = self.call.key.as_deref();
        fingerprint(self.method.as_str(), &self.path, key, &self.body)
    }
}

/// Handles one request of a caller.
pub(crate) async fn serve(shared: Rc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let arrived = shared.now();
    let (head, body) = request.into_parts();
    let call = match shared.dialect.call(&head.uri, &head.headers) {
        Ok(call) => call,
        Err(kind) => return refuse(&shared, "", None, &Refusal::new(kind, "malformed head")),
    };
    let body = match read_body(&shared, body).await {
        Ok(body) => body,
        Err(Kind::Overloaded) => {
            let refusal = Refusal::new(Kind::Overloaded, "not enough memory for the body");
            let refusal = refusal.with_retry_after(RETRY_ELSEWHERE);
            return refuse(&shared, &call.id, None, &refusal);
        }
        Err(kind) => {
            let refusal = Refusal::new(kind, "request body not received");
            return refuse(&shared, &call.id, None, &refusal);
        }
    };
    let whole_path = head.uri.path_and_query();
    let whole_path = whole_path.map_or("/", |path| path.as_str()).to_owned();
    let waiting = Waiting {
        call: &call,
        method: head.method.as_str(),
        path: head.uri.path(),
        whole_path: &whole_path,
        body: &body,
        arrived,
    };
    let plan = match waiting.plan(&shared).await {
        Ok(plan) => plan,
        Err(refusal) => return refuse(&shared, &call.id, None, &refusal),
    };
    shared.gateway().record_attempt(&plan, call.timeout);
    let arrival = Arrival {
        method: head.method,
        path: whole_path,
        headers: head::end_to_end(&head.headers),
        body,
        call,
        is_answered: Cell::new(false),
    };
    let exchange = Exchange::new(shared, Rc::new(arrival), plan);
    let refusal = exchange.quarantine_refusal();
    let admitted = match refusal.or_else(|| exchange.shutdown_refusal()) {
        Some(refusal) => Err(refusal),
        None => exchange.wait_for_admission().await,
    };
    match admitted {
        Ok(()) => exchange.run().await,
        Err(refusal) => exchange.end(&refusal),
    }
}

/// Refuses a request of a caller without any regard to what it asks for.
pub(crate) async fn refuse_any(
    shared: &Shared,
    request: Request<Incoming>,
    kind: Kind,
    reason: &'static str,
) -> Response<Body> {
    let (head, body) = request.into_parts();
    let call = shared.dialect.call(&head.uri, &head.headers);
    let id = call.map(|call| call.id).unwrap_or_default();
    // Closing a connection with unread bytes would reset it, and the answer would be lost.
    discard_body(shared, body).await;
    refuse(
        shared,
        &id,
        None,
        &Refusal::new(kind, reason).with_retry_after(RETRY_ELSEWHERE),
    )
}
