//! Upstreams that refuse a request and ask to be left alone for a time.

use auburnline_http::Reply;
use metrics::counter;

use crate::dialect::Backoff;
use crate::exchange::Exchange;
use crate::flight::Flight;
use crate::tell::millis;

impl Exchange {
    /// Takes what an answer says of when its upstream wants requests of this gateway again.
    pub(crate) fn take_backoff(&self, reply: &Reply, flight: &Flight) {
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
                log::warn!(target: "backoff", request = self.id(), upstream; "malformed");
                counter!("auburnline_backoffs_malformed_total").increment(1);
            }
        }
    }
}
