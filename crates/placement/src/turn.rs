//! Which groups of a pool may change now, without a leader.
//!
//! Every slot beside a rank 0 judges for its own group from the published pool and from what it sees
//! of the others. Groups go in rendezvous order of pool and revision, so all slots use one order. A
//! group may start when fewer than the cap of those before it are unfinished. One that has been
//! waited for longer than a bound is passed over, yet still counts as not ready: the pool's
//! published minimum is kept by those that are seen ready, however long that takes.
//!
//! Views may differ, so two groups may start at once that should not have. The minimum therefore
//! reserves a place for every group before this one that could still start, not only for those seen
//! changing; the last group to start counts all others as gone.

use std::collections::BTreeMap;
use std::time::Duration;

use auburnline_core::hash;
use auburnline_core::id::GroupId;
use auburnline_core::id::PoolId;
use auburnline_core::id::Revision;

/// Time after which a group that does not get ready is passed over.
pub const PATIENCE: Duration = Duration::from_mins(10);
/// Age after which what was seen of a group counts for nothing.
pub const MAX_AGE: Duration = Duration::from_secs(10);

/// What is seen of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Progress {
    /// Serves what the preset in force asks of it.
    Ready,
    /// Serves nothing, as the preset in force asks.
    OutOfService,
    /// Serves something else and has not begun to change.
    Waiting,
    /// Loads while it serves.
    Loading,
    /// Takes no new work: drains or switches.
    Closed,
}

/// What is seen of a group, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Observation {
    /// How far it is under the revision in force.
    pub progress: Progress,
    /// Time since it was seen.
    pub age: Duration,
    /// Time for which it has been the turn of this group without an end.
    pub overdue: Duration,
}

impl Observation {
    fn is_fresh(&self) -> bool {
        self.age <= MAX_AGE
    }

    fn serves(&self) -> bool {
        self.is_fresh() && !matches!(self.progress, Progress::Closed | Progress::OutOfService)
    }

    /// Whether it is what the preset asks, and won't change any more.
    fn is_finished(&self) -> bool {
        self.is_fresh() && matches!(self.progress, Progress::Ready | Progress::OutOfService)
    }

    fn is_ready(&self) -> bool {
        self.is_fresh() && self.progress == Progress::Ready
    }
}

/// Pool and bounds that a turn is judged by.
#[derive(Clone, Copy, Debug)]
pub struct Rule<'a> {
    /// Pool of the groups.
    pub pool: &'a PoolId,
    /// Revision in force.
    pub revision: Revision,
    /// Fewest groups that must serve.
    pub minimum: usize,
    /// Most groups that change at once.
    pub cap: usize,
}

/// Why a group may change or must wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It is the group's turn.
    Turn,
    /// This many groups before it are unfinished.
    Behind(usize),
    /// Only this many groups would be sure to serve.
    Minimum(usize),
}

/// Judgement on one group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Whether the group may stop taking work.
    pub may_close: bool,
    /// Why.
    pub reason: Reason,
    /// Unfinished groups before it, in order.
    pub before: Vec<GroupId>,
    /// Age of the oldest sight that it rests on.
    pub age: Duration,
}

/// Judges whether `own` may stop taking work.
///
/// `sights` are of all published groups of the pool but `own`; one that is not seen is left out.
#[must_use]
pub fn decide(
    rule: Rule<'_>,
    own: &GroupId,
    published: &[GroupId],
    sights: &BTreeMap<GroupId, Observation>,
) -> Decision {
    let mut ahead = order(rule, published);
    let own_place = ahead.iter().position(|group| group == own);
    ahead.truncate(own_place.unwrap_or(ahead.len()));
    ahead.retain(|group| !sights.get(group).is_some_and(Observation::is_finished));
    let mut before = ahead.clone();
    before.retain(|group| {
        sights
            .get(group)
            .is_none_or(|sight| sight.overdue < PATIENCE)
    });
    let out = sights
        .values()
        .filter(|sight| sight.progress == Progress::OutOfService);
    let able = published.len().saturating_sub(out.count());
    let spare = able.saturating_sub(rule.minimum);
    let cap = rule.cap.min(spare).max(1);
    let room = (cap - 1).saturating_sub(before.len());
    let serving = sure_to_serve(own, &ahead, room, sights);
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
        age: sights.values().map(|s| s.age).max().unwrap_or_default(),
    }
}

/// Returns the order in which the groups of a pool change.
fn order(rule: Rule<'_>, published: &[GroupId]) -> Vec<GroupId> {
    let key = format!("{}/{}", rule.pool, rule.revision);
    let mut order = published.to_vec();
    hash::rendezvous_order(&key, &mut order);
    order
}

/// Counts the groups that serve and will not close before `own` is done: not those `ahead`, and not
/// those for which there is `room` beside `own` and the unfinished ones before it.
fn sure_to_serve(
    own: &GroupId,
    ahead: &[GroupId],
    room: usize,
    sights: &BTreeMap<GroupId, Observation>,
) -> usize {
    let others = sights.iter().filter(|(group, _)| *group != own);
    let serving = others.filter(|(group, sight)| sight.serves() && !ahead.contains(group));
    let (ready, later): (Vec<_>, Vec<_>) = serving.partition(|(_, sight)| sight.is_ready());
    ready.len() + later.len() - later.len().min(room)
}
