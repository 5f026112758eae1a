//! What the coordinator knows of each member, and what follows from it.

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

/// Most doublings of the time between retries.
const MAX_DOUBLINGS: u32 = 4;

/// One member as its last report under this coordinator's fence shows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct View {
    pub(super) ranks: Vec<Rank>,
    pub(super) incarnation: Option<Incarnation>,
    pub(super) statuses: BTreeMap<Rank, Status>,
    /// Reported since the phase began.
    pub(super) confirmed: bool,
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

    /// Forgets what was sent, for a new phase.
    pub(super) fn begin_phase(&mut self) {
        self.confirmed = false;
        self.sent_at = None;
        self.attempts = 0;
    }

    /// Forgets what was reported.
    pub(super) fn clear_reports(&mut self) {
        self.begin_phase();
        self.statuses.clear();
    }

    /// Starts to count orders again, for a new fencing number.
    pub(super) const fn reset_sequence(&mut self) {
        self.last_sequence = 0;
    }

    /// Whether an order may be sent now: the first of its kind at once, a repetition later.
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

    /// Lets the next order go at once.
    pub(super) fn reset_backoff(&mut self) {
        self.sent_at = None;
        self.attempts = 0;
    }

    pub(super) const fn age(&self, now: Monotonic) -> Duration {
        now.saturating_sub(self.reported_at)
    }

    /// Time from the last order to the report that came now.
    pub(super) fn round_trip(&self, now: Monotonic) -> Option<Duration> {
        self.sent_at.map(|sent| now.saturating_sub(sent))
    }

    /// Takes a report, unless one on a later order was taken before.
    pub(super) fn apply_report(&mut self, report: &Report, first: u64, now: Monotonic) -> bool {
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
        self.confirmed |= complete && report.stamp.sequence >= first;
        self.statuses
            .extend(report.ranks.iter().map(|(&r, &s)| (r, s)));
        true
    }

    pub(super) fn all(&self, holds: impl Fn(&Status) -> bool) -> bool {
        self.statuses.len() == self.ranks.len() && self.statuses.values().all(holds)
    }
}

/// Proof that every rank was seen prepared.
#[derive(Clone, Copy, Debug)]
pub(super) struct AllPrepared(());

/// Proof that every rank was seen armed for one switch.
#[derive(Clone, Copy, Debug)]
pub(super) struct AllArmed(());

/// What all reports of a group together mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Assessment {
    /// Some rank was released: all must be.
    Release {
        /// Generation that the ranks not yet switched use.
        before: Generation,
        /// The switch.
        switch: Switch,
    },
    /// No rank was released, and some rank is in a change or has no weights.
    Abort(Option<Generation>),
    /// All ranks use this generation.
    Settled(Generation),
    /// No change explains the reports.
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

/// Whether a rank has passed `switch` without it.
pub(super) fn any_past_step(views: &[View], switch: Switch) -> bool {
    statuses(views).any(|status| {
        status.stage == Stage::Prepared(switch.generation) && status.step > switch.step
    })
}

/// Returns the highest generation that any rank knows of.
pub(super) fn highest_generation(views: &[View]) -> Generation {
    statuses(views)
        .map(|status| status.current.max(staged(status.stage)).unwrap_or(0))
        .max()
        .unwrap_or(0)
}

fn staged(stage: Stage) -> Option<Generation> {
    match stage {
        Stage::Steady => None,
        Stage::Loading(generation) | Stage::Prepared(generation) => Some(generation),
        Stage::Armed(switch) | Stage::Released(switch) | Stage::Switched(switch) => {
            Some(switch.generation)
        }
    }
}

/// Returns the switch that a rank was released for and may not have been followed in by all.
fn released(status: &Status) -> Option<Switch> {
    match status.stage {
        Stage::Released(switch) | Stage::Switched(switch) => Some(switch),
        _ => None,
    }
}

/// Judges a group of which every rank has reported.
pub(super) fn assess(views: &[View]) -> Assessment {
    let mut currents: Vec<Generation> = statuses(views).filter_map(|s| s.current).collect();
    currents.sort_unstable();
    currents.dedup();
    let switch = statuses(views)
        .filter_map(released)
        .max_by_key(|s| s.generation);
    let behind = currents.first().copied();
    match (behind, switch) {
        (Some(before), Some(switch)) if before != switch.generation => {
            let explained = |&c: &Generation| c == before || c == switch.generation;
            if currents.iter().all(explained) {
                Assessment::Release { before, switch }
            } else {
                Assessment::Inconsistent
            }
        }
        _ if currents.len() > 1 => Assessment::Inconsistent,
        _ => assess_unreleased(views, behind),
    }
}

fn assess_unreleased(views: &[View], current: Option<Generation>) -> Assessment {
    let is_settled = |status: &Status| status.joined && is_steady(status);
    match current {
        Some(generation) if statuses(views).all(is_settled) => Assessment::Settled(generation),
        _ => Assessment::Abort(current),
    }
}

/// Whether a rank is in no change.
pub(super) fn is_steady(status: &Status) -> bool {
    matches!(status.stage, Stage::Steady | Stage::Switched(_))
}
