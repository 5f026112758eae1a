//! Lookups in a checked configuration.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use auburnline_core::id::FailureDomainId;
use auburnline_core::id::GroupId;
use auburnline_core::id::InstanceId;
use auburnline_core::id::ModelId;
use auburnline_core::id::PoolId;
use auburnline_core::id::RegionId;
use auburnline_core::published::Call;
use auburnline_core::published::Entry;
use auburnline_core::published::Group;
use auburnline_core::published::Placement;
use auburnline_core::published::Pool;

use crate::checked::Checked;

/// Role of an instance, given by the section of the fleet that lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// Accepts calls from callers.
    Entry,
    /// Runs the work that its slot admits.
    Upstream,
}

/// The slot that admits work for a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slot<'a> {
    /// Upstream instance of the slot, the first of the group.
    pub instance: &'a InstanceId,
    /// Address for other processes of the system.
    pub address: SocketAddr,
    /// Failure domain of the instance.
    pub failure_domain: &'a FailureDomainId,
}

/// Limits of a workspace under the preset in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Tokens per second, with the preset's `limit_factor` applied.
    pub tokens_per_second: f64,
    /// Tokens that may be used at once after an idle period; the preset's factor doesn't apply.
    pub burst_tokens: f64,
    /// Relative share among waiting workspaces.
    pub weight: u32,
}

impl Checked {
    /// Returns the pool of this name.
    #[must_use]
    pub fn pool(&self, pool: &str) -> Option<&Pool> {
        self.fleet.pools.get(pool)
    }

    /// Returns the pool that serves `model` under the preset in force.
    #[must_use]
    pub fn pool_of_model(&self, model: &str) -> Option<&PoolId> {
        self.index.pool_of_model.get(model)
    }

    /// Returns the pools in which any published preset places `model`.
    #[must_use]
    pub fn pools_of_model(&self, model: &str) -> BTreeSet<&PoolId> {
        let presets = self.presets().presets.values();
        let placements = presets.flat_map(|preset| &preset.placements);
        placements
            .filter(|(_, placement)| &*placement.model == model)
            .filter_map(|(group, _)| self.pool_of_group(group))
            .collect()
    }

    /// Returns the models that the preset in force places.
    pub fn models(&self) -> impl Iterator<Item = &ModelId> {
        self.index.pool_of_model.keys()
    }

    /// Returns the groups of a pool, or no groups if there is no such pool.
    pub fn groups(&self, pool: &str) -> impl Iterator<Item = (&GroupId, &Group)> {
        self.pool(pool).into_iter().flat_map(|pool| &pool.groups)
    }

