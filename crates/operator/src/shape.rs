//! Shapes of the answers, read by `auburnctl` as well.
//!
//! Times are durations in milliseconds, as ages or times left; no clock is compared between
//! processes. Numbers that may pass 2^53 are text.

use std::collections::BTreeMap;

use auburnline_duty::decisions::Line;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Role of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Takes callers' requests.
    #[default]
    Entry,
    /// Stands beside an upstream.
    Slot,
}

/// Whether the process answers at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Health {
    /// Always true in an answer; otherwise the call fails.
    pub healthy: bool,
}

/// Whether the process takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Readiness {
    /// Always true in an answer; otherwise the call fails.
    pub ready: bool,
}

/// A process at a glance.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct Status {
    /// Name of the instance.
    pub instance: String,
    /// Role of the process.
    pub role: Role,
    /// Failure domain of the instance.
    pub failure_domain: String,
    /// Version of the program.
    pub version: String,
    /// Number drawn at start, in hexadecimal.
    pub incarnation: String,
    /// Time since start.
    pub uptime_ms: u64,
    /// Revision in force, if any.
    pub revision: Option<u64>,
    /// Digest of the manifest in force.
    pub digest: Option<String>,
    /// Preset in force.
    pub preset: Option<String>,
    /// Whether new work is taken.
    pub ready: bool,
    /// Whether the instance is leaving.
    pub leaving: bool,
    /// Why new work is not taken, if it isn't.
    pub reason: Option<String>,
    /// Sessions with other processes that are up.
    pub sessions: u64,
    /// Requests in flight.
    pub in_flight: u64,
    /// Groups that the process routes to or serves.
    pub groups: Vec<Group>,
    /// Limits of workspaces that the process grants from.
    pub limits: Vec<Limit>,
    /// Broken invariants; none is the only good answer.
    pub violations: Vec<Violation>,
    /// Age of what is told here; it grows while the deciding duty is stuck.
    pub age_ms: u64,
}

/// A group as one process sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct Group {
    /// Name of the group.
    pub group: String,
    /// Pool of the group.
    pub pool: String,
    /// Whether it is admitting, as far as this process knows.
    pub admitting: bool,
    /// Model that it holds.
    pub model: Option<String>,
    /// Generation of its expert map.
    pub generation: Option<u64>,
    /// Largest over mean step time of its ranks.
    pub skew: Option<f64>,
    /// Requests that wait.
    pub queued: u64,
    /// Requests in the running batch.
    pub running: u64,
    /// Age of the report that this was read from.
    pub age_ms: u64,
}

/// Limit of one workspace as one process grants it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct Limit {
    /// Name of the workspace.
    pub workspace: String,
    /// Rate that this process may grant now.
    pub tokens_per_second: f64,
    /// Tokens granted since start.
    pub granted: u64,
    /// Requests refused since start.
    pub refused: u64,
}

/// A broken invariant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Violation {
    /// Name of the invariant.
    pub invariant: String,
    /// How often it was found broken.
    pub count: u64,
}

/// Decisions that a filter took, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Decisions {
    /// Name of the instance.
    pub instance: String,
    /// The decisions.
    pub decisions: Vec<Decision>,
}

/// One decision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Decision {
    /// Number of the decision in this process.
    pub number: u64,
    /// How long ago it was taken.
    pub age_ms: u64,
    /// What was decided, such as `route`.
    pub decision: String,
    /// Choice, reason, runners-up and inputs' ages, in the order of the log line.
    pub fields: Vec<Field>,
}

/// A key with its value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Field {
    /// Key.
    pub key: String,
    /// Value.
    pub value: String,
}

/// Configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct Configuration {
    /// Name of the instance.
    pub instance: String,
    /// Revision in force, if any.
    pub revision: Option<u64>,
    /// Digest of the manifest in force.
    pub digest: Option<String>,
    /// Preset in force.
    pub preset: Option<String>,
    /// Digest of each section in force.
    pub sections: BTreeMap<String, String>,
    /// How long it has been in force.
    pub in_force_ms: Option<u64>,
    /// Configurations refused since start.
    pub refused: u64,
    /// Why the last one was refused.
    pub last_refusal: Option<String>,
}

/// Progress of a planned stop.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct Drain {
    /// Name of the instance.
    pub instance: String,
    /// Whether the instance is leaving.
    pub leaving: bool,
    /// Why: `operator`, `signal`, `preset` or `list`.
    pub cause: Option<String>,
    /// How long it has been leaving.
    pub elapsed_ms: Option<u64>,
    /// Time left for work in flight.
    pub deadline_ms: Option<u64>,
    /// Requests in flight.
    pub in_flight: u64,
    /// Time since the last new work was taken.
    pub last_new_work_ms: Option<u64>,
    /// Requests cut because the deadline passed.
    pub cut: u64,
    /// Whether it left with nothing in flight.
    pub done: bool,
}

impl From<Line> for Decision {
    fn from(line: Line) -> Decision {
        let fields = line.fields.into_iter();
        Decision {
            number: line.number,
            age_ms: u64::try_from(line.age.as_millis()).unwrap_or(u64::MAX),
            decision: line.message,
            fields: fields.map(|(key, value)| Field { key, value }).collect(),
        }
    }
}
