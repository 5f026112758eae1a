//! Tells other gateways the demand here.

use auburnline_core::time::Monotonic;
use auburnline_gateway::message::Datagram;

use crate::shared::Shared;

/// Returns the message that tells the demand with a heartbeat, if a feature needs it, and exports the
/// metrics of shares.
pub(crate) fn tell(shared: &Shared, now: Monotonic) -> Option<Datagram> {
    let mut gateway = shared.gateway();
    let reports = gateway.tell_demand(now);
    if reports.is_empty() {
        return None;
    }
    let tally = gateway.share_tally();
    metrics::gauge!("auburnline_shares_granted_requests").set(tally.granted);
    metrics::counter!("auburnline_shares_by_demand_total").absolute(tally.followed);
    metrics::counter!("auburnline_shares_void_total").absolute(tally.void);
    let services = gateway.table().cloned();
    for service in services.iter().flat_map(|table| table.services()) {
        if let Some(demand) = gateway.grounds(&service.name, now) {
            let name = service.name.to_string();
            metrics::gauge!("auburnline_demand_own", "service" => name.clone()).set(demand.own);
            metrics::gauge!("auburnline_demand_mean", "service" => name).set(demand.mean);
        }
    }
    Some(Datagram::Demand(reports))
}
