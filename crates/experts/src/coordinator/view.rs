//! State of each member as reported to the coordinator, and its assessment.

use std::collections::BTreeMap;
use std::time::Duration;

use auburnline_core::id::Generation;
use auburnline_core::id::Incarnation;
use auburnline_core::id::Rank;
use auburnline_core::id::Step;
use auburnline_core::time::Monotonic;

use crate::order::Command;
use crate::order::Report;
use crate::order::Stage;
use crate::order::Status;
use crate::order::Switch;

/// Maximum number of doublings of the retry interval.
const MAX_DOUBLINGS: u32 = 4;

/// State of one member, from its reports under the coordinator's fencing number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct View {
    pub(super) ranks: Vec<Rank>,
    pub(super) incarnation: Option<Incarnation>,
    pub(super) statuses: BTreeMap<Rank, Status>,
    /// Whether a report on an order of the current phase has covered all ranks.
    pub(super) confirmed: bool,
    /// Highest sequence number of an order that was reported on.
    last_sequence: u64,
    reported_at: Monotonic,
    sent_at: Option<Monotonic>,
    sent_command: &'static str,
    attempts: u32,
}

impl View {
    pub(super) fn new(ranks: Vec<Rank>) -> View {
        View {
            ranks,
            ..View::default()
        }
    }

    /// Resets what is tracked per phase: the confirmation and the retry state.
    pub(super) fn begin_phase(&mut self) {
        self.confirmed = false;
        self.sent_at = None;
        self.attempts = 0;
    }

    /// Drops the reported statuses, and what is tracked per phase.
    pub(super) fn clear_reports(&mut self) {
        self.begin_phase();
        self.statuses.clear();
    }

    /// Resets the sequence number, as orders under a new fencing number are numbered from 1.
    pub(super) const fn reset_sequence(&mut self) {
        self.last_sequence = 0;
    }

    /// Returns whether `command` may be sent now: the first of its kind at once, a repetition once the
    /// retry interval has passed.
    pub(super) fn is_due(&self, command: &Command, now: Monotonic, retry: Duration) -> bool {
        let Some(sent_at) = self.sent_at else {
            return true;
        };
        if self.sent_command != command.name() {
            return true;
        }
        let doublings = self.attempts.saturating_sub(1).min(MAX_DOUBLINGS);
        now >= sent_at + retry * (1 << doublings)
    }

    pub(super) fn record_send(&mut self, command: &Command, now: Monotonic, backs_off: bool) {
        if self.sent_command != command.name() {
            self.attempts = 0;
        }
        self.sent_at = Some(now);
        self.sent_command = command.name();
        self.attempts = if backs_off {
            (self.attempts + 1).min(MAX_DOUBLINGS + 1)
        } else {
            0
        };
    }

    /// Makes the next order due at once.
    pub(super) fn reset_backoff(&mut self) {
        self.sent_at = None;
        self.attempts = 0;
    }

    pub(super) const fn age(&self, now: Monotonic) -> Duration {
        now.saturating_sub(self.reported_at)
    }

    /// Returns the time from the last order to a report that arrives now; `None` if nothing was sent in
    /// this phase.
    pub(super) fn round_trip(&self, now: Monotonic) -> Option<Duration> {
        self.sent_at.map(|sent| now.saturating_sub(sent))
    }

    /// Applies a report, unless a report on the same or a later order was applied before; returns
    /// whether it did. `first_sequence` is the first sequence number of the phase.
    pub(super) fn apply_report(
        &mut self,
        report: &Report,
        first_sequence: u64,
        now: Monotonic,
    ) -> bool {
        if report.stamp.sequence <= self.last_sequence {
            return false;
        }
        self.last_sequence = report.stamp.sequence;
        self.incarnation = Some(report.incarnation);
        if report.refusal.is_some() {
            self.reset_backoff();
            return true;
        }
        self.reported_at = now;
        let complete = self
            .ranks
            .iter()
            .all(|rank| report.ranks.contains_key(rank));
        self.confirmed |= complete && report.stamp.sequence >= first_sequence;
        self.statuses
            .extend(report.ranks.iter().map(|(&r, &s)| (r, s)));
        true
    }

    pub(super) fn all(&self, predicate: impl Fn(&Status) -> bool) -> bool {
        self.statuses.len() == self.ranks.len() && self.statuses.values().all(predicate)
    }
}

