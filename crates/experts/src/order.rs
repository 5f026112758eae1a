//! Orders from a coordinator to a member, and the member's reports.
//!
//! An order is accepted by one incarnation of a member only, and at most once: its stamp must be
//! newer than all that this incarnation has accepted. A retry therefore carries a new sequence
//! number, and a delayed or duplicated order has no effect.

use std::collections::BTreeMap;
use std::sync::Arc;

use auburnline_core::expert::Map;
use auburnline_core::id::Fence;
use auburnline_core::id::Generation;
use auburnline_core::id::Incarnation;
use auburnline_core::id::Rank;
use auburnline_core::id::Step;
use serde::Deserialize;
use serde::Serialize;

/// Index of a member's instance in the published group.
pub type MemberIndex = usize;

/// Switch of all ranks to a new map at one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Switch {
    /// Generation of the new map.
    pub generation: Generation,
    /// First step that uses the new map.
    pub step: Step,
}

/// Command to the ranks of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Report the state and the maps held.
    Read,
    /// Load the weights of `map` in addition to those in use.
    Prepare {
        /// Map to load.
        map: Arc<Map>,
        /// Maximum rate at which one rank reads from the weight store, in bytes per second.
        bytes_per_second: u64,
    },
    /// Do not enter the switch step before the release.
    Arm(Switch),
    /// Use the new map from the switch step on.
    Release(Switch),
    /// Drop what is being loaded, prepared or armed for this generation or an older one.
    Abort(Generation),
    /// Load weights and then take part in steps, for a rank without a map; others ignore it.
    Join {
        /// Map to use at first.
        base: Arc<Map>,
        /// Map of a release under way, and the step from which to use it.
        next: Option<(Arc<Map>, Step)>,
        /// Maximum rate at which one rank reads from the weight store, in bytes per second.
        bytes_per_second: u64,
    },
}

impl Command {
    /// Returns the command's name for log lines.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Command::Read => "read",
            Command::Prepare { .. } => "prepare",
            Command::Arm(_) => "arm",
            Command::Release(_) => "release",
            Command::Abort(_) => "abort",
            Command::Join { .. } => "join",
        }
    }
}

/// Position of an order among all orders of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// Fencing number of the coordinator.
    pub fence: Fence,
    /// Incarnation of the coordinator.
    pub sender: Incarnation,
    /// Sequence number of the order under this fencing number, from 1.
    pub sequence: u64,
}

/// An order to all ranks of one member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order {
    /// Member that the order is sent to.
    pub member: MemberIndex,
    /// Incarnation of the member, or `None` while the coordinator does not know it, which is allowed
    /// for [`Command::Read`] only.
    pub incarnation: Option<Incarnation>,
    /// Position among all orders of the group.
    pub stamp: Stamp,
    /// Command to the member's ranks.
    pub command: Command,
}

/// Why an order had no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The order's fencing number is below this one, which is the highest seen, or equals it and another
    /// coordinator was the first to use it.
    StaleFence(Fence),
    /// A newer order of the same coordinator was accepted before.
    StaleSequence,
    /// The order names another incarnation of the member, or none with a command other than a read.
    OtherIncarnation,
    /// The rank has entered the switch step or a later one.
    StepPassed,
    /// The rank's stage does not permit the command: it takes part in no steps yet, has not loaded that
    /// generation, is not armed for that switch, or is in another change that is armed or released.
    NotReady,
    /// The rank has been released, so its change can't be aborted.
    Released,
    /// The rank has another map under this generation, or a newer generation.
    OtherMap,
}

/// Progress of a rank in a change of map.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// No change is under way.
    #[default]
    Steady,
    /// The weights of a generation are being loaded.
    Loading(Generation),
    /// The weights of a generation are loaded.
    Prepared(Generation),
    /// The rank will not enter the switch step before its release.
    Armed(Switch),
    /// The rank will use the new map from the switch step on.
    Released(Switch),
    /// The rank uses the new map; kept until the next change.
    Switched(Switch),
}

/// State of one rank, as reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Status {
    /// Generation in use, or to be used once loaded; `None` for a rank that has no map.
    pub current: Option<Generation>,
    /// Whether the rank takes part in steps, as its first weights are loaded.
    pub joined: bool,
    /// Next step to enter.
    pub step: Step,
    /// Progress in a change of map.
    pub stage: Stage,
}

/// Report of a member on an order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report {
    /// Member that reports.
    pub member: MemberIndex,
    /// Incarnation of the member.
    pub incarnation: Incarnation,
    /// Stamp of the order.
    pub stamp: Stamp,
    /// Why the member or one of its ranks refused the order; `None` if none did.
    pub refusal: Option<Refusal>,
    /// States of the ranks that answered.
    pub ranks: BTreeMap<Rank, Status>,
    /// Maps that the ranks hold; filled for [`Command::Read`] only.
    pub maps: Vec<Arc<Map>>,
}
