//! This process's view of all instances.
//!
//! An up session outranks the list for "up". A leaving notice, once given, holds for its
//! incarnation; a mark by the list until a higher version says live; a mark by the preset until a
//! higher revision in force drops it. An older view undoes none of them. What is news goes on to the gossip neighbours at once; a neighbour whose session comes up gets all.

mod event;
mod gossip;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use auburnline_core::id::Incarnation;
use auburnline_core::id::InstanceId;
use auburnline_core::id::Revision;
use auburnline_core::time::Monotonic;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::beat;
use crate::beat::Beat;
use crate::list::List;
use crate::list::Listed;
use crate::mark::Cause;
use crate::mark::Rumour;
use crate::note::Note;
use crate::record::Record;

pub use crate::view::event::Action;
pub use crate::view::event::Event;
pub use crate::view::gossip::MAX_RUMOURS;

/// Most instances that are kept in mind.
pub const MAX_INSTANCES: usize = 4096;
/// What holds for one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// Whether a session is up that is not silent.
    pub is_up: bool,
    /// Whether the instance is believed to live.
    pub is_live: bool,
    /// Who says that it leaves.
    pub leaving: Option<Cause>,
    /// Age of the last word over the session.
    pub age: Option<Duration>,
}

/// The view.
#[derive(Debug)]
pub struct View {
    me: InstanceId,
    rng: ChaCha8Rng,
    records: BTreeMap<InstanceId, Record>,
    version: Option<u64>,
    revision: Revision,
    wanted: BTreeSet<InstanceId>,
    neighbours: BTreeSet<InstanceId>,
}

impl View {
    /// Returns a view that knows nothing.
    #[must_use]
    pub fn new(me: InstanceId, seed: u64) -> Self {
        Self {
            me,
            rng: ChaCha8Rng::seed_from_u64(seed),
            records: BTreeMap::new(),
            version: None,
            revision: 0,
            wanted: BTreeSet::new(),
            neighbours: BTreeSet::new(),
        }
    }

    /// Returns what holds for an instance.
    #[must_use]
    pub fn standing(&self, instance: &str, now: Monotonic) -> Standing {
        let Some(record) = self.records.get(instance) else {
            return Standing {
                is_up: false,
                is_live: false,
                leaving: None,
                age: None,
            };
        };
        let session = record.session;
        let is_up = session.is_some_and(|session| session.silent_at > now);
        // Without any list, the published configuration is all there is to believe.
        let is_listed = self.version.is_none() || record.listed != Listed::Absent;
        Standing {
            is_up,
            is_live: is_up || (is_listed && !record.is_suspect(now)),
            leaving: record.leaving(),
            age: session.map(|session| now.saturating_sub(session.heard)),
        }
    }

    /// Returns whether an instance may get new work: a session is up and nobody says it leaves.
    #[must_use]
    pub fn may_get_work(&self, instance: &str, now: Monotonic) -> bool {
        let standing = self.standing(instance, now);
        standing.is_up && standing.leaving.is_none()
    }

    /// Returns the instances believed to live, leaving ones among them, in the order of names.
    pub fn live(&self, now: Monotonic) -> impl Iterator<Item = &InstanceId> {
        let names = self.records.keys();
        names.filter(move |name| self.standing(name, now).is_live)
    }

    /// Returns the incarnation of an instance that is known last.
    #[must_use]
    pub fn incarnation(&self, instance: &str) -> Option<Incarnation> {
        self.records.get(instance)?.incarnation()
    }

