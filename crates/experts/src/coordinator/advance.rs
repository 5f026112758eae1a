//! Transitions between the phases, based on the reports of all members.

use std::sync::Arc;

use auburnline_core::expert::Map;
use auburnline_core::id::Generation;
use auburnline_core::id::Step;
use auburnline_core::time::Monotonic;

use super::Action;
use super::Choice;
use super::Coordinator;
use super::Phase;
use super::Reason;
use super::Round;
use super::phase;
use super::phase::Aborting;
use super::phase::Arming;
use super::phase::Change;
use super::phase::Preparing;
use super::phase::Releasing;
use super::view;
use super::view::Assessment;
use super::view::View;
use crate::order::Status;

impl Coordinator {
    /// Makes at most one transition; returns whether it made one.
    pub(super) fn advance(&mut self, now: Monotonic, actions: &mut Vec<Action>) -> bool {
        match self.phase.clone() {
            Phase::StoodDown => false,
            Phase::Reading(round) => self.advance_reading(round, now, actions),
            Phase::Idle(map) => self.advance_idle(&map, now, actions),
            Phase::Preparing(change) => self.advance_preparing(change, now, actions),
            Phase::Arming(change) => self.advance_arming(change, now, actions),
            Phase::Releasing(change) => self.advance_releasing(change, now, actions),
            Phase::Aborting(change) => self.advance_aborting(change, now, actions),
        }
    }

    fn advance_reading(&mut self, round: Round, now: Monotonic, actions: &mut Vec<Action>) -> bool {
        if !self.views.iter().all(|view| view.confirmed) {
            return false;
        }
        if round == Round::Fence {
            self.enter_phase(Phase::Reading(Round::Confirm));
            return true;
        }
        let highest_generation = self.next_generation() - 1;
        self.highest_generation = highest_generation;
        match view::assess(&self.views) {
            Assessment::Inconsistent => {
                debug_assert!(
                    false,
                    "ranks report generations that do not fit a single change"
                );
                self.log(Choice::StandDown, Reason::Inconsistent, now, actions);
                self.enter_phase(Phase::StoodDown);
            }
            Assessment::Settled(generation) => {
                let map = self.map_or_initial(generation);
                self.enter_phase(Phase::Idle(map));
                self.log(
                    Choice::Settle(generation),
                    Reason::AllReported,
                    now,
                    actions,
                );
            }
            Assessment::Abort(generation) => {
                let before = generation
                    .map_or_else(|| Arc::clone(&self.initial_map), |g| self.map_or_initial(g));
                let change = phase::abort(before, highest_generation);
                self.abort(change, Reason::FoundUnfinished, now, actions);
            }
            Assessment::Release { before, switch } => {
                let change = Change::resume(
                    self.map_or_initial(before),
                    self.map_or_initial(switch.generation),
                    switch,
                );
                self.enter_phase(Phase::Releasing(change));
                let choice = Choice::Release(switch.generation, switch.step);
                self.log(choice, Reason::FoundReleased, now, actions);
            }
        }
        true
    }

    /// Returns the map of `generation`, or the initial map if no rank has reported that one.
    fn map_or_initial(&self, generation: Generation) -> Arc<Map> {
        Arc::clone(self.maps.get(&generation).unwrap_or(&self.initial_map))
    }

    fn advance_idle(&mut self, map: &Arc<Map>, now: Monotonic, actions: &mut Vec<Action>) -> bool {
        if !view::any_without_map(&self.views) {
            return false;
        }
        let change = phase::abort(Arc::clone(map), self.highest_generation);
        self.abort(change, Reason::RankReplaced, now, actions);
        true
    }

    fn advance_preparing(
        &mut self,
        change: Change<Preparing>,
        now: Monotonic,
        actions: &mut Vec<Action>,
    ) -> bool {
        if view::any_without_map(&self.views) {
            self.abort(change.abort(), Reason::RankReplaced, now, actions);
            return true;
        }
        let Some(proof) = view::all_prepared(&self.views, change.phase.map.generation) else {
            return false;
        };
        let margin = self.settings.margin;
        let step = self.switch_step(margin, now);
        let deadline = now + self.settings.arm_timeout;
        let change = change.arm(proof, step, margin, deadline);
        let switch = change.phase.switch;
        self.enter_phase(Phase::Arming(change));
        let choice = Choice::Arm(switch.generation, switch.step);
        self.log(choice, Reason::AllReported, now, actions);
        true
    }

    /// Returns a step that no rank is expected to enter before all are armed.
    fn switch_step(&self, margin: Step, now: Monotonic) -> Step {
        view::highest_step(&self.views) + self.estimate.steps_ahead(now) + margin
    }

    fn advance_arming(
        &mut self,
        change: Change<Arming>,
        now: Monotonic,
        actions: &mut Vec<Action>,
    ) -> bool {
        if view::any_without_map(&self.views) {
            self.abort(change.abort(), Reason::RankReplaced, now, actions);
            return true;
        }
        let switch = change.phase.switch;
        if view::any_past_step(&self.views, switch) {
            let margin = change.phase.margin.saturating_mul(2);
            let change = change.postpone(self.switch_step(margin, now), margin);
            let switch = change.phase.switch;
            self.enter_phase(Phase::Arming(change));
            let choice = Choice::Arm(switch.generation, switch.step);
            self.log(choice, Reason::StepPassed, now, actions);
            return true;
        }
        let Some(proof) = view::all_armed(&self.views, switch) else {
            return false;
        };
        self.enter_phase(Phase::Releasing(change.release(proof)));
        let choice = Choice::Release(switch.generation, switch.step);
        self.log(choice, Reason::AllReported, now, actions);
        true
    }

    fn advance_releasing(
        &mut self,
        change: Change<Releasing>,
        now: Monotonic,
        actions: &mut Vec<Action>,
    ) -> bool {
        let generation = change.phase.map.generation;
        let is_done = |status: &Status| status.joined && status.current == Some(generation);
        if !self.views.iter().all(|view| view.all(is_done)) {
            return false;
        }
        self.enter_phase(Phase::Idle(change.into_map()));
        self.log(
            Choice::Settle(generation),
            Reason::AllReported,
            now,
            actions,
        );
        true
    }

    fn advance_aborting(
        &mut self,
        change: Change<Aborting>,
        now: Monotonic,
        actions: &mut Vec<Action>,
    ) -> bool {
        let is_done = |view: &View| view.confirmed && view.all(|s| s.joined && view::is_steady(s));
        if !self.views.iter().all(is_done) {
            return false;
        }
        let generation = change.before.generation;
        self.enter_phase(Phase::Idle(change.before));
        self.log(
            Choice::Settle(generation),
            Reason::AllReported,
            now,
            actions,
        );
        true
    }
}
