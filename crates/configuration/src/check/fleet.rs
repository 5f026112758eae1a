//! Checks of instances, addresses, pools and groups.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use auburnline_core::published::Fleet;
use auburnline_core::published::Group;
use auburnline_core::published::Pool;

use crate::check::Findings;
use crate::defect::Cause;
use crate::defect::Subject;

/// Paths of values that must be unique in a fleet, by value.
#[derive(Default)]
struct Owners {
    addresses: BTreeMap<SocketAddr, String>,
    groups: BTreeMap<String, String>,
    members: BTreeMap<String, String>,
}

impl Owners {
    fn address(&mut self, path: String, address: SocketAddr, findings: &mut Findings) {
        if address.port() == 0 {
            findings.add(path, Cause::NoPort);
            return;
        }
        if let Some(other) = self.addresses.get(&address) {
            let other = other.clone();
            findings.add(path, Cause::SharedAddress { address, other });
            return;
        }
        self.addresses.insert(address, path);
    }
}

/// Records `path` as the owner of `name`, or adds a defect if `name` already has an owner.
fn claim(owners: &mut BTreeMap<String, String>, name: &str, path: String, findings: &mut Findings) {
    if let Some(other) = owners.get(name) {
        let cause = Cause::Repeated {
            name: name.to_owned(),
            other: other.clone(),
        };
        findings.add(path, cause);
        return;
    }
    owners.insert(name.to_owned(), path);
}

pub(super) fn check(fleet: &Fleet, findings: &mut Findings) {
    let mut owners = Owners::default();
    for (name, region) in &fleet.failure_domains {
        findings.name("failure_domains", name);
        findings.name(&format!("failure_domains.{name}"), region);
    }
    for (name, entry) in &fleet.entries {
        let path = format!("entries.{name}");
        findings.name("entries", name);
        failure_domain(fleet, &path, &entry.failure_domain, findings);
        owners.address(format!("{path}.caller"), entry.caller, findings);
        owners.address(format!("{path}.peer"), entry.peer, findings);
    }
    for (name, upstream) in &fleet.upstreams {
        let path = format!("upstreams.{name}");
        findings.name("upstreams", name);
        failure_domain(fleet, &path, &upstream.failure_domain, findings);
        owners.address(format!("{path}.peer"), upstream.peer, findings);
        if fleet.entries.contains_key(name) {
            let cause = Cause::Repeated {
                name: name.to_string(),
                other: format!("entries.{name}"),
            };
            findings.add(path, cause);
        }
    }
    for (name, pool) in &fleet.pools {
        findings.name("pools", name);
        check_pool(fleet, name, pool, &mut owners, findings);
    }
}

fn failure_domain(fleet: &Fleet, path: &str, name: &str, findings: &mut Findings) {
    if !fleet.failure_domains.contains_key(name) {
        findings.unknown(
            format!("{path}.failure_domain"),
            Subject::FailureDomain,
            name,
        );
    }
}

fn check_pool(
    fleet: &Fleet,
    name: &str,
    pool: &Pool,
    owners: &mut Owners,
    findings: &mut Findings,
) {
    let path = format!("pools.{name}");
    let groups = pool.groups.len();
    if pool.minimum > groups {
        findings.add(
            format!("{path}.minimum"),
            Cause::MinimumAboveGroups { groups },
        );
    }
    for (name, group) in &pool.groups {
        let path = format!("{path}.groups.{name}");
        findings.name(&path, name);
        claim(&mut owners.groups, name, path.clone(), findings);
        check_group(fleet, &path, group, owners, findings);
    }
}

fn check_group(
    fleet: &Fleet,
    path: &str,
    group: &Group,
    owners: &mut Owners,
    findings: &mut Findings,
) {
    if group.instances.is_empty() {
        findings.add(format!("{path}.instances"), Cause::Empty);
    }
    if group.ranks_per_instance == 0 {
        findings.add(format!("{path}.ranks_per_instance"), Cause::NotPositive);
    }
    let ranks = group.instances.len() * usize::from(group.ranks_per_instance);
    if ranks > usize::from(u16::MAX) {
        let limit = u64::from(u16::MAX);
        findings.add(path, Cause::TooBig { limit });
    }
    for (index, instance) in group.instances.iter().enumerate() {
        let path = format!("{path}.instances[{index}]");
        if !fleet.upstreams.contains_key(instance) {
            findings.unknown(&path, Subject::Upstream, instance);
        }
        claim(&mut owners.members, instance, path, findings);
    }
}
