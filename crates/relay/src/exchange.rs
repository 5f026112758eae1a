//! One request of a caller, from its head to its answer.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use auburnline_core::error::Kind;
use auburnline_core::id::GroupId;
use auburnline_core::time::Monotonic;
use auburnline_gateway::event::EventId;
use auburnline_gateway::request;
use auburnline_gateway::request::Admission;
use auburnline_gateway::request::Plan;
use auburnline_gateway::request::Refusal;
use auburnline_gateway::upstream::UpstreamId;
use auburnline_http::Connection;
use auburnline_http::Failure;
use auburnline_http::Reply;
use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http_body_util::BodyExt as _;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use metrics::counter;
use metrics::histogram;
use tokio::time::timeout;

use crate::answer;
use crate::dialect::Call;
use crate::dialect::Onward;
use crate::dialect::Verdict;
use crate::flight::Flight;
use crate::head;
use crate::head::Body;
use crate::shared::Shared;
use crate::stream;
use crate::tell::millis;
use crate::tell::refuse;

/// Bound on a body before a configuration tells one.
const FIRST_BODY_BYTES: usize = 1 << 20;
/// Longest time for a body to arrive before a configuration tells one.
const FIRST_PATIENCE: Duration = Duration::from_secs(3);
/// Sends that may fail before they reach an upstream; these run nowhere and cost no retry budget.
const MAX_UNSENT: usize = 3;

/// A caller's request, whole.
pub(crate) struct Arrival {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) call: Call,
}

/// One request on its way, with all that its sends need.
pub(crate) struct Exchange {
    pub(crate) shared: Rc<Shared>,
    pub(crate) arrival: Arrival,
    pub(crate) plan: Plan,
    /// Upstreams that it was sent to or that could not be reached.
    pub(crate) tried: Vec<UpstreamId>,
    /// Sends that reached an upstream.
    pub(crate) sends: u32,
    /// Sends that reached nobody.
    unsent: usize,
    /// Whether some upstream may have run it.
    pub(crate) may_have_run: bool,
}

/// What became of one send.
pub(crate) enum Sent {
    /// An answer began.
    Began(Reply, Flight),
    /// No answer; whether another send may follow.
    Failed {
        /// Whether another send may follow.
        may_repeat: bool,
    },
    /// No upstream is left.
    Refused(Refusal),
}

/// Serves one request.
pub(crate) async fn serve(shared: Rc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let arrived = shared.now();
    let (head, body) = request.into_parts();
    let call = match shared.dialect.call(&head.uri, &head.headers) {
        Ok(call) => call,
        Err(kind) => return refuse(&shared, "", None, &Refusal::of(kind, "head not understood")),
    };
    let body = match read(&shared, body).await {
        Ok(body) => body,
        Err(kind) => {
            return refuse(
                &shared,
                &call.id,
                None,
                &Refusal::of(kind, "body not taken"),
            );
        }
    };
    let planned = plan(&shared, &call, head.uri.path(), arrived);
    let plan = match planned {
        Ok(plan) => plan,
        Err(refusal) => return refuse(&shared, &call.id, None, &refusal),
    };
    let path = head.uri.path_and_query();
    let arrival = Arrival {
        method: head.method,
        path: path.map_or("/", |path| path.as_str()).to_owned(),
        headers: head::end_to_end(&head.headers),
        body,
        call,
    };
    let exchange = Exchange::new(shared, arrival, plan);
    let admitted = match exchange.hold_back() {
        Some(refusal) => Err(refusal),
        None => exchange.readmit().await,
    };
    match admitted {
        Ok(()) => exchange.run().await,
        Err(refusal) => exchange.end(&refusal),
    }
}

async fn read(shared: &Shared, body: Incoming) -> Result<Bytes, Kind> {
    let limits = shared.gateway().table().map(|table| table.limits());
    let most = limits.map_or(FIRST_BODY_BYTES, |limits| limits.body_bytes);
    let patience = limits.map_or(FIRST_PATIENCE, |limits| limits.idle);
    let collected = timeout(patience, Limited::new(body, most).collect()).await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Kind::TooLarge),
        Ok(Err(_)) => Err(Kind::BadRequest),
        Err(_) => Err(Kind::SlowSender),
    }
}

