//! Format of a history: one JSON object a line.
//!
//! Times are microseconds of one clock that all recorders of a run share. They only order lines of
//! different files; no check depends on how much time has passed.

use auburnline_core::error::Fate;
use auburnline_core::error::Kind;
use auburnline_core::hash::Digest;
use auburnline_core::id::Attempt;
use auburnline_core::id::Generation;
use auburnline_core::id::GroupId;
use auburnline_core::id::Incarnation;
use auburnline_core::id::InstanceId;
use auburnline_core::id::Rank;
use auburnline_core::id::RequestId;
use auburnline_core::id::Revision;
use auburnline_core::id::Step;
use serde::Deserialize;
use serde::Serialize;

/// Number of one call, unique in a run.
pub type CallId = u64;

/// A record with its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Microseconds of the run's clock.
    pub at: u64,
    /// What was seen.
    #[serde(flatten)]
    pub record: Record,
}

/// What one side saw.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum Record {
    /// A caller is about to send.
    Call(Call),
    /// A caller got an answer, or saw its connection end without one.
    Answer(Answer),
    /// A stand-in ran a request.
    Effect(Effect),
    /// A process has a configuration in force.
    Configuration(Configuration),
    /// A rank did a step.
    Step(MapStep),
}

/// A call, recorded before its first byte is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Number of this call.
    pub call: CallId,
    /// Idempotency key.
    pub id: RequestId,
    /// Attempt number, if the caller gave one.
    pub attempt: Option<Attempt>,
    /// Whether the work may be repeated.
    pub idempotent: bool,
}

/// The end of a call as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Call it answers.
    pub call: CallId,
    /// What the system said; `None` if the connection ended without a final answer.
    pub fate: Option<Fate>,
    /// Error kind; `None` on success or without a final answer.
    pub kind: Option<Kind>,
    /// Digest of the answer's bytes on success.
    pub digest: Option<Digest>,
}

/// One run of a request at a stand-in, recorded before it has any effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Effect {
    /// Request that ran.
    pub id: RequestId,
    /// Attempt that ran, if the stand-in was told.
    pub attempt: Option<Attempt>,
    /// Upstream instance that ran it.
    pub upstream: InstanceId,
    /// Digest of the whole answer it gives.
    pub digest: Digest,
}

/// A configuration in force at a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Process.
    pub process: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Revision in force.
    pub revision: Revision,
    /// Digest of the manifest.
    pub digest: Digest,
}

/// One step of one rank.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MapStep {
    /// Group.
    pub group: GroupId,
    /// Rank.
    pub rank: Rank,
    /// Step; a group that starts anew goes on counting or takes another name.
    pub step: Step,
    /// Generation of the map that the rank used.
    pub generation: Generation,
}
