//! Upstream state carried by the headers of responses: rate limit, backoff, and shutdown.

use auburnline_http::Reply;
use http::StatusCode;
use metrics::counter;

use crate::dialect::Backoff;
use crate::exchange::Exchange;
use crate::flight::Flight;
use crate::telemetry::millis;

impl Exchange {
    /// Records what a response says about its upstream. A 421 (Misdirected Request) response is ignored: it comes from
    /// another upstream than the one that the request was sent to.
    pub(crate) fn record_condition(&self, reply: &Reply, flight: &Flight) {
        if reply.status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        self.record_limit(reply, flight);
        self.record_backoff(reply, flight);
        self.record_leaving(reply, flight);
    }

    fn record_backoff(&self, reply: &Reply, flight: &Flight) {
        let upstream = &**flight.upstream();
        match self.shared.dialect.backoff(reply.status, &reply.headers) {
            Backoff::Nothing => {}
            Backoff::For(time) => {
                let now = self.shared.now();
                let mut gateway = self.shared.gateway();
                gateway.back_off(flight.target(), time, now);
                drop(gateway);
                log::info!(
                    target: "backoff",
                    request = self.id(),
                    upstream,
                    service = &*flight.target().service,
                    backoff_ms = millis(time);
                    "asked"
                );
                counter!("auburnline_backoffs_total").increment(1);
            }
            Backoff::Malformed => {
                log::warn!(target: "backoff", request = self.id(), upstream; "malformed retry-after header");
                counter!("auburnline_backoffs_malformed_total").increment(1);
            }
        }
    }

    fn record_leaving(&self, reply: &Reply, flight: &Flight) {
        if !self.shared.dialect.is_leaving(&reply.headers) {
            return;
        }
        let mut gateway = self.shared.gateway();
        let change = gateway.pool.mark_draining(flight.target());
        drop(gateway);
        if change.is_none() {
            return;
        }
        self.shared.upstreams_changed(change.into_iter().collect());
        log::info!(target: "upstreams", request = self.id(), upstream = &**flight.upstream(); "upstream is shutting down");
        counter!("auburnline_upstreams_leaving_total").increment(1);
    }
}
