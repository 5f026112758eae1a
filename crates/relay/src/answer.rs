//! Buffered responses of services that do not stream.
//!
//! Nothing is sent to the caller until the whole response has arrived. If it is truncated, the
//! request can still be retried at another upstream or answered with an error.

use std::pin::pin;
use std::time::Duration;

use auburnline_gateway::request::Refusal;
use auburnline_gateway::route::Kind;
use auburnline_http::Body as Incoming;
use auburnline_http::bounded;
use bytes::Bytes;
use http::Response;

use crate::exchange::Exchange;
use crate::exchange::Sent;
use crate::flight::Flight;
use crate::head;
use crate::head::Body;
use crate::memory::Buffer;
use crate::telemetry::Timing;

/// Maximum size of a buffered response body.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Fraction of the remaining time after which a second attempt begins beside the first one, where answers usually take less.
const OVERDUE_FRACTION: f64 = 0.5;

/// How an attempt ended.
enum Outcome {
    /// With an answer to pass on.
    Answered(Response<Body>),
    /// Without one; another attempt is allowed or not.
    Failed { may_retry: bool },
    /// It was not made.
    Refused(Refusal),
}

impl Outcome {
    /// Returns whether another attempt under way may do better.
    fn is_failure(&self) -> bool {
        !matches!(self, Outcome::Answered(response) if !response.status().is_server_error())
    }
}

/// Handles a request to a service that does not stream.
pub(crate) async fn serve(exchange: Exchange) -> Response<Body> {
    loop {
        let outcome = match overdue_after(&exchange) {
            Some(time) => attempt_twice(&exchange, time).await,
            None => attempt(&exchange).await,
        };
        match outcome {
            Outcome::Answered(response) => return response,
            Outcome::Failed { may_retry: true } => {}
            Outcome::Failed { may_retry: false } => {
                return exchange.give_up("all attempts failed");
            }
            Outcome::Refused(refusal) => return exchange.end(&refusal),
        }
    }
}

/// Makes an attempt, and another one if there is no answer after this time. The first one goes on: nothing tells an answer that
/// was lost from one that takes long.
async fn attempt_twice(exchange: &Exchange, time: Duration) -> Outcome {
    let mut first = pin!(attempt(exchange));
    if let Ok(outcome) = bounded(time, first.as_mut()).await {
        return outcome;
    }
    if !exchange.has_other_upstream() || !exchange.may_rerun("overdue") {
        return first.await;
    }
    let mut second = pin!(attempt(exchange));
    let (outcome, is_first) = tokio::select! {
        biased;
        outcome = first.as_mut() => (outcome, true),
        outcome = second.as_mut() => (outcome, false),
    };
    if !outcome.is_failure() {
        return outcome;
    }
    let other = if is_first { second.await } else { first.await };
    match (outcome, other) {
        (Outcome::Answered(response), Outcome::Failed { .. } | Outcome::Refused(_)) => {
            Outcome::Answered(response)
        }
        (_, other) => other,
    }
}

async fn attempt(exchange: &Exchange) -> Outcome {
    let (reply, mut flight) = match exchange.send(None, exchange.time_left()).await {
        Sent::Began(reply, flight) => (reply, flight),
        Sent::Failed { may_retry } => return Outcome::Failed { may_retry },
        Sent::Refused(refusal) => return Outcome::Refused(refusal),
    };
    let is_delimited = reply.body.is_delimited();
    let mut buffer = exchange.shared.answers.buffer(reply.body.length());
    let body = bounded(exchange.time_left(), receive(reply.body, &mut buffer)).await;
    let body = body.ok().flatten();
    // An upstream that crashes closes its connections too.
    let is_whole = is_delimited || !flight.has_crashed().await;
    let Some(body) = body.filter(|_| is_whole) else {
        flight.failed();
        exchange.log_failure("response body truncated, timed out or too large", &flight);
        exchange.detect_crash(&mut flight).await;
        let may_retry = exchange.may_rerun("body");
        return Outcome::Failed { may_retry };
    };
    if reply.status.is_server_error() {
        flight.failed_with(reply.status);
        if exchange.may_rerun("server_error") {
            exchange.log_failure("upstream returned a server error; retrying", &flight);
            return Outcome::Failed { may_retry: true };
        }
    } else {
        flight.answered(reply.status);
        record_duration(exchange, &flight);
        exchange.clear_suspicion(reply.status);
    }
    exchange.log_answer(reply.status.as_u16(), &Timing::default());
    let headers = head::end_to_end(&reply.headers);
    Outcome::Answered(head::whole(reply.status, headers, buffer.hold(body)))
}

/// Reads an answer, unless it is too long or is given up for lack of memory.
async fn receive(body: Incoming, buffer: &mut Buffer) -> Option<Bytes> {
    let length = body.length().map(usize::try_from).transpose().ok()?;
    if length.is_some_and(|length| length > MAX_ANSWER_BYTES) {
        return None;
    }
    if let Some(length) = length
        && !buffer.reserve(length).await
    {
        return None;
    }
    let given_up = buffer.given_up();
    let has_room = |bytes| {
        let is_reserved = length.is_some_and(|length| bytes <= length);
        is_reserved || bytes <= MAX_ANSWER_BYTES && buffer.resize(bytes)
    };
    tokio::select! {
        biased;
        () = given_up => None,
        body = body.whole_if(has_room) => body.ok(),
    }
}

fn record_duration(exchange: &Exchange, flight: &Flight) {
    let now = exchange.shared.now();
    let took = now.saturating_sub(flight.began());
    let mut gateway = exchange.shared.gateway();
    if !gateway.was_silent_since(flight.target(), flight.began()) {
        gateway.record_duration(&exchange.plan, took, now);
    }
}

/// Returns after which time without an answer another attempt begins, if the request may be sent again.
fn overdue_after(exchange: &Exchange) -> Option<Duration> {
    let plan = &exchange.plan;
    let is_last = exchange.sends.get() + 1 >= plan.route.max_attempts;
    if plan.route.kind != Kind::Safe || is_last {
        return None;
    }
    let part = exchange.time_left().mul_f64(OVERDUE_FRACTION);
    let now = exchange.shared.now();
    let is_overdue = exchange.shared.gateway().is_overdue_after(plan, part, now);
    is_overdue.then_some(part)
}
