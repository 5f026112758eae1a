//! Decisions of a coordinator with their reasons; each is logged on one line.

use std::time::Duration;

use auburnline_core::id::Fence;
use auburnline_core::id::Generation;
use auburnline_core::id::Step;

/// Action that a coordinator chose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Choice {
    /// Read the state of all ranks under the decision's fencing number.
    Read,
    /// Order all ranks to load the weights of a generation.
    Prepare(Generation),
    /// Arm all ranks to hold at a step.
    Arm(Generation, Step),
    /// Release all ranks, which then switch at a step.
    Release(Generation, Step),
    /// Abort the change and keep this generation, which is in use.
    Abort(Generation),
    /// Finish the change: all ranks use this generation.
    Settle(Generation),
    /// Reject a requested map of this generation.
    Refuse(Generation),
    /// Send no orders until a revision in force permits a new fencing number.
    StandDown,
}

/// Reason for a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// A revision came into force while the coordinator had stood down.
    Started,
    /// A member rejected the fencing number as stale.
    Fenced,
    /// A new map was requested.
    Asked,
    /// All ranks have reported what this choice needs.
    AllReported,
    /// A rank had entered the switch step before it was armed.
    StepPassed,
    /// A rank was already released when the ranks were read.
    FoundReleased,
    /// When the ranks were read, none was released and some were in a change or without weights.
    FoundUnfinished,
    /// A member has restarted and may have lost the fencing number.
    MemberRestarted,
    /// A rank reports no map, as after its replacement.
    RankReplaced,
    /// The change was withdrawn before its release.
    Withdrawn,
    /// The change missed a deadline before its release.
    Timeout,
    /// The coordinator is not idle.
    Busy,
    /// The map does not fit the group, or its generation is below the next free one.
    BadMap,
    /// The ranks report generations that do not fit a single change.
    Inconsistent,
}

/// One decision of a coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Decision {
    /// Chosen action.
    pub choice: Choice,
    /// Reason for the choice.
    pub reason: Reason,
    /// Fencing number of the coordinator at the time.
    pub fence: Fence,
    /// Age of the oldest of the members' last reports; counted from the clock's zero for a member
    /// that has not reported.
    pub age: Duration,
}
