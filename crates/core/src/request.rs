//! Requests as passed to decision logic.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id::Attempt;
use crate::id::ModelId;
use crate::id::PoolId;
use crate::id::RequestId;
use crate::id::WorkspaceId;

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Work {
    /// Text generation by a model.
    Draft {
        /// Model that generates the text.
        model: ModelId,
        /// Text that the model continues.
        prompt: String,
        /// Maximum number of tokens to generate.
        max_tokens: u32,
    },
    /// One call of a plain service.
    Call {
        /// Pool of the service.
        service: PoolId,
        /// HTTP method.
        method: String,
        /// Path and query below the service.
        path: String,
        /// Request body, forwarded unchanged.
        body: Vec<u8>,
    },
}

/// Priority among waiting requests; the highest is served first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Served after all other requests.
    Batch,
    /// Priority of a request that states none.
    #[default]
    Normal,
    /// Interactive use: a person is waiting for the answer.
    Urgent,
}

/// A request that was parsed and validated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Idempotency key.
    pub id: RequestId,
    /// Attempt number given by the caller, from 1; `None` if it gave none.
    pub attempt: Option<Attempt>,
    /// Time since the caller first sent this key; zero on a first attempt.
    pub age: Duration,
    /// Workspace that the request is charged to.
    pub workspace: WorkspaceId,
    /// Priority among waiting requests.
    pub priority: Priority,
    /// Time left until the answer is of no more use to the caller.
    pub deadline: Duration,
    /// Whether the work may be repeated.
    pub idempotent: bool,
    /// Work to be done.
    pub work: Work,
}
