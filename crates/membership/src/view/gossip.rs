//! Gossip that a view receives from other entries and forwards to them.

use auburnline_core::id::InstanceId;
use auburnline_core::time::Monotonic;

use crate::mark::Cause;
use crate::mark::Rumour;
use crate::view::Action;
use crate::view::View;

/// Maximum number of rumours in one message; a receiver ignores those beyond it.
pub const MAX_RUMOURS: usize = 256;

impl View {
    pub(super) fn rumours(
        &mut self,
        from: &InstanceId,
        rumours: Vec<Rumour>,
        now: Monotonic,
        actions: &mut Vec<Action>,
    ) {
        let mut updates = Vec::new();
        for rumour in rumours.into_iter().take(MAX_RUMOURS) {
            if *rumour.instance() == self.me {
                continue;
            }
            if self.apply_rumour(from, &rumour, now, actions) {
                updates.push(rumour);
            }
        }
        // A suspicion is evidence only from the entry that observed it, so it is not forwarded.
        updates.retain(|rumour| !matches!(rumour, Rumour::Suspect { .. }));
        self.forward(Some(from), &updates, actions);
    }

    /// Applies one rumour; returns whether it changed this view.
    pub(super) fn apply_rumour(
        &mut self,
        from: &InstanceId,
        rumour: &Rumour,
        now: Monotonic,
        actions: &mut Vec<Action>,
    ) -> bool {
        match rumour {
            Rumour::Leaving {
                instance,
                incarnation,
            } => self.mark(instance, *incarnation, Cause::Rumour, actions),
            Rumour::Listed { instance, version } => self.listed(instance, *version, actions),
            Rumour::Replaced {
                instance,
                incarnation,
                retired,
            } => self
                .record(instance)
                .is_some_and(|record| record.replaced(*incarnation, retired)),
            Rumour::Suspect {
                instance,
                incarnation,
            } => self
                .record(instance)
                .is_some_and(|record| record.suspect(from.clone(), *incarnation, now)),
        }
    }

    pub(super) fn forward(
        &self,
        from: Option<&InstanceId>,
        updates: &[Rumour],
        actions: &mut Vec<Action>,
    ) {
        if updates.is_empty() {
            return;
        }
        for neighbour in &self.neighbours {
            let record = self.records.get(neighbour);
            let is_up = record.is_some_and(|record| record.session.is_some());
            if is_up && Some(neighbour) != from {
                actions.push(Action::Send(neighbour.clone(), updates.to_vec()));
            }
        }
    }

    pub(super) fn send_all(&self, neighbour: &InstanceId, actions: &mut Vec<Action>) {
        let all = self.records.iter();
        let rumours: Vec<Rumour> = all
            .flat_map(|(name, record)| record.rumours(name))
            .collect();
        for chunk in rumours.chunks(MAX_RUMOURS) {
            actions.push(Action::Send(neighbour.clone(), chunk.to_vec()));
        }
    }

    pub(super) fn listed(
        &mut self,
        instance: &InstanceId,
        version: u64,
        actions: &mut Vec<Action>,
    ) -> bool {
        let is_older = self.version.is_some_and(|held| held >= version);
        let record = self.record(instance).filter(|_| !is_older);
        let is_new = record.is_some_and(|record| record.mark_by_list(version));
        if is_new {
            Self::stop_work(instance, Cause::List, actions);
        }
        is_new
    }
}
