//! Shapes that operators publish in the configuration service.
//!
//! A [`Manifest`] names the revision, the preset in force and the digest of each section. A section
//! stands under a key that contains its digest ([`Section::key`]), so that a section once read
//! never changes. Checking and acceptance are in `auburnline-configuration`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::hash::Digest;
use crate::id::FailureDomainId;
use crate::id::GroupId;
use crate::id::InstanceId;
use crate::id::ModelId;
use crate::id::PoolId;
use crate::id::PresetId;
use crate::id::RegionId;
use crate::id::Revision;
use crate::id::WorkspaceId;

/// Key of the manifest in the configuration service.
pub const MANIFEST_KEY: &str = "manifest";
/// Largest value that the configuration service holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Head of a published configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Number of this configuration.
    pub revision: Revision,
    /// Preset in force.
    pub preset: PresetId,
    /// Sections of this configuration; exactly one of each kind.
    pub sections: BTreeMap<Section, Digest>,
}

/// Kind of a section.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Section {
    /// Instances and pools, a [`Fleet`].
    Fleet,
    /// Workspaces and limits, a [`Workspaces`].
    Workspaces,
    /// Plain services' calls, a [`Services`].
    Services,
    /// All presets, a [`Presets`].
    Presets,
}

impl Section {
    /// All sections.
    pub const ALL: [Section; 4] = [
        Section::Fleet,
        Section::Workspaces,
        Section::Services,
        Section::Presets,
    ];

    /// Returns the name used in keys.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Section::Fleet => "fleet",
            Section::Workspaces => "workspaces",
            Section::Services => "services",
            Section::Presets => "presets",
        }
    }

    /// Returns the key of this section's bytes with `digest` in the configuration service.
    #[must_use]
    pub fn key(self, digest: &str) -> String {
        format!("section/{}/{digest}", self.name())
    }
}

/// Instances, failure domains and pools.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Failure domains with their region.
    pub failure_domains: BTreeMap<FailureDomainId, RegionId>,
    /// Entry instances.
    pub entries: BTreeMap<InstanceId, Entry>,
    /// Upstream instances, each with its slot.
    pub upstreams: BTreeMap<InstanceId, Upstream>,
    /// Pools of units that serve the same work.
    pub pools: BTreeMap<PoolId, Pool>,
}

/// An entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Address towards callers.
    pub caller: SocketAddr,
    /// Address towards other processes of the system.
    pub peer: SocketAddr,
}

/// An upstream instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Address of its slot towards other processes of the system.
    pub peer: SocketAddr,
    /// Whether it refuses orders with an older fencing number.
    pub checks_fence: bool,
}

/// A pool of units of routing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// What the pool serves.
    pub serves: Serves,
    /// Units of routing.
    pub groups: BTreeMap<GroupId, Group>,
    /// Fewest groups that keep serving while others change or drain.
    pub minimum: usize,
}

/// What a pool serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Serves {
    /// Drafts by models; the preset says which group holds which.
    Drafts,
    /// Calls of a plain service.
    Calls,
}

/// A unit of routing: ranks in lock-step, or one plain-service instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Instances in the order of their ranks; the first admits and coordinates.
    pub instances: Vec<InstanceId>,
    /// Ranks on each instance.
    pub ranks_per_instance: u16,
}

/// Limits of workspaces.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspaces {
    /// All workspaces that may send.
    pub workspaces: BTreeMap<WorkspaceId, Workspace>,
}

/// Limits of one workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Tokens a second, prompt and generated.
    pub tokens_per_second: u64,
    /// Tokens that may be used at once after a pause.
    pub burst_tokens: u64,
    /// Share among waiting workspaces, from 1.
    pub weight: u32,
}

/// Calls of plain services.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Services {
    /// Calls by pool.
    pub services: BTreeMap<PoolId, Vec<Call>>,
}

/// One call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// HTTP method, upper case.
    pub method: String,
    /// Prefix of the path.
    pub path: String,
    /// Whether it may be repeated.
    pub idempotent: bool,
}

/// All presets by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Presets {
    /// Presets, of which the manifest names one.
    pub presets: BTreeMap<PresetId, Preset>,
}

/// What holds while a preset is in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Preset {
    /// What each group holds; a group that is not named takes no drafts.
    pub placements: BTreeMap<GroupId, Placement>,
    /// Instances that drain and take no new work.
    #[serde(default)]
    pub drain: Vec<InstanceId>,
    /// Time that work in flight gets to end in a planned stop.
    pub drain_deadline_ms: u64,
    /// Multiplies every workspace's rate.
    #[serde(default = "one")]
    pub limit_factor: f64,
    /// Cost of skew against moves for rebalancing.
    pub rebalance: Rebalance,
    /// Groups of a pool that may change at once.
    #[serde(default = "one_group")]
    pub changing_groups: usize,
}

impl Preset {
    /// Returns the time that work in flight gets to end.
    #[must_use]
    pub const fn drain_deadline(&self) -> Duration {
        Duration::from_millis(self.drain_deadline_ms)
    }
}

/// What one group holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// Model.
    pub model: ModelId,
    /// Version of the model's weights.
    pub version: String,
    /// Adapters beside it.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// Weights of the two costs of an expert map.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rebalance {
    /// Cost of a second of group time lost to skew.
    pub skew_weight: f64,
    /// Cost of a gibibyte of weights moved.
    pub move_weight: f64,
    /// Cost of a step disrupted by a change of map.
    pub disruption_weight: f64,
}

const fn one() -> f64 {
    1.0
}

const fn one_group() -> usize {
    1
}
