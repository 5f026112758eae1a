//! Proxying of one caller's request, from its admission to its response.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use auburnline_core::error::Kind;
use auburnline_core::id::GroupId;
use auburnline_core::time::Monotonic;
use auburnline_gateway::event::EventId;
use auburnline_gateway::quarantine::part::Stage;
use auburnline_gateway::request::Plan;
use auburnline_gateway::request::Refusal;
use auburnline_gateway::unread::Attempt;
use auburnline_gateway::upstream::UpstreamId;
use auburnline_http::Connection;
use auburnline_http::Failure;
use auburnline_http::Reply;
use auburnline_http::bounded;
use bytes::Bytes;
use http::Request;
use http::Response;

use crate::admission;
use crate::answer;
use crate::arrival::Arrival;
use crate::dialect::Classification;
use crate::dialect::Outbound;
use crate::flight::Flight;
use crate::head::Body;
use crate::payment::Payment;
use crate::shared::Phase;
use crate::shared::Shared;
use crate::stream;
use crate::telemetry::refuse;

/// Number of failed connection attempts after which a request is given up. Since nothing was sent, they do not count against the
/// retry budget.
const MAX_UNSENT_ATTEMPTS: usize = 3;

/// Retry time of a request that another gateway can serve.
pub(crate) const RETRY_ELSEWHERE: Duration = Duration::ZERO;
/// A planned request and the state shared by its attempts.
pub(crate) struct Exchange {
    pub(crate) shared: Rc<Shared>,
    pub(crate) arrival: Rc<Arrival>,
    pub(crate) plan: Plan,
    /// Upstreams of all attempts so far, including those that could not be reached.
    pub(crate) tried: RefCell<Vec<UpstreamId>>,
    /// Attempts that were sent, including those under way; those of which no byte was sent don't count.
    pub(crate) sends: Cell<u32>,
    /// Attempts of which no byte was sent.
    unsent: Cell<usize>,
    /// Whether an upstream may have executed the request.
    may_have_run: Cell<bool>,
    /// Attempts under way, or given up, that have shown nothing and for which no retry is owed.
    pub(crate) unread: RefCell<Vec<Attempt>>,
    /// Whether a retry was owed for one of its attempts.
    pub(crate) has_owed: Cell<bool>,
    /// When the first attempt was sent.
    pub(crate) first_sent: Cell<Option<Monotonic>>,
    /// When a retry was taken from the budget that was not sent yet.
    pub(crate) paid_at: Cell<Option<Monotonic>>,
    /// Whether the first attempt tries quarantined parts of the prompt again.
    pub(crate) is_trial: Cell<bool>,
}

/// Result of one attempt.
pub(crate) enum Sent {
    /// The head of a response arrived.
    Began(Reply, Flight),
    /// The attempt failed without a response to pass on.
    Failed {
        /// Whether another attempt is allowed.
        may_retry: bool,
    },
    /// No attempt was made: no upstream can take the request, or it is quarantined.
    Refused(Refusal),
}

impl Exchange {
    pub(crate) fn new(shared: Rc<Shared>, arrival: Rc<Arrival>, plan: Plan) -> Exchange {
        Exchange {
            shared,
            arrival,
            plan,
            tried: RefCell::default(),
            sends: Cell::new(0),
            unsent: Cell::new(0),
            may_have_run: Cell::new(false),
            unread: RefCell::default(),
            has_owed: Cell::new(false),
            first_sent: Cell::new(None),
            paid_at: Cell::new(None),
            is_trial: Cell::new(false),
        }
    }

    /// Serves the request. At the end of a shutdown it is answered with an error, since a connection that closes would tell the
    /// caller nothing.
    pub(crate) async fn run(self) -> Response<Body> {
        let (shared, id, plan) = (
            Rc::clone(&self.shared),
            self.id().to_owned(),
            self.plan.clone(),
        );
        let served = async {
            if self.plan.route.kind.is_stream() {
                stream::serve(self).await
            } else {
                answer::serve(self).await
            }
        };
        tokio::select! {
            biased;
            response = served => response,
            () = shared.reached(Phase::Ending) => {
                let refusal = Refusal::new(Kind::OutcomeUnknown, "shutting down before the answer came");
                refuse(&shared, &id, Some(&plan), &refusal)
            }
        }
    }

