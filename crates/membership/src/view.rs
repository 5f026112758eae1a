//! This process's view of all instances.
//!
//! For liveness, a session that is up overrides the list. A leaving notice applies to its
//! incarnation for good. A mark by the list applies until a higher version lists the instance as
//! live or the instance restarts, a mark by the preset until a higher revision in force clears it.
//! Older information clears none of them. New information is forwarded to the gossip neighbours at
//! once; a neighbour whose session comes up is sent all marks and replacements.

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

use crate::heartbeat;
use crate::heartbeat::Heartbeat;
use crate::list::List;
use crate::list::Listed;
use crate::mark::Cause;
use crate::mark::Rumour;
use crate::note::Note;
use crate::record::Record;

pub use crate::view::event::Action;
pub use crate::view::event::Event;
pub use crate::view::gossip::MAX_RUMOURS;

/// Maximum number of instances in a view; further ones are ignored.
pub const MAX_INSTANCES: usize = 4096;

/// Membership state of one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Status {
    /// Whether a session to it is up and has not timed out.
    pub is_up: bool,
    /// Whether the instance is considered alive: up, or listed and not suspected by a quorum.
    pub is_live: bool,
    /// Source of its leaving mark, if it has one.
    pub leaving: Option<Cause>,
    /// Time since the last message over the session; absent without one.
    pub age: Option<Duration>,
}

/// Membership of the fleet as this process sees it.
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
    /// Returns an empty view of the instance `me`; `seed` seeds the jitter of reconnects.
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

    /// Returns the state of an instance; an unknown one is neither up nor alive.
    #[must_use]
    pub fn status(&self, instance: &str, now: Monotonic) -> Status {
        let Some(record) = self.records.get(instance) else {
            return Status {
                is_up: false,
                is_live: false,
                leaving: None,
                age: None,
            };
        };
        let session = record.session;
        let is_up = session.is_some_and(|session| session.silent_at > now);
        // Until the first list arrives, the published configuration is the only source, so every
        // instance counts as listed.
        let is_listed = self.version.is_none() || record.listed != Listed::Absent;
        Status {
            is_up,
            is_live: is_up || (is_listed && !record.is_suspect(now)),
            leaving: record.leaving(),
            age: session.map(|session| now.saturating_sub(session.heard)),
        }
    }

    /// Returns whether an instance may get new work: a session is up and no mark says it leaves.
    #[must_use]
    pub fn may_get_work(&self, instance: &str, now: Monotonic) -> bool {
        let status = self.status(instance, now);
        status.is_up && status.leaving.is_none()
    }

    /// Returns the instances considered alive, including leaving ones, ordered by name.
    pub fn live(&self, now: Monotonic) -> impl Iterator<Item = &InstanceId> {
        let names = self.records.keys();
        names.filter(move |name| self.status(name, now).is_live)
    }

    /// Returns the last known incarnation of an instance.
    #[must_use]
    pub fn incarnation(&self, instance: &str) -> Option<Incarnation> {
        self.records.get(instance)?.incarnation()
    }

    /// Applies `event` and returns the resulting actions.
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
            Event::Heartbeat(instance, heartbeat) => {
                self.heard(instance, heartbeat, now, &mut actions);
            }
            Event::Notice(instance, incarnation) => {
                self.notice(instance, incarnation, &mut actions);
            }
            Event::Rumours(from, rumours) => self.rumours(&from, rumours, now, &mut actions),
            Event::Paused => self.paused(&mut actions),
        }
        actions
    }

    /// Returns the record of an instance, created if it is new; `None` if the view is full.
    fn record(&mut self, instance: &InstanceId) -> Option<&mut Record> {
        let is_full = self.records.len() >= MAX_INSTANCES;
        if is_full && !self.records.contains_key(instance) {
            return None;
        }
        Some(self.records.entry(instance.clone()).or_default())
    }

    fn tick(&mut self, now: Monotonic, actions: &mut Vec<Action>) {
        let mut updates = Vec::new();
        for (name, record) in &mut self.records {
            if let Some(session) = record.session.take_if(|session| session.silent_at <= now) {
                let silence = now.saturating_sub(session.heard);
                let instance = name.clone();
                actions.push(Action::Close(name.clone()));
                actions.push(Action::Log(Note::Silent { instance, silence }));
                record.reopen_at = now;
                updates.extend(record.incarnation().map(|incarnation| Rumour::Suspect {
                    instance: name.clone(),
                    incarnation,
                }));
            }
        }
        self.forward(None, &updates, actions);
        for name in &self.wanted {
            let Some(record) = self.records.get_mut(name) else {
                continue;
            };
            if record.session.is_none() && record.reopen_at <= now {
                let delay = heartbeat::reopen_delay(record.attempts, self.rng.random());
                record.attempts = record.attempts.saturating_add(1);
                record.reopen_at = now + delay + heartbeat::GRACE;
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
        let mut updates = Vec::new();
        for instance in marked {
            Self::stop_work(&instance, Cause::List, actions);
            let version = list.version;
            updates.push(Rumour::Listed { instance, version });
        }
        self.forward(None, &updates, actions);
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
        let is_listed = |record: &Record| record.listed != Listed::Absent;
        self.records.retain(|name, record| {
            instances.contains(name) || record.session.is_some() || is_listed(record)
        });
        // Those that are gone make room in a full view.
        for instance in instances {
            self.record(instance);
        }
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
        record.heard(heartbeat::IDLE_PERIOD, now);
        let leaving = record.leaving();
        let updates = record.rumours(instance);
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
            self.forward(Some(instance), &updates, actions);
        }
        if is_neighbour {
            self.send_all(instance, actions);
        }
    }

    fn heard(
        &mut self,
        instance: InstanceId,
        heartbeat: Heartbeat,
        now: Monotonic,
        actions: &mut Vec<Action>,
    ) {
        let record = self.records.get_mut(&instance);
        let Some(record) = record.filter(|record| record.session.is_some()) else {
            return;
        };
        record.heard(heartbeat.next, now);
        if let Some(incarnation) = record.incarnation().filter(|_| heartbeat.is_leaving) {
            self.notice(instance, incarnation, actions);
        }
    }

    fn session_down(&mut self, instance: &InstanceId, now: Monotonic) {
        let jitter = self.rng.random();
        if let Some(record) = self.records.get_mut(instance) {
            record.session = None;
            let reopen_at = now + heartbeat::reopen_delay(record.attempts, jitter);
            record.reopen_at = reopen_at;
        }
    }

    /// Marks an incarnation as leaving; returns whether the mark is new.
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
            let update = Rumour::Leaving {
                instance,
                incarnation,
            };
            self.forward(None, &[update], actions);
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

    /// Closes all sessions: what they reported before the pause may be long out of date.
    fn paused(&mut self, actions: &mut Vec<Action>) {
        for (name, record) in &mut self.records {
            if record.session.take().is_some() {
                record.reopen_at = Duration::ZERO;
                actions.push(Action::Close(name.clone()));
            }
        }
    }
}
