//! Coordinator of a group, in the slot beside rank 0: drives a change of map through all members.
//!
//! It keeps soft state only. A coordinator starts by reading every rank under a fencing number of
//! its own; once the last member has answered, no older order has an effect anywhere. Only then it
//! assesses the group: if any rank was released, all are released; if none was, the change is
//! aborted on all. A rank that is unreachable may have been released, so the coordinator waits for
//! the reports of all ranks.
//!
//! It reads all ranks twice, and again when it sees a new incarnation of a member, which may have
//! lost the fencing number: an older coordinator could act through that member, but not through the
//! others, and it too has to read them all first.
//!
//! All sends are level-triggered: [`Coordinator::handle`] derives from the phase and the reports
//! which command each member has not yet carried out, and sends it again after the retry interval. A
//! release cannot be undone; before it, a timeout, a withdrawal or a replaced rank leads to an abort.

mod advance;
mod decision;
mod estimate;
mod phase;
mod send;
mod settings;
mod view;

use std::collections::BTreeMap;
use std::sync::Arc;

use auburnline_core::expert::Map;
use auburnline_core::id::Fence;
use auburnline_core::id::Generation;
use auburnline_core::id::Incarnation;
use auburnline_core::id::Rank;
use auburnline_core::id::Revision;
use auburnline_core::time::Monotonic;

pub use self::decision::Choice;
pub use self::decision::Decision;
pub use self::decision::Reason;
use self::estimate::Estimate;
use self::phase::Aborting;
use self::phase::Arming;
use self::phase::Change;
use self::phase::Preparing;
use self::phase::Releasing;
pub use self::settings::Builder;
pub use self::settings::Settings;
use self::view::View;
use crate::fence;
use crate::order::Order;
use crate::order::Refusal;
use crate::order::Report;
use crate::order::Stamp;

/// Input of a coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time has passed; sent periodically, as deadlines and retries are checked on each event.
    Tick,
    /// A member has reported on an order.
    Report(Report),
    /// A change to a new map is requested.
    Start(Arc<Map>),
    /// The change under way is to be aborted, unless it is released.
    Withdraw,
    /// A configuration revision is in force.
    Revision(Revision),
}

/// Output of a coordinator, for its caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send an order to the member that it names.
    Send(Order),
    /// Log a decision.
    Log(Decision),
}

/// Phase of a coordinator; `StoodDown` sends no orders.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    StoodDown,
    Reading(Round),
    Idle(Arc<Map>),
    Preparing(Change<Preparing>),
    Arming(Change<Arming>),
    Releasing(Change<Releasing>),
    Aborting(Change<Aborting>),
}

/// Purpose of a round that reads all ranks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Round {
    /// Makes every member accept the fencing number.
    Fence,
    /// Confirms that no member has restarted since all accepted it.
    Confirm,
}

/// State of one coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Coordinator {
    settings: Settings,
    revision: Revision,
    stamp: Stamp,
    /// First sequence number of the current phase.
    first_sequence: u64,
    initial_map: Arc<Map>,
    maps: BTreeMap<Generation, Arc<Map>>,
    views: Vec<View>,
    highest_generation: Generation,
    estimate: Estimate,
    phase: Phase,
}

impl Coordinator {
    /// Returns a coordinator that has just started.
    ///
    /// `members` are the ranks of each member, in published order; `initial_map` is used for a group in
    /// which no rank has a map.
    #[must_use]
    pub fn new(
        members: Vec<Vec<Rank>>,
        incarnation: Incarnation,
        revision: Revision,
        initial_map: Arc<Map>,
        settings: Settings,
    ) -> Coordinator {
        Coordinator {
            settings,
            revision,
            stamp: Stamp {
                fence: fence::base(revision),
                sender: incarnation,
                sequence: 0,
            },
            first_sequence: 1,
            maps: BTreeMap::from([(initial_map.generation, Arc::clone(&initial_map))]),
            highest_generation: initial_map.generation,
            initial_map,
            views: members.into_iter().map(View::new).collect(),
            estimate: Estimate::default(),
            phase: Phase::Reading(Round::Fence),
        }
    }

