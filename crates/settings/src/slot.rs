//! Settings of a slot.

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

/// Kind of the upstream that a slot serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// Settings of a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slot {
    /// Name of the upstream instance that this slot serves, as published in the fleet.
    pub instance: InstanceId,
    /// Failure domain of the upstream instance, as published in the fleet.
    pub failure_domain: FailureDomainId,
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
    /// Address of the upstream, to connect to.
    pub upstream: SocketAddr,
    /// Kind of the upstream; selects how the slot talks to it.
    pub upstream_kind: Kind,
    /// Loopback address that a slot keeps bound while it runs, so that a second slot can't send to
    /// the same upstream.
    pub lock: SocketAddr,
    /// Intervals and timeouts.
    #[serde(default)]
    pub timing: Timing,
    /// Limits on connections, sizes and requests.
    #[serde(default)]
    pub limits: Limits,
}

impl Settings for Slot {
    fn check(&self) -> Result<(), Error> {
        let mut faults = Vec::new();
        check::name("instance", &self.instance, &mut faults);
        check::name("failure_domain", &self.failure_domain, &mut faults);
        check::token("operator_token", &self.operator_token, &mut faults);
        check::target("platform", self.platform, &mut faults);
        check::target("upstream", self.upstream, &mut faults);
        check::seeds(&self.seeds, &mut faults);
        check_lock(self.lock, &mut faults);
        let addresses = [
            ("peer", self.peer),
            ("operator", self.operator),
            ("platform", self.platform),
            ("upstream", self.upstream),
            ("lock", self.lock),
        ];
        check::overlaps(&addresses, &mut faults);
        self.timing.check(&mut faults);
        self.limits.check(&mut faults);
        into_result(faults)
    }
}

/// Refuses a lock address that two slots of one host could bind at the same time.
fn check_lock(lock: SocketAddr, faults: &mut Vec<Fault>) {
    if !lock.ip().is_loopback() {
        faults.push(Fault::new("lock", Reason::NotLocal));
    }
    if lock.port() == 0 {
        faults.push(Fault::new("lock", Reason::NoPort));
    }
}

impl Slot {
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
        let Some(upstream) = fleet.upstreams.get(&self.instance) else {
            faults.push(Fault::new("instance", Reason::UnknownInstance));
            return into_result(faults);
        };
        if upstream.failure_domain != self.failure_domain {
            let reason = Reason::Differs(upstream.failure_domain.to_string());
            faults.push(Fault::new("failure_domain", reason));
        }
        check::published("peer", self.peer, upstream.peer, &mut faults);
        into_result(faults)
    }
}