    /// Returns the refusal of a request that would usually outlast a shutdown, or that no upstream has got and that is too late in
    /// it to be sent.
    pub(crate) fn shutdown_refusal(&self) -> Option<Refusal> {
        if !self.shared.is_leaving() {
            return None;
        }
        let now = self.shared.now();
        let usual = self.shared.gateway().longest_duration(&self.plan, now);
        let outlasts = usual.is_some_and(|usual| self.shared.ends_within(usual));
        let is_new = !self.may_have_run.get();
        let is_late = outlasts || is_new && self.shared.phase() >= Phase::Refusing;
        is_late
            .then(|| Refusal::new(Kind::Leaving, "shutting down").with_retry_after(RETRY_ELSEWHERE))
    }

    /// Records that an upstream may have executed the request.
    pub(crate) fn record_run(&self) {
        self.may_have_run.set(true);
    }

    /// Returns the caller's id for this attempt.
    pub(crate) fn id(&self) -> &str {
        &self.arrival.call.id
    }

    /// Returns the time left until the request's deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.plan.deadline.saturating_sub(self.shared.now())
    }

    /// Makes one attempt at an upstream of any group, and waits at most `time_limit` for the head of the response. `after` is the
    /// event after which a stream is to resume.
    pub(crate) async fn send(&self, after: Option<EventId>, time_limit: Duration) -> Sent {
        self.send_within(None, after, time_limit).await
    }

    /// Makes one attempt as [`Exchange::send`] does, at a rank of `group` if one is given.
    pub(crate) async fn send_within(
        &self,
        group: Option<&GroupId>,
        after: Option<EventId>,
        time_limit: Duration,
    ) -> Sent {
        if let Some(refusal) = self.quarantine_refusal() {
            return Sent::Refused(refusal);
        }
        let (choice, group) = match self.assign(group).await {
            Ok(choice) => choice,
            Err(refusal) => return Sent::Refused(refusal),
        };
        self.log_send(&choice, after);
        let upstream = choice.upstream;
        let mut flight = Flight::new(Rc::clone(&self.shared), Arc::clone(&upstream), group);
        // The request may have waited for a permit, or for its body.
        let refusal = self.quarantine_refusal();
        if let Some(refusal) = refusal.or_else(|| self.shutdown_refusal()) {
            return Sent::Refused(refusal);
        }
        if self.sends.get() > 0 && !self.pay() {
            return Sent::Failed { may_retry: false };
        }
        self.sends.update(|sends| sends + 1);
        self.tried.borrow_mut().push(upstream.id.clone());
        self.record_sent(&flight);
        flight.sent(&self.arrival);
        let client = self.shared.client(&upstream);
        let result = match self.request(&client, &upstream.id, after) {
            Ok(request) => {
                let sent = client.send_within(request, Connection::Fresh, time_limit);
                tokio::select! {
                    biased;
                    sent = bounded(time_limit, sent) => sent,
                    () = self.straggler_detected(&upstream, Payment::Now) => {
                        return self.abandon("rank became a straggler before it answered", &flight);
                    }
                    () = self.silence_detected(&upstream, flight.began(), Payment::Now) => {
                        flight.failed();
                        return self.abandon("rank shows nothing while its group goes on", &flight);
                    }
                    never = self.watch(&upstream, flight.began()) => match never {},
                }
            }
            Err(failure) => Ok(Err(error_stack::Report::new(failure))),
        };
        match result {
            Ok(Ok(reply)) => self.began(reply, flight).await,
            Ok(Err(report)) => {
                flight.failed();
                self.record_shown(&flight);
                self.failed(*report.current_context(), flight).await
            }
            Err(_) => {
                flight.failed();
                self.failed(Failure::Lost, flight).await
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
        let now = self.shared.now();
        let urgency = self.shared.gateway().upstream_urgency(&self.plan, now);
        let outbound = Outbound {
            upstream,
            urgency,
            left: self.time_left(),
            workspace: workspace.map(|workspace| &*workspace.name),
            after,
        };
        self.shared.dialect.outbound(&mut headers, &outbound);
        let mut request = Request::new(self.arrival.body.clone().into());
        *request.method_mut() = self.arrival.method.clone();
        *request.uri_mut() = uri;
        *request.headers_mut() = headers;
        Ok(request)
    }

    async fn began(&self, mut reply: Reply, mut flight: Flight) -> Sent {
        self.record_answer(&flight);
        flight.reached(Stage::Beginning);
        self.record_condition(&reply, &flight);
        reply.body = reply.body.ended_by_connection();
        let dialect = &self.shared.dialect;
        match dialect.classify(reply.status, &reply.headers, self.id()) {
            Classification::Answer => {
                self.shared.gateway().groups.mark_available(flight.group());
                self.may_have_run.set(true);
                Sent::Began(reply, flight)
            }
            Classification::NotRun => self.refused(flight),
            Classification::Misdirected => {
                let is_news = self.shared.gateway().pool.mark_misplaced(flight.target());
                if is_news {
                    log::warn!(target: "upstreams", upstream = &**flight.upstream(), address:% = flight.target().address; "another upstream runs at its address");
                }
                self.refused(flight)
            }
            Classification::Unrelated => {
                flight.failed();
                self.failed(Failure::Malformed, flight).await
            }
        }
    }

    fn refused(&self, mut flight: Flight) -> Sent {
        flight.refused();
        self.log_failure("refused by the upstream without executing it", &flight);
        let now = self.shared.now();
        let mut gateway = self.shared.gateway();
        gateway.refused(&self.plan, flight.upstream(), flight.group(), now);
        drop(gateway);
        Sent::Failed {
            may_retry: self.may_retry("refused", self.payment()),
        }
    }

    async fn failed(&self, failure: Failure, mut flight: Flight) -> Sent {
        self.log_failure(&failure.to_string(), &flight);
        let may_retry = if failure == Failure::NotSent {
            flight.unsent();
            self.shared.doubt(flight.target());
            self.sends.update(|sends| sends - 1);
            // What was paid for it pays for the next one.
            if self.sends.get() > 0 {
                self.paid_at.set(Some(flight.began()));
            }
            self.unsent.update(|unsent| unsent + 1);
            self.unsent.get() < MAX_UNSENT_ATTEMPTS
        } else {
            self.may_have_run.set(true);
            self.detect_crash(&mut flight).await;
            self.may_rerun_with(failure.name(), self.payment())
        };
        Sent::Failed { may_retry }
    }

    /// Waits until the request is admitted, for its first attempt or for another one.
    pub(crate) async fn wait_for_admission(&self) -> Result<(), Refusal> {
        let is_first = !self.may_have_run.get();
        tokio::select! {
            biased;
            admitted = admission::wait(&self.shared, &self.plan, &self.arrival.call) => admitted,
            () = self.shared.reached(Phase::Refusing), if is_first => {
                Err(Refusal::new(Kind::Leaving, "shutting down").with_retry_after(RETRY_ELSEWHERE))
            }
        }
    }

    /// Ends a request that cannot be sent again. If it may have been executed, the answer says so instead of giving `refusal`.
    pub(crate) fn end(&self, refusal: &Refusal) -> Response<Body> {
        if self.may_have_run.get() {
            return self.give_up("no upstream left to try");
        }
        refuse(&self.shared, self.id(), Some(&self.plan), refusal)
    }

    /// Answers with an error whose kind reflects whether the request may have been executed and whether its deadline passed.
    pub(crate) fn give_up(&self, reason: &'static str) -> Response<Body> {
        let is_late = self.time_left().is_zero();
        let kind = match (self.may_have_run.get(), is_late) {
            (true, true) => Kind::Timeout,
            (true, false) => Kind::OutcomeUnknown,
            (false, true) => Kind::DeadlinePassed,
            (false, false) => Kind::Unreachable,
        };
        let refusal = if kind == Kind::Unreachable {
            let now = self.shared.now();
            self.shared.gateway().give_up(&self.plan, reason, now)
        } else {
            Refusal::new(kind, reason)
        };
        refuse(&self.shared, self.id(), Some(&self.plan), &refusal)
    }
}