    /// Returns the incarnation of this process.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.stamp.sender
    }

    /// Returns the fencing number in use.
    #[must_use]
    pub const fn fence(&self) -> Fence {
        self.stamp.fence
    }

    /// Returns the generation that all ranks use, or `None` unless the coordinator is idle.
    #[must_use]
    pub fn settled_generation(&self) -> Option<Generation> {
        match &self.phase {
            Phase::Idle(map) => Some(map.generation),
            _ => None,
        }
    }

    /// Returns the lowest generation that a new map may have.
    #[must_use]
    pub fn next_generation(&self) -> Generation {
        self.highest_generation
            .max(view::highest_generation(&self.views))
            + 1
    }

    /// Returns the name of the phase, for display.
    #[must_use]
    pub const fn phase(&self) -> &'static str {
        match self.phase {
            Phase::StoodDown => "stood_down",
            Phase::Reading(_) => "reading",
            Phase::Idle(_) => "idle",
            Phase::Preparing(_) => "preparing",
            Phase::Arming(_) => "arming",
            Phase::Releasing(_) => "releasing",
            Phase::Aborting(_) => "aborting",
        }
    }

    /// Handles an event and returns the actions that follow from it.
    pub fn handle(&mut self, event: Event, now: Monotonic) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => {}
            Event::Report(report) => self.apply_report(report, now, &mut actions),
            Event::Start(map) => self.start(map, now, &mut actions),
            Event::Withdraw => self.abort_unreleased(Reason::Withdrawn, now, &mut actions),
            Event::Revision(revision) => self.update_revision(revision, now, &mut actions),
        }
        self.check_deadline(now, &mut actions);
        while self.advance(now, &mut actions) {}
        self.send_due_orders(now, &mut actions);
        actions
    }

    fn log(&self, choice: Choice, reason: Reason, now: Monotonic, actions: &mut Vec<Action>) {
        let age = self.views.iter().map(|view| view.age(now)).max();
        actions.push(Action::Log(Decision {
            choice,
            reason,
            fence: self.stamp.fence,
            age: age.unwrap_or_default(),
        }));
    }

    fn enter_phase(&mut self, phase: Phase) {
        self.phase = phase;
        self.first_sequence = self.stamp.sequence + 1;
        self.views.iter_mut().for_each(View::begin_phase);
    }

    fn update_revision(&mut self, revision: Revision, now: Monotonic, actions: &mut Vec<Action>) {
        self.revision = self.revision.max(revision);
        if self.phase == Phase::StoodDown {
            self.raise_fence(self.stamp.fence, Reason::Started, now, actions);
        }
    }

    /// Raises the fencing number above `highest` and reads all ranks again; stands down if the revision
    /// in force permits none.
    fn raise_fence(
        &mut self,
        highest: Fence,
        reason: Reason,
        now: Monotonic,
        actions: &mut Vec<Action>,
    ) {
        self.views.iter_mut().for_each(View::clear_reports);
        self.views.iter_mut().for_each(View::reset_sequence);
        self.stamp.fence = highest;
        self.stamp.sequence = 0;
        if let Some(fence) = fence::next(self.revision, highest) {
            self.stamp.fence = fence;
            self.enter_phase(Phase::Reading(Round::Fence));
            self.log(Choice::Read, reason, now, actions);
        } else {
            self.enter_phase(Phase::StoodDown);
            self.log(Choice::StandDown, reason, now, actions);
        }
    }

    /// Reads all ranks again under the same fencing number.
    fn reread(&mut self, now: Monotonic, actions: &mut Vec<Action>) {
        self.views.iter_mut().for_each(View::clear_reports);
        self.enter_phase(Phase::Reading(Round::Fence));
        self.log(Choice::Read, Reason::MemberRestarted, now, actions);
    }

    fn apply_report(&mut self, report: Report, now: Monotonic, actions: &mut Vec<Action>) {
        let own = report.stamp.sender == self.stamp.sender;
        if !own || report.stamp.fence != self.stamp.fence || self.phase == Phase::StoodDown {
            return;
        }
        if let Some(Refusal::StaleFence(highest)) = report.refusal {
            return self.raise_fence(highest, Reason::Fenced, now, actions);
        }
        let Some(view) = self.views.get_mut(report.member) else {
            return;
        };
        let round_trip = view.round_trip(now);
        let known_incarnation = view.incarnation;
        if !view.apply_report(&report, self.first_sequence, now) {
            return;
        }
        if known_incarnation
            .is_some_and(|known_incarnation| known_incarnation != report.incarnation)
        {
            return self.reread(now, actions);
        }
        if report.refusal.is_none() {
            let step = view::highest_step(&self.views);
            self.estimate.observe(now, step, round_trip);
        }
        for map in report.maps {
            self.maps.insert(map.generation, map);
        }
    }

    fn start(&mut self, map: Arc<Map>, now: Monotonic, actions: &mut Vec<Action>) {
        let generation = map.generation;
        let Phase::Idle(before) = &self.phase else {
            return self.log(Choice::Refuse(generation), Reason::Busy, now, actions);
        };
        let fits = map.ranks == before.ranks && map.check().is_ok();
        if !fits || generation < self.next_generation() {
            return self.log(Choice::Refuse(generation), Reason::BadMap, now, actions);
        }
        let before = Arc::clone(before);
        self.highest_generation = generation;
        self.maps.insert(generation, Arc::clone(&map));
        self.estimate = Estimate::default();
        let deadline = now + self.settings.prepare_timeout;
        let phase = Preparing { map, deadline };
        self.enter_phase(Phase::Preparing(Change { before, phase }));
        self.log(Choice::Prepare(generation), Reason::Asked, now, actions);
    }

    fn check_deadline(&mut self, now: Monotonic, actions: &mut Vec<Action>) {
        let deadline = match &self.phase {
            Phase::Preparing(change) => change.phase.deadline,
            Phase::Arming(change) => change.phase.deadline,
            _ => return,
        };
        if now >= deadline {
            self.abort_unreleased(Reason::Timeout, now, actions);
        }
    }

    /// Aborts the change under way, unless it is released.
    fn abort_unreleased(&mut self, reason: Reason, now: Monotonic, actions: &mut Vec<Action>) {
        let change = match self.phase.clone() {
            Phase::Preparing(change) => change.abort(),
            Phase::Arming(change) => change.abort(),
            _ => return,
        };
        self.abort(change, reason, now, actions);
    }

    fn abort(
        &mut self,
        change: Change<Aborting>,
        reason: Reason,
        now: Monotonic,
        actions: &mut Vec<Action>,
    ) {
        let generation = change.before.generation;
        self.enter_phase(Phase::Aborting(change));
        self.log(Choice::Abort(generation), reason, now, actions);
    }
}
