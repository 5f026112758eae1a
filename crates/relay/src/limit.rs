//! Rate limits that upstreams name, as they come in, go on to other gateways, and hold requests back.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use auburnline_gateway::limit::Consent;
use auburnline_gateway::limit::News;
use auburnline_gateway::message::Datagram;
use auburnline_gateway::neighbour::MAX_COUNTS;
use auburnline_gateway::upstream::Upstream;
use auburnline_http::Reply;
use auburnline_quota::book::Notice;
use auburnline_quota::home;
use auburnline_quota::home::Ask;
use auburnline_quota::home::Permit;
use auburnline_quota::loan::Loan;
use metrics::counter;
use metrics::histogram;
use tokio::time::timeout;

use crate::dialect::Limit;
use crate::exchange::Exchange;
use crate::flight::Flight;
use crate::shared::Shared;

/// Longest wait for the reply of a limit's home: some round trips within a region.
const REPLY: Duration = Duration::from_millis(100);

impl Exchange {
    /// Takes what an answer says of its upstream's rate limit. A refusal or failure without one doesn't say that it ended.
    pub(crate) fn take_limit(&self, reply: &Reply, flight: &Flight) {
        let rate = match self.shared.dialect.limit(&reply.headers) {
            Limit::Nothing if !reply.status.is_success() => return,
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
            log_news(&news, self.id());
        }
    }

    /// Returns whether the limit of an upstream, if it named one, lets the request be sent there now.
    pub(crate) async fn is_within_limit(&self, upstream: &Arc<Upstream>) -> bool {
        let now = self.shared.now();
        let consent = self.shared.gateway().consent(upstream, now);
        let (consent, home) = match consent {
            Consent::Ask { home, ask } => {
                let permit = ask_home(&self.shared, home, ask).await;
                let now = self.shared.now();
                let consent = self.shared.gateway().take_reply(ask, permit, now);
                let outcome = match permit {
                    Some(Permit::Granted) => "granted",
                    Some(Permit::Denied { .. }) => "denied",
                    None => "silent",
                };
                counter!("auburnline_limit_asks_total", "outcome" => outcome).increment(1);
                (consent, Some(home))
            }
            consent => (consent, None),
        };
        if consent == Consent::Granted {
            return true;
        }
        self.log_denial(upstream, home);
        false
    }

    /// Says in the log that the limit of an upstream kept the request away, and which home said so; none if this gateway did.
    fn log_denial(&self, upstream: &Upstream, home: Option<SocketAddr>) {
        let now = self.shared.now();
        let limit = self.shared.gateway().limit(upstream, now);
        log::info!(
            target: "limits",
            request = self.id(),
            upstream = &*upstream.id,
            limit:?,
            home:?;
            "denied"
        );
    }
}

/// Asks a limit's home whether a request may be sent; none if it does not reply.
async fn ask_home(shared: &Shared, home: SocketAddr, ask: Ask) -> Option<Permit> {
    let asked = shared.now();
    let reply = shared.await_permit(ask.number);
    shared.tell(&Datagram::LimitAsk(ask), home);
    let permit = timeout(REPLY, reply).await.ok()?.ok();
    let took = shared.now().saturating_sub(asked);
    histogram!("auburnline_limit_ask_seconds").record(took);
    permit
}

/// Replies to another gateway that asks whether it may send a request.
pub(crate) fn answer(shared: &Shared, ask: Ask, from: SocketAddr) {
    let now = shared.now();
    let reply = shared.gateway().reply(ask, now);
    let outcome = match reply.permit {
        Permit::Granted => "granted",
        Permit::Denied { .. } => "denied",
    };
    counter!("auburnline_limit_permits_total", "outcome" => outcome).increment(1);
    shared.tell(&Datagram::LimitReply(reply), from);
}

/// Takes the reply of a limit's home.
pub(crate) fn take_reply(shared: &Shared, reply: home::Reply) {
    shared.permit(reply.number, reply.permit);
}

/// Takes what another gateway tells of limits.
pub(crate) fn hear(shared: &Shared, notices: &[Notice], from: SocketAddr) {
    let now = shared.now();
    let heard = shared.gateway().hear_limits(notices, from, now);
    for news in &heard {
        log_news(news, "");
    }
}

/// Takes the shares that another gateway lends, and answers with the last beat, on which it lends anew.
pub(crate) fn hear_loan(shared: &Shared, loan: &Loan, from: SocketAddr) {
    let now = shared.now();
    let mut gateway = shared.gateway();
    let heard = gateway.hear_loan(loan, from, now);
    let counts = gateway.pool.counts(MAX_COUNTS);
    let word = gateway.roster.word(counts, now);
    drop(gateway);
    shared.tell(&Datagram::Beat(word), from);
    for news in &heard {
        log_news(news, "");
    }
}

/// Sends this gateway's shares to the homes of the limits.
pub(crate) fn lend(shared: &Shared) {
    let now = shared.now();
    let mut gateway = shared.gateway();
    let loans = gateway.loans(now);
    let moved = gateway.take_moved(now);
    drop(gateway);
    for limited in moved {
        let (upstream, rate) = (&*limited.upstream.id, limited.limit.rate);
        log::info!(target: "limits", upstream, rate, home:? = limited.home; "home");
    }
    for (home, loan) in loans {
        shared.tell(&Datagram::Loan(loan), home);
    }
}

/// Says in the log that a limit was named, changed or ended, and by which request it became known, if by one.
fn log_news(news: &News, request: &str) {
    let outcome = if news.rate.is_some() {
        "named"
    } else {
        "ended"
    };
    log::info!(
        target: "limits",
        upstream = &*news.upstream.id,
        service = &*news.upstream.service,
        rate:? = news.rate,
        teller:? = news.teller,
        request;
        "{outcome}"
    );
    counter!("auburnline_limits_total", "outcome" => outcome).increment(1);
}