fn plan(shared: &Shared, call: &Call, path: &str, now: Monotonic) -> Result<Plan, Refusal> {
    let request = request::Request {
        host: &call.host,
        path,
        key: call.key.as_deref(),
        patience: call.patience,
    };
    shared.gateway().plan(&request, now)
}

/// Waits until the request may be sent.
async fn admit(shared: &Shared, plan: &Plan, call: &Call) -> Result<(), Refusal> {
    loop {
        let now = shared.now();
        let place = shared.place(&plan.service);
        let admission = shared.gateway().admit(plan, now);
        match admission {
            Admission::Go(basis) => {
                let waited = now.saturating_sub(plan.arrived);
                histogram!("auburnline_admission_wait_seconds").record(waited);
                log::debug!(
                    target: "gateway",
                    request = call.id.as_str(),
                    waited_ms = millis(waited),
                    basis:?;
                    "admit"
                );
                return Ok(());
            }
            Admission::Wait(until) => {
                let _ = timeout(until.saturating_sub(now), place.notified()).await;
            }
            Admission::Refuse(refusal) => return Err(refusal),
        }
    }
}

impl Exchange {
    fn new(shared: Rc<Shared>, arrival: Arrival, plan: Plan) -> Exchange {
        Exchange {
            shared,
            arrival,
            plan,
            tried: Vec::new(),
            sends: 0,
            unsent: 0,
            may_have_run: false,
        }
    }

    async fn run(self) -> Response<Body> {
        if self.plan.route.kind.is_stream() {
            stream::serve(self).await
        } else {
            answer::serve(self).await
        }
    }

    /// Returns the id of the caller's attempt.
    pub(crate) fn id(&self) -> &str {
        &self.arrival.call.id
    }

    /// Returns the time left until the final answer is due.
    pub(crate) fn left(&self) -> Duration {
        self.plan.due.saturating_sub(self.shared.now())
    }

    /// Sends once, and waits no longer than `patience` for the head of the answer.
    pub(crate) async fn send(&mut self, after: Option<EventId>, patience: Duration) -> Sent {
        self.send_within(None, after, patience).await
    }

    /// Sends once to a rank of a group, or of any if none is given.
    pub(crate) async fn send_within(
        &mut self,
        group: Option<&GroupId>,
        after: Option<EventId>,
        patience: Duration,
    ) -> Sent {
        if let Some(refusal) = self.hold_back() {
            return Sent::Refused(refusal);
        }
        let (choice, group) = match self.assign(group).await {
            Ok(choice) => choice,
            Err(refusal) => return Sent::Refused(refusal),
        };
        self.log_send(&choice, after);
        let upstream = choice.upstream;
        let mut flight = Flight::new(Rc::clone(&self.shared), Arc::clone(&upstream), group);
        self.tried.push(upstream.id.clone());
        let client = self.shared.client(&upstream);
        let result = match self.request(&client, &upstream.id, after) {
            Ok(request) => {
                let sent = client.send_within(request, Connection::Fresh, patience);
                tokio::select! {
                    sent = timeout(patience, sent) => sent,
                    () = self.leave_for(&upstream, self.sends + 1) => return self.leave(&flight),
                }
            }
            Err(failure) => Ok(Err(error_stack::Report::new(failure))),
        };
        match result {
            Ok(Ok(reply)) => self.began(reply, flight).await,
            Ok(Err(report)) => {
                flight.failed();
                self.failed(*report.current_context(), &flight).await
            }
            Err(_) => {
                flight.failed();
                self.failed(Failure::Lost, &flight).await
            }
        }
    }

