//! Answers of plain services: taken whole, then passed on.
//!
//! An answer that breaks off on its way never begins at the caller, so that it can still come from
//! another upstream, or be told as a failure.

use std::time::Duration;

use auburnline_gateway::route::Kind;
use http::Response;
use tokio::time::timeout;

use crate::exchange::Exchange;
use crate::exchange::Sent;
use crate::head;
use crate::head::Body;
use crate::tell::Pace;

/// Largest answer that is taken whole.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Part of the time left that the first of several sends gets: an upstream that hangs leaves half of
/// it to another one.
const FIRST_PART: f64 = 0.5;

/// Serves a request of a plain service.
pub(crate) async fn serve(mut exchange: Exchange) -> Response<Body> {
    loop {
        let patience = patience(&exchange);
        match exchange.send(None, patience).await {
            Sent::Began(reply, mut flight) => {
                let body = timeout(patience, reply.body.whole(MAX_ANSWER_BYTES)).await;
                let Ok(Ok(body)) = body else {
                    flight.failed();
                    exchange.log_failure("the answer broke off", &flight);
                    exchange.look_for_crash(&flight).await;
                    if !exchange.may_run_again() {
                        return exchange.give_up("the answer broke off");
                    }
                    continue;
                };
                if reply.status.is_server_error() {
                    flight.failed();
                    if exchange.may_run_again() {
                        exchange.log_failure("the upstream failed, repeating", &flight);
                        continue;
                    }
                } else {
                    flight.answered();
                    exchange.clear();
                }
                exchange.log_answer(reply.status.as_u16(), &Pace::default());
                let headers = head::end_to_end(&reply.headers);
                return head::whole(reply.status, headers, body);
            }
            Sent::Failed { may_repeat: true } => {}
            Sent::Failed { may_repeat: false } => return exchange.give_up("no send succeeded"),
            Sent::Refused(refusal) => return exchange.end(&refusal),
        }
    }
}

/// Returns how long the next send may take.
fn patience(exchange: &Exchange) -> Duration {
    let left = exchange.left();
    let is_last = exchange.sends + 1 >= exchange.plan.route.max_attempts;
    if exchange.plan.route.kind == Kind::Safe && !is_last {
        left.mul_f64(FIRST_PART)
    } else {
        left
    }
}
