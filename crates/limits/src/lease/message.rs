//! Messages between an entry and a home. Each covers many workspaces.

use std::time::Duration;

use auburnline_core::id::Incarnation;
use auburnline_core::id::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;

/// Request of an entry for tokens, with tokens that it returns. Lists only workspaces that are active at the entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Incarnation of the requesting process.
    pub incarnation: Incarnation,
    /// Sequence number, increasing with each ask of this process. The home ignores an ask whose number is not
    /// higher than the last.
    pub number: u64,
    /// What is requested and returned, one item for each workspace.
    pub wants: Vec<Want>,
}

/// Tokens that an entry requests and returns for one workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// Workspace whose limit the tokens count against.
    pub workspace: WorkspaceId,
    /// Smallest grant that is of use, in tokens; zero if tokens are only returned.
    pub need: u64,
    /// Tokens that the entry expects to use within a lease, at least `need`.
    pub want: u64,
    /// Tokens of earlier grants that the entry returns unused.
    pub returned: u64,
}

/// A home's answer to one ask.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grants {
    /// Incarnation of the ask that this answers.
    pub incarnation: Incarnation,
    /// Sequence number of the ask that this answers.
    pub number: u64,
    /// One grant for each want whose `need` isn't zero.
    pub grants: Vec<Grant>,
}

/// Lease of tokens of one workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Workspace whose limit the tokens count against.
    pub workspace: WorkspaceId,
    /// Tokens granted; zero if the need can't be met.
    pub tokens: u64,
    /// Validity of the lease, counted from when the ask was sent.
    pub valid: Duration,
    /// Estimated time until the need can be met; zero if it was.
    pub retry_after: Duration,
    /// Whether less than half of the home's bucket is left, or nothing was granted. The entry then returns
    /// tokens that it won't use.
    pub scarce: bool,
}
