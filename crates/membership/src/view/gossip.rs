//! What a view takes from other entries and passes on to them.

use auburnline_core::id::InstanceId;
use auburnline_core::time::Monotonic;

use crate::mark::Cause;
use crate::mark::Rumour;
use crate::view::Action;
use crate::view::View;

/// Most rumours that one message carries.
pub const MAX_RUMOURS: usize = 256;

impl View {
    pub(super) fn rumours(
        &mut self,
        from: &InstanceId,
        rumours: Vec<Rumour>,
        now: Monotonic,
        actions: &mut Vec<Action>,
    ) {
        let mut news = Vec::new();
        for rumour in rumours.into_iter().take(MAX_RUMOURS) {
            if *rumour.instance() == self.me {
                continue;
            }
            if self.apply_rumour(from, &rumour, now, actions) {
                news.push(rumour);
            }
        }
        // A suspicion is worth only what its first reporter saw, so it travels one link.
        news.retain(|rumour| !matches!(rumour, Rumour::Suspect { .. }));
        self.forward(Some(from), &news, actions);
    }

    /// Takes one rumour; returns whether it is news.
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
        news: &[Rumour],
        actions: &mut Vec<Action>,
    ) {
        if news.is_empty() {
            return;
        }
        for neighbour in &self.neighbours {
            let record = self.records.get(neighbour);
            let is_up = record.is_some_and(|record| record.session.is_some());
            if is_up && Some(neighbour) != from {
                actions.push(Action::Send(neighbour.clone(), news.to_vec()));
            }
        }
    }

    pub(super) fn send_all(&self, neighbour: &InstanceId, actions: &mut Vec<Action>) {
        let all = self.records.iter();
        let rumours: Vec<Rumour> = all
            .flat_map(|(name, record)| record.rumours(name))
            .collect();
        for part in rumours.chunks(MAX_RUMOURS) {
            actions.push(Action::Send(neighbour.clone(), part.to_vec()));
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
        let is_news = record.is_some_and(|record| record.mark_by_list(version));
        if is_news {
            Self::stop_work(instance, Cause::List, actions);
        }
        is_news
    }
}
