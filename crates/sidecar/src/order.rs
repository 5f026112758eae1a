//! Orders to the own engine, given until they are answered.
//!
//! An order whose answer is lost may have been carried out, or may be seconds later; each may be
//! repeated without harm. While one is missing the whole group may stand still, so the wait is short.

use std::time::Duration;

use auburnline_http::Failure;
use auburnline_lockstep::change::Order;
use auburnline_lockstep::layout::Layout;
use auburnline_lockstep::sight::Epoch;
use tokio::time::timeout;

use crate::engine::Engine;
use crate::engine::Reply;

/// Longest wait for the answer to one order. The engine is on this instance and answers within 5 ms; a
/// wait as long as for a report (150 ms and more) held groups for a quarter of a second at each loss.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);
/// Times that an order without answer is given: where one in three gets lost, one in eighty does then.
pub const MAX_ATTEMPTS: usize = 4;

/// Gives an order until it is answered; returns the answer, or none if all were lost.
pub async fn send_order<E: Engine>(
    engine: &E,
    epoch: Epoch,
    order: Order,
    layout: Option<&Layout>,
) -> Option<Reply> {
    for _ in 0..MAX_ATTEMPTS {
        let answer = engine.order(epoch, order, layout);
        let reply = timeout(ANSWER_TIMEOUT, answer).await;
        let reply = reply.unwrap_or(Err(Failure::Lost));
        log::info!(target: "engine", epoch, order:?, reply:?; "order");
        let outcome = if reply.is_ok() {
            "answered"
        } else {
            "unanswered"
        };
        metrics::counter!("auburnline_orders_total", "outcome" => outcome).increment(1);
        if let Ok(reply) = reply {
            return Some(reply);
        }
    }
    None
}
