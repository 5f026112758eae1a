//! Rate limits that upstreams name, as they come in and go on to other gateways.

use std::net::SocketAddr;

use auburnline_gateway::limit::News;
use auburnline_http::Reply;
use auburnline_quota::Rate;
use auburnline_quota::book::Notice;
use metrics::counter;

use crate::dialect::Limit;
use crate::exchange::Exchange;
use crate::flight::Flight;
use crate::shared::Shared;

impl Exchange {
    /// Takes what an answer says of its upstream's rate limit.
    pub(crate) fn take_limit(&self, reply: &Reply, flight: &Flight) {
        let rate = match self.shared.dialect.limit(&reply.headers) {
            Limit::Nothing => None,
            Limit::Rate(rate) => Some(rate),
            Limit::Malformed => {
                let upstream = &**flight.upstream();
                log::warn!(target: "limits", request = self.id(), upstream; "malformed");
                counter!("auburnline_limits_malformed_total").increment(1);
                return;
            }
        };
        let now = self.shared.now();
        let mut gateway = self.shared.gateway();
        let news = gateway.take_limit(flight.target(), rate, flight.began(), now);
        drop(gateway);
        if let Some(news) = news {
            tell(&news, self.id());
        }
    }
}

/// Takes what another gateway tells of limits.
pub(crate) fn hear(shared: &Shared, notices: &[Notice], from: SocketAddr) {
    let now = shared.now();
    let heard = shared.gateway().hear_limits(notices, from, now);
    for news in heard {
        tell(&news, "");
    }
}

/// Says in the log that a limit was named, changed or ended, and by which request it became known, if by one.
fn tell(news: &News, request: &str) {
    let outcome = if news.rate.is_some() {
        "named"
    } else {
        "ended"
    };
    let rate: Option<Rate> = news.rate;
    log::info!(
        target: "limits",
        upstream = &*news.upstream.id,
        service = &*news.upstream.service,
        rate:?,
        teller:? = news.teller,
        request;
        "{outcome}"
    );
    counter!("auburnline_limits_total", "outcome" => outcome).increment(1);
}
