//! Aliases for the ids that travel between processes.
//!
//! Names are published strings and cheap to clone. Numbers that only grow (`Revision`, `Fence`,
//! `Generation`) are compared; numbers that are drawn at random (`Incarnation`) are only tested
//! for equality.

use std::sync::Arc;

/// Name of an instance, unique over all roles.
pub type InstanceId = Arc<str>;
/// Name of a failure domain.
pub type FailureDomainId = Arc<str>;
/// Name of a region, a set of failure domains.
pub type RegionId = Arc<str>;
/// Name of a workspace.
pub type WorkspaceId = Arc<str>;
/// Name of a model.
pub type ModelId = Arc<str>;
/// Name of a pool of upstreams that serve the same work.
pub type PoolId = Arc<str>;
/// Name of a unit of routing: a group of ranks, or one plain-service instance.
pub type GroupId = Arc<str>;
/// Name of a preset.
pub type PresetId = Arc<str>;
/// Idempotency key of a request, chosen by the caller or minted by an entry.
pub type RequestId = Arc<str>;

/// Number of an attempt of one request, from 1.
pub type Attempt = u32;
/// Random number that a process draws when it starts.
pub type Incarnation = u64;
/// Number of an accepted configuration; the highest wins.
pub type Revision = u64;
/// Fencing number of an order; an upstream that checks refuses an older one.
pub type Fence = u64;
/// Generation of an expert map.
pub type Generation = u64;
/// Number of a lock-step step of a group.
pub type Step = u64;
/// Index of a rank in its group.
pub type Rank = u16;
/// Index of an expert in its layer.
pub type Expert = u16;
/// Position in an answer, in bytes from its start.
pub type Offset = u64;
