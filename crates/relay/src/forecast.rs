//! Sends and receives what gateways tell each other of the forward passes of groups.

use auburnline_admission::forecast::Record;
use auburnline_core::time::Monotonic;
use auburnline_gateway::message::Datagram;
use metrics::counter;
use metrics::gauge;

use crate::shared::Shared;

/// Returns the message for the others; none if there is nothing to tell.
pub(crate) fn message(shared: &Shared, now: Monotonic) -> Option<Datagram> {
    let records = shared.gateway().forecasts(now);
    let cautious = u32::try_from(shared.gateway().cautious_groups()).unwrap_or(u32::MAX);
    gauge!("auburnline_groups_cautious").set(f64::from(cautious));
    counter!("auburnline_forecasts_told_total").increment(records.len() as u64);
    (!records.is_empty()).then_some(Datagram::Forecasts(records))
}

/// Merges what another gateway told.
pub(crate) fn merge(shared: &Shared, records: &[Record]) {
    let merged = shared.gateway().merge_forecasts(records, shared.now());
    let count = |outcome, records: usize| {
        counter!("auburnline_forecasts_heard_total", "outcome" => outcome)
            .increment(records as u64);
    };
    count("merged", merged.used);
    count("void", merged.void);
}