/// Proof that every rank has reported to be prepared.
#[derive(Clone, Copy, Debug)]
pub(super) struct AllPrepared(());

/// Proof that every rank has reported to be armed for the same switch.
#[derive(Clone, Copy, Debug)]
pub(super) struct AllArmed(());

/// State of a group that the reports of all its members show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Assessment {
    /// Some rank was released, so all must be.
    Release {
        /// Generation that the ranks not yet switched use.
        before: Generation,
        /// Switch that the rank was released for.
        switch: Switch,
    },
    /// No rank was released, and some rank is in a change or without weights. Holds the generation in
    /// use, or `None` if no rank uses any.
    Abort(Option<Generation>),
    /// All ranks use this generation.
    Settled(Generation),
    /// The reported generations do not fit a single change.
    Inconsistent,
}

pub(super) fn statuses(views: &[View]) -> impl Iterator<Item = &Status> {
    views.iter().flat_map(|view| view.statuses.values())
}

pub(super) fn all_prepared(views: &[View], generation: Generation) -> Option<AllPrepared> {
    let prepared = |status: &Status| status.stage == Stage::Prepared(generation);
    let all = views.iter().all(|view| view.all(prepared));
    all.then_some(AllPrepared(()))
}

pub(super) fn all_armed(views: &[View], switch: Switch) -> Option<AllArmed> {
    let armed = |status: &Status| status.stage == Stage::Armed(switch);
    let all = views.iter().all(|view| view.all(armed));
    all.then_some(AllArmed(()))
}

pub(super) fn any_without_map(views: &[View]) -> bool {
    statuses(views).any(|status| status.current.is_none())
}

pub(super) fn highest_step(views: &[View]) -> Step {
    statuses(views).map(|status| status.step).max().unwrap_or(0)
}

/// Returns whether a rank has entered the switch step without being armed.
pub(super) fn any_past_step(views: &[View], switch: Switch) -> bool {
    statuses(views).any(|status| {
        status.stage == Stage::Prepared(switch.generation) && status.step > switch.step
    })
}

/// Returns the highest generation that any rank uses or has in a change.
pub(super) fn highest_generation(views: &[View]) -> Generation {
    statuses(views)
        .map(|status| {
            status
                .current
                .max(change_generation(status.stage))
                .unwrap_or(0)
        })
        .max()
        .unwrap_or(0)
}

fn change_generation(stage: Stage) -> Option<Generation> {
    match stage {
        Stage::Steady => None,
        Stage::Loading(generation) | Stage::Prepared(generation) => Some(generation),
        Stage::Armed(switch) | Stage::Released(switch) | Stage::Switched(switch) => {
            Some(switch.generation)
        }
    }
}

/// Returns the switch that a rank was released for; other ranks may not have switched yet.
fn released_switch(status: &Status) -> Option<Switch> {
    match status.stage {
        Stage::Released(switch) | Stage::Switched(switch) => Some(switch),
        _ => None,
    }
}

/// Assesses a group of which every rank has reported.
pub(super) fn assess(views: &[View]) -> Assessment {
    let mut currents: Vec<Generation> = statuses(views).filter_map(|s| s.current).collect();
    currents.sort_unstable();
    currents.dedup();
    let switch = statuses(views)
        .filter_map(released_switch)
        .max_by_key(|s| s.generation);
    let lowest = currents.first().copied();
    match (lowest, switch) {
        (Some(before), Some(switch)) if before != switch.generation => {
            let is_expected = |&c: &Generation| c == before || c == switch.generation;
            if currents.iter().all(is_expected) {
                Assessment::Release { before, switch }
            } else {
                Assessment::Inconsistent
            }
        }
        _ if currents.len() > 1 => Assessment::Inconsistent,
        _ => assess_unreleased(views, lowest),
    }
}

fn assess_unreleased(views: &[View], current: Option<Generation>) -> Assessment {
    let is_settled = |status: &Status| status.joined && is_steady(status);
    match current {
        Some(generation) if statuses(views).all(is_settled) => Assessment::Settled(generation),
        _ => Assessment::Abort(current),
    }
}

/// Returns whether a rank is in no change: none was begun, or it has switched.
pub(super) fn is_steady(status: &Status) -> bool {
    matches!(status.stage, Stage::Steady | Stage::Switched(_))
}
