//! Gauges of what a gateway knows.

use crate::shared::Shared;

impl Shared {
    /// Exports the known revisions of the store as metrics.
    pub(crate) fn export_revisions(&self) {
        let gateway = self.gateway();
        let known = gateway.spread.revision().unwrap_or_default();
        let (heard, read) = gateway.spread.configuration_revisions();
        drop(gateway);
        for (of, revision) in [
            ("store", known),
            ("configuration_heard", heard),
            ("configuration_read", read),
        ] {
            metrics::gauge!("auburnline_revision", "of" => of).set(real(revision.number));
            metrics::gauge!("auburnline_generation", "of" => of).set(real(revision.generation));
        }
    }

    /// Exports how many requests still run in evacuated failure domains.
    pub(crate) fn export_evacuations(&self) {
        let gateway = self.gateway();
        for (domain, in_flight) in gateway.pool.in_flight_by_evacuated() {
            record_evacuated_in_flight(domain, in_flight);
        }
    }

    /// Exports the number of gateways that share the retry budget, 0 while it is unknown, and logs a change.
    pub(crate) fn export_budget(&self) {
        let gateway = self.gateway();
        let members = gateway.budget_members(self.now());
        let live = gateway.roster.live(self.now());
        drop(gateway);
        if self.budget_members.replace(members) != members {
            log::info!(target: "retries", members:?, live; "share of the retry budget changed");
        }
        let members = u32::try_from(members.unwrap_or(0)).unwrap_or(u32::MAX);
        metrics::gauge!("auburnline_budget_members").set(members);
        let owed = u32::try_from(self.gateway().owed_retries()).unwrap_or(u32::MAX);
        metrics::gauge!("auburnline_retries_owed").set(owed);
    }
}

/// Exports how many requests of this gateway run in a failure domain that is or was evacuated.
pub(crate) fn record_evacuated_in_flight(failure_domain: &str, in_flight: u32) {
    let failure_domain = failure_domain.to_owned();
    metrics::gauge!("auburnline_evacuated_in_flight", "failure_domain" => failure_domain)
        .set(in_flight);
}

#[expect(clippy::cast_precision_loss, reason = "revisions are far below 2^52")]
fn real(number: u64) -> f64 {
    number as f64
}