    /// Decides what to do about `event`.
    pub fn handle(&mut self, event: Event, now: Monotonic) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::List(list) => self.list(&list, &mut actions),
            Event::Fleet {
                revision,
                instances,
                drains,
            } => self.fleet(revision, &instances, &drains, &mut actions),
            Event::Wanted(wanted) => self.set_wanted(wanted, &mut actions),
            Event::Neighbours(neighbours) => self.neighbours = neighbours,
            Event::SessionUp(instance, incarnation) => {
                self.session_up(&instance, incarnation, now, &mut actions);
            }
            Event::SessionDown(instance) => self.session_down(&instance, now),
            Event::Heard(instance, beat) => self.heard(instance, beat, now, &mut actions),
            Event::Notice(instance, incarnation) => {
                self.notice(instance, incarnation, &mut actions);
            }
            Event::Rumours(from, rumours) => self.rumours(&from, rumours, now, &mut actions),
            Event::Paused => self.paused(&mut actions),
        }
        actions
    }

    /// Returns the record of an instance, if there is room for it.
    fn record(&mut self, instance: &InstanceId) -> Option<&mut Record> {
        let is_full = self.records.len() >= MAX_INSTANCES;
        if is_full && !self.records.contains_key(instance) {
            return None;
        }
        Some(self.records.entry(instance.clone()).or_default())
    }

    fn tick(&mut self, now: Monotonic, actions: &mut Vec<Action>) {
        let mut news = Vec::new();
        for (name, record) in &mut self.records {
            if let Some(session) = record.session.take_if(|session| session.silent_at <= now) {
                let silence = now.saturating_sub(session.heard);
                let instance = name.clone();
                actions.push(Action::Close(name.clone()));
                actions.push(Action::Log(Note::Silent { instance, silence }));
                record.reopen_at = now;
                news.extend(record.incarnation().map(|incarnation| Rumour::Suspect {
                    instance: name.clone(),
                    incarnation,
                }));
            }
        }
        self.forward(None, &news, actions);
        for name in &self.wanted {
            let Some(record) = self.records.get_mut(name) else {
                continue;
            };
            if record.session.is_none() && record.reopen_at <= now {
                let delay = beat::reopen_delay(record.attempts, self.rng.random());
                record.attempts = record.attempts.saturating_add(1);
                record.reopen_at = now + delay + beat::GRACE;
                actions.push(Action::Open(name.clone()));
            }
        }
    }

    fn list(&mut self, list: &List, actions: &mut Vec<Action>) {
        if let Some(held) = self.version.filter(|&held| held >= list.version) {
            if held > list.version {
                let version = list.version;
                actions.push(Action::Log(Note::OldList { version, held }));
            }
            return;
        }
        self.version = Some(list.version);
        for instance in list.live.iter().chain(&list.leaving) {
            self.record(instance);
        }
        let mut marked = Vec::new();
        for (name, record) in &mut self.records {
            if record.list(list.listed(name), list.version) {
                marked.push(name.clone());
            }
        }
        let mut news = Vec::new();
        for instance in marked {
            Self::stop_work(&instance, Cause::List, actions);
            let version = list.version;
            news.push(Rumour::Listed { instance, version });
        }
        self.forward(None, &news, actions);
    }

    fn fleet(
        &mut self,
        revision: Revision,
        instances: &BTreeSet<InstanceId>,
        drains: &BTreeSet<InstanceId>,
        actions: &mut Vec<Action>,
    ) {
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        for instance in instances {
            self.record(instance);
        }
        let is_listed = |record: &Record| record.listed != Listed::Absent;
        self.records.retain(|name, record| {
            instances.contains(name) || record.session.is_some() || is_listed(record)
        });
        let mut marked = Vec::new();
        let cause = Cause::Preset(revision);
        for (name, record) in &mut self.records {
            if record.preset(drains.contains(name).then_some(cause)) {
                marked.push(name.clone());
            }
        }
        for name in marked {
            Self::stop_work(&name, cause, actions);
        }
    }

    fn set_wanted(&mut self, wanted: BTreeSet<InstanceId>, actions: &mut Vec<Action>) {
        for name in self.wanted.difference(&wanted) {
            let session = self.records.get_mut(name).map(|record| &mut record.session);
            if session.and_then(Option::take).is_some() {
                actions.push(Action::Close(name.clone()));
            }
        }
        for name in &wanted {
            self.record(name);
        }
        self.wanted = wanted;
        self.wanted.remove(&self.me);
    }

    fn session_up(
        &mut self,
        instance: &InstanceId,
        incarnation: Incarnation,
        now: Monotonic,
        actions: &mut Vec<Action>,
    ) {
        let is_neighbour = self.neighbours.contains(instance);
        let Some(record) = self.record(instance) else {
            return;
        };
        let was_leaving = record.leaving().is_some();
        let is_replaced = record.confirm_incarnation(incarnation);
        record.heard(beat::IDLE_PERIOD, now);
        let leaving = record.leaving();
        let news = record.rumours(instance);
        if is_replaced {
            let instance = instance.clone();
            actions.push(Action::Log(Note::Replaced {
                instance,
                incarnation,
            }));
        }
        if let Some(cause) = leaving.filter(|_| !was_leaving || is_replaced) {
            Self::stop_work(instance, cause, actions);
        }
        if is_replaced || (was_leaving && leaving.is_some()) {
            self.forward(Some(instance), &news, actions);
        }
        if is_neighbour {
            self.send_all(instance, actions);
        }
    }

    fn heard(
        &mut self,
        instance: InstanceId,
        beat: Beat,
        now: Monotonic,
        actions: &mut Vec<Action>,
    ) {
        let record = self.records.get_mut(&instance);
        let Some(record) = record.filter(|record| record.session.is_some()) else {
            return;
        };
        record.heard(beat.next, now);
        if let Some(incarnation) = record.incarnation().filter(|_| beat.is_leaving) {
            self.notice(instance, incarnation, actions);
        }
    }

    fn session_down(&mut self, instance: &InstanceId, now: Monotonic) {
        let part = self.rng.random();
        if let Some(record) = self.records.get_mut(instance) {
            record.session = None;
            let again = now + beat::reopen_delay(record.attempts, part);
            record.reopen_at = again;
        }
    }

    /// Marks an incarnation as leaving; returns whether that is news.
    fn mark(
        &mut self,
        instance: &InstanceId,
        incarnation: Incarnation,
        cause: Cause,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(record) = self.record(instance) else {
            return false;
        };
        if !record.mark(incarnation, cause) {
            return false;
        }
        if record
            .incarnation()
            .is_none_or(|known| known == incarnation)
        {
            Self::stop_work(instance, cause, actions);
        }
        true
    }

    fn notice(
        &mut self,
        instance: InstanceId,
        incarnation: Incarnation,
        actions: &mut Vec<Action>,
    ) {
        if self.mark(&instance, incarnation, Cause::Notice, actions) {
            let news = Rumour::Leaving {
                instance,
                incarnation,
            };
            self.forward(None, &[news], actions);
        }
    }

    fn stop_work(instance: &InstanceId, cause: Cause, actions: &mut Vec<Action>) {
        let marked = instance.clone();
        actions.push(Action::Log(Note::Marked {
            instance: marked,
            cause,
        }));
        actions.push(Action::Stop(instance.clone(), cause));
    }

    /// Closes all sessions: what they brought before the pause may be long untrue.
    fn paused(&mut self, actions: &mut Vec<Action>) {
        for (name, record) in &mut self.records {
            if record.session.take().is_some() {
                record.reopen_at = Duration::ZERO;
                actions.push(Action::Close(name.clone()));
            }
        }
    }
}