    /// Returns the groups in which the preset in force places `model`.
    pub fn groups_of_model<'a>(
        &'a self,
        model: &'a str,
    ) -> impl Iterator<Item = (&'a GroupId, &'a Group)> {
        let pool = self.pool_of_model(model).map_or("", |pool| pool);
        self.groups(pool).filter(move |(group, _)| {
            self.placement(group)
                .is_some_and(|placement| &*placement.model == model)
        })
    }

    /// Returns the group of this name, in whichever pool it is.
    #[must_use]
    pub fn group(&self, group: &str) -> Option<&Group> {
        let pool = self.index.pool_of_group.get(group)?;
        self.fleet.pools[pool].groups.get(group)
    }

    /// Returns the pool of a group.
    #[must_use]
    pub fn pool_of_group(&self, group: &str) -> Option<&PoolId> {
        self.index.pool_of_group.get(group)
    }

    /// Returns the group of an upstream instance.
    #[must_use]
    pub fn group_of_instance(&self, instance: &str) -> Option<&GroupId> {
        self.index.group_of_instance.get(instance)
    }

    /// Returns the model, version and adapters that the preset in force places in a group.
    #[must_use]
    pub fn placement(&self, group: &str) -> Option<&Placement> {
        self.preset().placements.get(group)
    }

    /// Returns the slot that admits work for a group, that of its first instance.
    #[must_use]
    pub fn admitting(&self, group: &str) -> Option<Slot<'_>> {
        let instance = self.group(group)?.instances.first()?;
        let upstream = self.fleet.upstreams.get(instance)?;
        Some(Slot {
            instance,
            address: upstream.peer,
            failure_domain: &upstream.failure_domain,
        })
    }

    /// Returns the published call of a plain service whose path is the longest prefix of `path`.
    ///
    /// A prefix ends at a `/`, at a `?` or at the end of the path. A path with dot segments, empty
    /// segments, backslashes or percent-encoding, which an upstream may resolve to another path,
    /// matches no call.
    #[must_use]
    pub fn call(&self, pool: &str, method: &str, path: &str) -> Option<&Call> {
        if is_ambiguous(path) {
            return None;
        }
        let calls = self.services.services.get(pool)?;
        calls
            .iter()
            .filter(|call| call.method == method && is_prefix(&call.path, path))
            .max_by_key(|call| call.path.len())
    }

    /// Returns whether a service call may be repeated; a call that isn't published may not.
    #[must_use]
    pub fn is_idempotent(&self, pool: &str, method: &str, path: &str) -> bool {
        self.call(pool, method, path)
            .is_some_and(|call| call.idempotent)
    }

    /// Returns the limits of a workspace under the preset in force.
    #[must_use]
    pub fn limits(&self, workspace: &str) -> Option<Limits> {
        let workspace = self.workspaces.workspaces.get(workspace)?;
        let factor = self.preset().limit_factor;
        Some(Limits {
            tokens_per_second: exact(workspace.tokens_per_second) * factor,
            burst_tokens: exact(workspace.burst_tokens),
            weight: workspace.weight,
        })
    }

    /// Returns the entries of a failure domain.
    pub fn entries_in(&self, domain: &str) -> impl Iterator<Item = (&InstanceId, &Entry)> {
        let names = self.index.entries_of_domain.get(domain);
        names
            .into_iter()
            .flatten()
            .filter_map(|name| self.fleet.entries.get_key_value(name))
    }

    /// Returns whether an instance drains under the preset in force.
    #[must_use]
    pub fn drains(&self, instance: &str) -> bool {
        self.index.drains.contains(instance)
    }

    /// Returns whether any instance of a group drains: ranks run in lockstep, so they drain
    /// together.
    #[must_use]
    pub fn group_drains(&self, group: &str) -> bool {
        self.group(group)
            .is_some_and(|group| group.instances.iter().any(|name| self.drains(name)))
    }

    /// Returns the role of an instance, `None` if it isn't published.
    #[must_use]
    pub fn role(&self, instance: &str) -> Option<Role> {
        if self.fleet.entries.contains_key(instance) {
            return Some(Role::Entry);
        }
        self.fleet
            .upstreams
            .contains_key(instance)
            .then_some(Role::Upstream)
    }

    /// Returns an instance's address for other processes of the system.
    #[must_use]
    pub fn peer_address(&self, instance: &str) -> Option<SocketAddr> {
        let entry = self.fleet.entries.get(instance).map(|entry| entry.peer);
        entry.or_else(|| self.fleet.upstreams.get(instance).map(|slot| slot.peer))
    }

    /// Returns the failure domain of an instance.
    #[must_use]
    pub fn failure_domain(&self, instance: &str) -> Option<&FailureDomainId> {
        let entry = self.fleet.entries.get(instance);
        let upstream = self.fleet.upstreams.get(instance);
        entry
            .map(|entry| &entry.failure_domain)
            .or_else(|| upstream.map(|upstream| &upstream.failure_domain))
    }

    /// Returns the region of a failure domain.
    #[must_use]
    pub fn region(&self, domain: &str) -> Option<&RegionId> {
        self.fleet.failure_domains.get(domain)
    }

    /// Returns all instances: entries first, then upstream instances, each by name.
    pub fn instances(&self) -> impl Iterator<Item = &InstanceId> {
        self.fleet.entries.keys().chain(self.fleet.upstreams.keys())
    }
}

/// Converts a checked number of tokens without loss; the check ensures that it fits 32 bits.
fn exact(tokens: u64) -> f64 {
    f64::from(u32::try_from(tokens).unwrap_or(u32::MAX))
}

fn is_prefix(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/') || rest.starts_with('?')
}

fn is_ambiguous(path: &str) -> bool {
    let path = path.split('?').next().unwrap_or_default();
    path.contains('%')
        || path.contains("//")
        || path.contains('\\')
        || path.split('/').any(|part| part == "." || part == "..")
}
