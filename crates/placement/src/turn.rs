//! Decides without a leader which groups of a pool may change now.
//!
//! Every slot beside a rank 0 decides for its own group, from the published pool and its observations
//! of the other groups. Groups change in the rendezvous order of pool and revision, so that all slots
//! use the same order. A group may start when the number of unfinished groups before it is below the
//! cap. A group that has been overdue for [`SKIP_AFTER`] is skipped, but does not count towards the
//! pool's published minimum until it is observed to be ready, however long that takes.
//!
//! The slots' views may differ, so that two groups may start at once that should not. The check
//! against the minimum therefore reserves capacity for every group before this one that could still
//! start, not only for those observed to be changing; the last group in the order counts all
//! unfinished groups as not serving.

use std::collections::BTreeMap;
use std::time::Duration;

use auburnline_core::hash;
use auburnline_core::id::GroupId;
use auburnline_core::id::PoolId;
use auburnline_core::id::Revision;

/// Time after which an overdue group is skipped in the order.
pub const SKIP_AFTER: Duration = Duration::from_mins(10);
/// Age beyond which an observation no longer shows that a group serves or has finished.
pub const MAX_AGE: Duration = Duration::from_secs(10);

/// State of a group as other slots observe it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Progress {
    /// Serves what the preset in force asks of it.
    Ready,
    /// Serves nothing, as the preset in force asks.
    OutOfService,
    /// Serves another placement and waits for its turn.
    Waiting,
    /// Loads or unloads weights while it serves.
    Loading,
    /// Accepts no new work.
    Closed,
}

/// Observed state of a group and its age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Observation {
    /// State under the revision in force.
    pub progress: Progress,
    /// Time since the state was observed.
    pub age: Duration,
    /// Time for which it has been this group's turn while the group is unfinished.
    pub overdue: Duration,
}

impl Observation {
    fn is_fresh(&self) -> bool {
        self.age <= MAX_AGE
    }

    fn serves(&self) -> bool {
        self.is_fresh() && !matches!(self.progress, Progress::Closed | Progress::OutOfService)
    }

    /// Returns whether the group has reached its target and will not change under this revision.
    fn is_finished(&self) -> bool {
        self.is_fresh() && matches!(self.progress, Progress::Ready | Progress::OutOfService)
    }

    fn is_ready(&self) -> bool {
        self.is_fresh() && self.progress == Progress::Ready
    }
}

/// Pool and limits for a decision.
#[derive(Clone, Copy, Debug)]
pub struct Rule<'a> {
    /// Pool that the groups belong to.
    pub pool: &'a PoolId,
    /// Revision in force; it determines the order together with the pool.
    pub revision: Revision,
    /// Published minimum of groups that must serve.
    pub minimum: usize,
    /// Largest number of groups that may change at once.
    pub cap: usize,
}

/// Why a group may change or must wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It is the group's turn.
    Turn,
    /// This many groups before it are unfinished.
    Behind(usize),
    /// Only this many groups are certain to keep serving, fewer than the minimum.
    Minimum(usize),
}

/// Decision on one group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Whether the group may stop accepting work.
    pub may_close: bool,
    /// Reason for `may_close`.
    pub reason: Reason,
    /// Unfinished groups before it that are not skipped, in order.
    pub before: Vec<GroupId>,
    /// Age of the oldest observation; zero without any.
    pub age: Duration,
}

/// Decides whether `own` may stop accepting work.
///
/// `observations` covers the published groups of the pool other than `own`; groups that were not
/// observed are absent.
#[must_use]
pub fn decide(
    rule: Rule<'_>,
    own: &GroupId,
    published: &[GroupId],
    observations: &BTreeMap<GroupId, Observation>,
) -> Decision {
    let mut ahead = order(rule, published);
    let own_index = ahead.iter().position(|group| group == own);
    ahead.truncate(own_index.unwrap_or(ahead.len()));
    ahead.retain(|group| {
        !observations
            .get(group)
            .is_some_and(Observation::is_finished)
    });
    let mut before = ahead.clone();
    before.retain(|group| {
        observations
            .get(group)
            .is_none_or(|observation| observation.overdue < SKIP_AFTER)
    });
    let out = observations
        .values()
        .filter(|observation| observation.progress == Progress::OutOfService);
    let able = published.len().saturating_sub(out.count());
    let spare = able.saturating_sub(rule.minimum);
    let cap = rule.cap.min(spare).max(1);
    let room = (cap - 1).saturating_sub(before.len());
    let serving = certain_to_serve(own, &ahead, room, observations);
    let reason = if before.len() >= cap {
        Reason::Behind(before.len())
    } else if serving < rule.minimum {
        Reason::Minimum(serving)
    } else {
        Reason::Turn
    };
    Decision {
        may_close: reason == Reason::Turn,
        reason,
        before,
        age: observations
            .values()
            .map(|s| s.age)
            .max()
            .unwrap_or_default(),
    }
}

/// Returns the groups of a pool in the order in which they change.
fn order(rule: Rule<'_>, published: &[GroupId]) -> Vec<GroupId> {
    let key = format!("{}/{}", rule.pool, rule.revision);
    let mut order = published.to_vec();
    hash::rendezvous_order(&key, &mut order);
    order
}

/// Counts the groups that serve and cannot close before `own` has finished.
///
/// This excludes the groups in `ahead` and as many others as may still start: `room` is what the cap
/// leaves besides `own` and the unfinished groups before it.
fn certain_to_serve(
    own: &GroupId,
    ahead: &[GroupId],
    room: usize,
    observations: &BTreeMap<GroupId, Observation>,
) -> usize {
    let others = observations.iter().filter(|(group, _)| *group != own);
    let serving =
        others.filter(|(group, observation)| observation.serves() && !ahead.contains(group));
    let (ready, later): (Vec<_>, Vec<_>) =
        serving.partition(|(_, observation)| observation.is_ready());
    ready.len() + later.len() - later.len().min(room)
}
