//! Settings of an entry.

use std::net::SocketAddr;

use auburnline_core::id::FailureDomainId;
use auburnline_core::id::InstanceId;
use auburnline_core::published::Fleet;
use serde::Deserialize;
use serde::Serialize;

use crate::check;
use crate::error::Error;
use crate::error::Fault;
use crate::error::Reason;
use crate::limits::Limits;
use crate::read::Settings;
use crate::read::into_result;
use crate::timing::Timing;
use crate::token::Token;

/// Settings of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Name of this instance, as published in the fleet.
    pub instance: InstanceId,
    /// Failure domain of this instance, as published in the fleet.
    pub failure_domain: FailureDomainId,
    /// Address to listen on for callers.
    pub caller: SocketAddr,
    /// Address to listen on for other processes of the system.
    pub peer: SocketAddr,
    /// Address to listen on for operators.
    pub operator: SocketAddr,
    /// Token that authenticates operators.
    pub operator_token: Token,
    /// Address of the configuration service and the instance list.
    pub platform: SocketAddr,
    /// Addresses of peers to contact at start.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Intervals and timeouts.
    #[serde(default)]
    pub timing: Timing,
    /// Limits on connections, sizes and requests.
    #[serde(default)]
    pub limits: Limits,
}

impl Settings for Entry {
    fn check(&self) -> Result<(), Error> {
        let mut faults = Vec::new();
        check::name("instance", &self.instance, &mut faults);
        check::name("failure_domain", &self.failure_domain, &mut faults);
        check::token("operator_token", &self.operator_token, &mut faults);
        check::target("platform", self.platform, &mut faults);
        check::seeds(&self.seeds, &mut faults);
        let addresses = [
            ("caller", self.caller),
            ("peer", self.peer),
            ("operator", self.operator),
            ("platform", self.platform),
        ];
        check::overlaps(&addresses, &mut faults);
        self.timing.check(&mut faults);
        self.limits.check(&mut faults);
        into_result(faults)
    }
}

impl Entry {
    /// Checks these settings against the published fleet.
    ///
    /// # Errors
    ///
    /// Returns each field whose value is unknown to the fleet or differs from the published one.
    pub fn check_against(&self, fleet: &Fleet) -> Result<(), Error> {
        let mut faults = Vec::new();
        if !fleet.failure_domains.contains_key(&self.failure_domain) {
            let fault = Fault::new("failure_domain", Reason::UnknownFailureDomain);
            faults.push(fault);
        }
        let Some(entry) = fleet.entries.get(&self.instance) else {
            faults.push(Fault::new("instance", Reason::UnknownInstance));
            return into_result(faults);
        };
        if entry.failure_domain != self.failure_domain {
            let reason = Reason::Differs(entry.failure_domain.to_string());
            faults.push(Fault::new("failure_domain", reason));
        }
        check::published("caller", self.caller, entry.caller, &mut faults);
        check::published("peer", self.peer, entry.peer, &mut faults);
        into_result(faults)
    }
}
