//! Delivery of orders to an engine, with retries.
//!
//! An order that gets no answer may have been carried out, or may be carried out seconds later. All orders are
//! idempotent, so each may be repeated. The whole group may be stopped until an order arrives, so the time-out is
//! short.

use std::time::Duration;

use auburnline_http::Failure;
use auburnline_lockstep::change::Order;
use auburnline_lockstep::layout::Layout;
use auburnline_lockstep::rank::Epoch;
use tokio::time::timeout;

use crate::engine::Engine;
use crate::engine::Reply;

/// Time-out of one attempt. The engine is on this instance and answers within 5 ms. With the time-out of a report
/// (150 ms and more) each lost order held the group for a quarter of a second.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);
/// Most attempts to send an order. If one attempt in three is lost, four attempts lose one order in eighty.
pub const MAX_ATTEMPTS: usize = 4;

/// Sends an order until it is answered; returns the answer, or none if all attempts were lost.
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
