//! Rate limits set by upstreams: learning them from responses, gossip about them, and permits for requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use auburnline_gateway::limit::Consent;
use auburnline_gateway::limit::Update;
use auburnline_gateway::message::Datagram;
use auburnline_gateway::neighbour::MAX_COUNTS;
use auburnline_gateway::upstream::Upstream;
use auburnline_http::Reply;
use auburnline_quota::home;
use auburnline_quota::home::Permit;
use auburnline_quota::loan::Loan;
use auburnline_quota::registry::Notice;
use metrics::counter;
use metrics::histogram;
use tokio::time::timeout;

use crate::dialect::Limit;
use crate::exchange::Exchange;
use crate::flight::Flight;
use crate::shared::Shared;

/// Maximum wait for a reply from a limit's home: several round trips within a region.
const REPLY_TIMEOUT: Duration = Duration::from_millis(100);

impl Exchange {
    /// Records the rate limit carried by a response. Only a successful response without a limit ends the limit.
    pub(crate) fn record_limit(&self, reply: &Reply, flight: &Flight) {
        let rate = match self.shared.dialect.limit(&reply.headers) {
            Limit::Nothing if !reply.status.is_success() => return,
            Limit::Nothing => None,
            Limit::Rate(rate) => Some(rate),
            Limit::Malformed => {
                let upstream = &**flight.upstream();
                log::warn!(target: "limits", request = self.id(), upstream; "malformed rate limit header");
                counter!("auburnline_limits_malformed_total").increment(1);
                return;
            }
        };
        let now = self.shared.now();
        let mut gateway = self.shared.gateway();
        let update = gateway.record_limit(flight.target(), rate, flight.began(), now);
        drop(gateway);
        if let Some(update) = update {
            log_limit_change(&update, self.id());
        }
    }

    /// Returns whether the upstream's rate limit, if any, permits sending the request there now.
    pub(crate) async fn is_within_limit(&self, upstream: &Arc<Upstream>) -> bool {
        let now = self.shared.now();
        let consent = self.shared.gateway().consent(upstream, now);
        let (consent, home) = match consent {
            Consent::Ask { home, request } => {
                let permit = request_permit(&self.shared, home, request).await;
                let now = self.shared.now();
                let consent = self.shared.gateway().apply_reply(request, permit, now);
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

    /// Logs that the upstream's limit denied the request; `home` is the home that decided, or `None` if this gateway did.
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

/// Asks a limit's home for a permit; returns `None` if it does not reply in time.
async fn request_permit(
    shared: &Shared,
    home: SocketAddr,
    request: home::Request,
) -> Option<Permit> {
    let asked = shared.now();
    let reply = shared.register_permit(request.number);
    shared.send(&Datagram::PermitRequest(request), home);
    let permit = timeout(REPLY_TIMEOUT, reply).await.ok()?.ok();
    let took = shared.now().saturating_sub(asked);
    histogram!("auburnline_limit_ask_seconds").record(took);
    permit
}

/// Replies to another gateway's request for a permit.
pub(crate) fn answer(shared: &Shared, request: home::Request, from: SocketAddr) {
    let now = shared.now();
    let reply = shared.gateway().reply(request, now);
    let outcome = match reply.permit {
        Permit::Granted => "granted",
        Permit::Denied { .. } => "denied",
    };
    counter!("auburnline_limit_permits_total", "outcome" => outcome).increment(1);
    shared.send(&Datagram::PermitReply(reply), from);
}

/// Handles the reply of a limit's home.
pub(crate) fn deliver_reply(shared: &Shared, reply: home::Reply) {
    shared.deliver_permit(reply.number, reply.permit);
}

/// Merges limit notices from another gateway.
pub(crate) fn merge_notices(shared: &Shared, notices: &[Notice], from: SocketAddr) {
    let now = shared.now();
    let updates = shared.gateway().receive_limits(notices, from, now);
    for update in &updates {
        log_limit_change(update, "");
    }
}

/// Accepts the shares lent by another gateway, and replies with the latest heartbeat, on the basis of which it lends again.
pub(crate) fn accept_loan(shared: &Shared, loan: &Loan, from: SocketAddr) {
    let now = shared.now();
    let mut gateway = shared.gateway();
    let updates = gateway.receive_loan(loan, from, now);
    let counts = gateway.pool.counts(MAX_COUNTS);
    let heartbeat = gateway.roster.own_heartbeat(counts, now);
    drop(gateway);
    shared.send(&Datagram::Heartbeat(heartbeat), from);
    for update in &updates {
        log_limit_change(update, "");
    }
}

/// Lends this gateway's shares to the homes of their limits, and logs each change of home.
pub(crate) fn lend(shared: &Shared) {
    let now = shared.now();
    let mut gateway = shared.gateway();
    let loans = gateway.loans(now);
    let moved = gateway.take_moved_loans(now);
    drop(gateway);
    for limited in moved {
        let (upstream, rate) = (&*limited.upstream.id, limited.limit.rate);
        log::info!(target: "limits", upstream, rate, home:? = limited.home; "home");
    }
    for (home, loan) in loans {
        shared.send(&Datagram::Loan(loan), home);
    }
}

/// Logs that a limit was set, changed or ended; `request` is the id of the request that revealed it, or empty.
fn log_limit_change(update: &Update, request: &str) {
    let outcome = if update.rate.is_some() {
        "named"
    } else {
        "ended"
    };
    log::info!(
        target: "limits",
        upstream = &*update.upstream.id,
        service = &*update.upstream.service,
        rate:? = update.rate,
        teller:? = update.teller,
        request;
        "{outcome}"
    );
    counter!("auburnline_limits_total", "outcome" => outcome).increment(1);
}