    fn request(
        &self,
        client: &auburnline_http::Client,
        upstream: &str,
        after: Option<EventId>,
    ) -> Result<Request<http_body_util::Full<Bytes>>, Failure> {
        let uri = client.uri(&self.arrival.path);
        let uri = uri.map_err(|report| *report.current_context())?;
        let mut headers = self.arrival.headers.clone();
        let workspace = self.plan.workspace.as_ref();
        let onward = Onward {
            upstream,
            left: self.left(),
            workspace: workspace.map(|workspace| &*workspace.name),
            after,
        };
        self.shared.dialect.onward(&mut headers, &onward);
        let mut request = Request::new(self.arrival.body.clone().into());
        *request.method_mut() = self.arrival.method.clone();
        *request.uri_mut() = uri;
        *request.headers_mut() = headers;
        Ok(request)
    }

    async fn began(&mut self, reply: Reply, mut flight: Flight) -> Sent {
        self.take_condition(&reply, &flight);
        let dialect = &self.shared.dialect;
        match dialect.verdict(reply.status, &reply.headers, self.id()) {
            Verdict::Answer => {
                self.shared.gateway().groups.trust(flight.group());
                self.sends += 1;
                self.may_have_run = true;
                Sent::Began(reply, flight)
            }
            Verdict::NotRun => {
                self.sends += 1;
                flight.refused();
                self.log_failure("refused by the upstream, not run", &flight);
                let now = self.shared.now();
                let mut gateway = self.shared.gateway();
                gateway.refused(&self.plan, flight.upstream(), flight.group(), now);
                drop(gateway);
                Sent::Failed {
                    may_repeat: self.may_repeat(self.sends),
                }
            }
            Verdict::Foreign => {
                flight.failed();
                self.failed(Failure::Malformed, &flight).await
            }
        }
    }

    async fn failed(&mut self, failure: Failure, flight: &Flight) -> Sent {
        self.log_failure(&failure.to_string(), flight);
        let may_repeat = if failure == Failure::NotSent {
            self.unsent += 1;
            self.unsent < MAX_UNSENT
        } else {
            self.sends += 1;
            self.may_have_run = true;
            self.look_for_crash(flight).await;
            self.may_run_again()
        };
        Sent::Failed { may_repeat }
    }

    /// Waits until the request may be sent once more.
    pub(crate) async fn readmit(&self) -> Result<(), Refusal> {
        admit(&self.shared, &self.plan, &self.arrival.call).await
    }

    /// Asks for leave to send once more what may have run.
    pub(crate) fn may_run_again(&self) -> bool {
        self.may_run_after(self.sends)
    }

    /// Asks the same for a request that was sent so many times.
    pub(crate) fn may_run_after(&self, sends: u32) -> bool {
        let is_idempotent = self.plan.route.kind.is_idempotent();
        is_idempotent && self.hold_back().is_none() && self.may_repeat(sends)
    }

    /// Asks for leave to send to one more upstream after so many sends.
    fn may_repeat(&self, sends: u32) -> bool {
        if sends >= self.plan.route.max_attempts || self.left().is_zero() {
            return false;
        }
        let now = self.shared.now();
        let is_allowed = self.shared.gateway().may_repeat(&self.plan, now);
        let outcome = if is_allowed { "repeat" } else { "no_budget" };
        counter!("auburnline_repetitions_total", "outcome" => outcome).increment(1);
        is_allowed
    }

    /// Ends a request that can't be sent again, true to what may have run.
    pub(crate) fn end(&self, refusal: &Refusal) -> Response<Body> {
        if self.may_have_run {
            return self.give_up("no upstream is left");
        }
        refuse(&self.shared, self.id(), Some(&self.plan), refusal)
    }

    /// Answers with a failure of the gateway's own, true to what may have run.
    pub(crate) fn give_up(&self, reason: &'static str) -> Response<Body> {
        let is_late = self.left().is_zero();
        let kind = match (self.may_have_run, is_late) {
            (true, true) => Kind::Timeout,
            (true, false) => Kind::OutcomeUnknown,
            (false, true) => Kind::DeadlinePassed,
            (false, false) => Kind::Unreachable,
        };
        let refusal = if kind == Kind::Unreachable {
            let now = self.shared.now();
            self.shared.gateway().give_up(&self.plan, reason, now)
        } else {
            Refusal::of(kind, reason)
        };
        refuse(&self.shared, self.id(), Some(&self.plan), &refusal)
    }
}
