//! Orders that are due to each member in the current phase.

use std::sync::Arc;
use std::time::Duration;

use auburnline_core::expert::Map;
use auburnline_core::id::Step;
use auburnline_core::time::Monotonic;

use super::Action;
use super::Coordinator;
use super::Phase;
use super::phase::Aborting;
use super::phase::Change;
use super::phase::Preparing;
use super::phase::Releasing;
use super::view;
use super::view::View;
use crate::order::Command;
use crate::order::MemberIndex;
use crate::order::Order;
use crate::order::Stage;
use crate::order::Status;

impl Coordinator {
    /// Sends each member its pending command, if that is due. A member whose incarnation is not known
    /// is read first.
    pub(super) fn send_due_orders(&mut self, now: Monotonic, actions: &mut Vec<Action>) {
        let is_idle = matches!(self.phase, Phase::Idle(_));
        for member in 0..self.views.len() {
            let Some((command, retry)) = self.pending_command(member) else {
                continue;
            };
            let view = &mut self.views[member];
            let incarnation = view.incarnation;
            let command = match incarnation {
                Some(_) => command,
                None => Command::Read,
            };
            if !view.is_due(&command, now, retry) {
                continue;
            }
            view.record_send(&command, now, !is_idle);
            self.stamp.sequence += 1;
            actions.push(Action::Send(Order {
                member,
                incarnation,
                stamp: self.stamp,
                command,
            }));
        }
    }

    /// Returns the command that a member has not yet carried out in this phase, and the retry interval.
    fn pending_command(&self, member: MemberIndex) -> Option<(Command, Duration)> {
        let view = &self.views[member];
        let command = match &self.phase {
            Phase::StoodDown => None,
            Phase::Reading(_) => (!view.confirmed).then_some(Command::Read),
            Phase::Idle(_) => return Some((Command::Read, self.settings.poll)),
            Phase::Preparing(change) => self.pending_preparing(view, change),
            Phase::Arming(change) => {
                let switch = change.phase.switch;
                let armed = view.all(|status| status.stage == Stage::Armed(switch));
                (!armed).then_some(Command::Arm(switch))
            }
            Phase::Releasing(change) => self.pending_releasing(view, change),
            Phase::Aborting(change) => self.pending_aborting(view, change),
        };
        command.map(|command| (command, self.settings.retry))
    }

    fn pending_preparing(&self, view: &View, change: &Change<Preparing>) -> Option<Command> {
        let map = &change.phase.map;
        let prepared = view.all(|status| status.stage == Stage::Prepared(map.generation));
        (!prepared).then(|| Command::Prepare {
            map: Arc::clone(map),
            bytes_per_second: self.settings.bytes_per_second,
        })
    }

    fn pending_releasing(&self, view: &View, change: &Change<Releasing>) -> Option<Command> {
        let switch = change.phase.switch;
        let generation = switch.generation;
        if view.all(|status| status.joined && status.current == Some(generation)) {
            return None;
        }
        let knows_switch = |status: &Status| {
            let released = status.stage == Stage::Released(switch);
            released || status.current.is_none_or(|current| current == generation)
        };
        if view.all(knows_switch) && view.statuses.values().any(|s| s.current.is_none()) {
            let next = (Arc::clone(&change.phase.map), switch.step);
            return Some(self.join_command(&change.before, Some(next)));
        }
        Some(Command::Release(switch))
    }

    fn pending_aborting(&self, view: &View, change: &Change<Aborting>) -> Option<Command> {
        if !view.confirmed || !view.all(view::is_steady) {
            return Some(Command::Abort(change.phase.generation));
        }
        if view.all(|status| status.joined) {
            return None;
        }
        Some(self.join_command(&change.before, None))
    }

    fn join_command(&self, base: &Arc<Map>, next: Option<(Arc<Map>, Step)>) -> Command {
        Command::Join {
            base: Arc::clone(base),
            next,
            bytes_per_second: self.settings.bytes_per_second,
        }
    }
}
