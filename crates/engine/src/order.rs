//! Orders to an engine, and what it answers.
//!
//! Every order carries a fencing number. An engine that checks it refuses an order with a number
//! below the highest it has seen; others ignore it. What a rank is told and tells in a change of the
//! expert map has the shapes of `auburnline-experts`, whose rank the stand-in runs.

use std::sync::Arc;

use auburnline_core::expert::Map;
use auburnline_core::id::Fence;
use auburnline_core::id::Generation;
use auburnline_core::id::ModelId;
use auburnline_core::id::Rank;
use auburnline_core::id::Step;
use auburnline_experts::order::Command;
use auburnline_experts::order::Refusal;
use auburnline_experts::order::Status;
use serde::Deserialize;
use serde::Serialize;

/// What an engine does in its group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefills and generates.
    #[default]
    Mixed,
    /// Prefills only.
    Prefill,
    /// Generates only.
    Decode,
}

/// An order with its fencing number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number.
    pub fence: Fence,
    /// What to do.
    pub action: Action,
}

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Load a version of a model beside what is loaded; another version of it stays until unloaded.
    LoadModel {
        /// Model.
        model: ModelId,
        /// Version of its weights.
        version: String,
    },
    /// Drop a version of a model.
    UnloadModel {
        /// Model.
        model: ModelId,
        /// Version of its weights.
        version: String,
    },
    /// Load an adapter beside a model.
    LoadAdapter {
        /// Model.
        model: ModelId,
        /// Adapter.
        adapter: String,
    },
    /// Drop an adapter.
    UnloadAdapter {
        /// Model.
        model: ModelId,
        /// Adapter.
        adapter: String,
    },
    /// Change the role.
    ChangeRole {
        /// New role.
        role: Role,
    },
    /// Tell one rank how to take part in a change of the expert map.
    Rank {
        /// Rank.
        rank: Rank,
        /// What it is told.
        command: Command,
    },
}

/// What an engine answers to an order that it took.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Taken; it may still be under way.
    Accepted,
    /// What the rank made of its command.
    Rank(RankReport),
}

/// What a rank made of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankReport {
    /// Rank.
    pub rank: Rank,
    /// State after the command.
    pub status: Status,
    /// Why the command had no effect, an older fencing number among the reasons.
    pub refusal: Option<Refusal>,
    /// Maps that the rank holds, the one in use first; in answer to [`Command::Read`] only.
    pub maps: Vec<Arc<Map>>,
}

/// Request of the first instance of a group that the ranks of another enter a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Enter {
    /// Step.
    pub step: Step,
}

/// Answer to an [`Enter`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entered {
    /// Whether a rank holds; the step must not run.
    pub hold: bool,
    /// Generation and time in microseconds of each rank that entered.
    pub ranks: Vec<(Rank, Generation, u64)>,
}
