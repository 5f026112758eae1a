//! The router: the state of all units and the choice among them.

use std::collections::BTreeMap;
use std::time::Duration;

use auburnline_core::error::Kind;
use auburnline_core::id::GroupId;
use auburnline_core::id::ModelId;
use auburnline_core::id::PoolId;
use auburnline_core::load::Report;
use auburnline_core::time::Monotonic;
use rand::Rng;

use crate::candidate::View;
use crate::config::Config;
use crate::decision::Decision;
use crate::hint::Event;
use crate::hint::Table;
use crate::query::Query;
use crate::score::refused;
use crate::shard::Shard;
use crate::unit::Mark;
use crate::unit::Member;
use crate::unit::Ticket;
use crate::unit::Unit;

/// Maximum number of units that a router keeps.
pub const MAX_GROUPS: usize = 1024;

/// Pool and model that a shard serves.
type ShardKey = (PoolId, Option<ModelId>);

/// Chooses a unit for each request of one process.
#[derive(Debug)]
pub struct Router {
    config: Config,
    pub(crate) units: Vec<Option<Unit>>,
    pub(crate) index: BTreeMap<GroupId, u32>,
    pub(crate) shards: BTreeMap<ShardKey, Shard>,
    hints: Table,
}

impl Router {
    /// Returns a router without units.
    #[must_use]
    pub fn new(config: Config) -> Self {
        Router {
            config,
            units: Vec::new(),
            index: BTreeMap::new(),
            shards: BTreeMap::new(),
            hints: Table::new(),
        }
    }

    /// Adds a unit with its session down, or updates the published data of a known unit.
    ///
    /// Returns `false` if the unit is new and there are [`MAX_GROUPS`] already. The session state
    /// and the marks of a known unit are kept, even if its model changes.
    pub fn insert(&mut self, group: GroupId, member: Member) -> bool {
        if let Some(&index) = self.index.get(&group) {
            self.update_member(index, &member);
            return true;
        }
        let Some(index) = self.free_index() else {
            return false;
        };
        let shard = self.shards.entry(shard_key(&member)).or_default();
        shard.all.push(index);
        shard.dirty = true;
        self.units[index as usize] = Some(Unit::new(group.clone(), member));
        self.index.insert(group, index);
        true
    }

    /// Removes a unit that is no longer published, with its hints.
    pub fn remove(&mut self, group: &GroupId) {
        let Some(index) = self.index.remove(group) else {
            return;
        };
        if let Some(unit) = self.units[index as usize].take() {
            self.leave_shard(index, &unit.member);
        }
        self.hints.clear(index);
    }

    /// Returns the groups of all known units, sorted by name.
    pub fn groups(&self) -> impl Iterator<Item = &GroupId> {
        self.index.keys()
    }

    /// Records that the session to a unit is up or down.
    ///
    /// Hints are kept when a session ends. If the unit comes back as a new incarnation, the caller
    /// has to remove them with [`Event::Cleared`].
    pub fn set_session_up(&mut self, group: &GroupId, up: bool) {
        self.update_state(group, |unit| unit.set_session_up(up));
    }

    /// Sets or clears a mark that keeps new work from a unit.
    ///
    /// The router never clears a mark by itself; the caller decides when to.
    pub fn set_mark(&mut self, group: &GroupId, mark: Mark, on: bool) {
        self.update_state(group, |unit| unit.set_mark(mark, on));
    }

    /// Records a load report, unless a later measurement has been recorded.
    pub fn report(&mut self, group: &GroupId, report: Report, now: Monotonic) {
        let half_life = self.config.step_time_half_life;
        self.update_load(group, |unit| unit.report(report, half_life, now));
    }

    /// Records that a request was sent to a unit; pass the ticket to [`Router::record_finished`].
    ///
    /// Returns `None` if the unit is not known.
    pub fn record_sent(
        &mut self,
        group: &GroupId,
        query: &Query,
        now: Monotonic,
    ) -> Option<Ticket> {
        let index = *self.index.get(group)?;
        for (_, key) in query.prefix.keys() {
            self.hints.store(key, index, now);
        }
        self.update_load(group, |unit| unit.sent(query.tokens(), now))
    }

    /// Records that a request has ended at its unit, whatever its outcome.
    pub fn record_finished(&mut self, ticket: Ticket) {
        let Ticket { group, tokens, at } = ticket;
        self.update_load(&group, |unit| unit.finished(tokens, at));
    }

    /// Records a change in a unit's cache that happened `age` ago.
    pub fn cache_event(&mut self, group: &GroupId, event: Event, age: Duration, now: Monotonic) {
        let Some(&index) = self.index.get(group) else {
            return;
        };
        match event {
            Event::Stored(key) => self.hints.store(key, index, now.saturating_sub(age)),
            Event::Evicted(key) => self.hints.evict(key, index),
            Event::Cleared => self.hints.clear(index),
        }
    }

    /// Chooses a unit for `query`.
    ///
    /// Later decisions take the request into account only after the caller has passed it to
    /// [`record_sent`].
    ///
    /// [`record_sent`]: Router::record_sent
    pub fn route(&mut self, query: &Query, now: Monotonic, rng: &mut impl Rng) -> Decision {
        let key = (query.pool.clone(), query.model.clone());
        let Some(shard) = self.shards.get_mut(&key) else {
            return refused(query, unknown_kind(query));
        };
        shard.refresh(&self.units);
        if query.deadline.is_zero() {
            return refused(query, Kind::DeadlinePassed);
        }
        let view = View {
            config: &self.config,
            units: &self.units,
            hints: &self.hints,
            shard,
            query,
            now,
        };
        let drafts = view.gather(rng);
        let decision = view.decide(&drafts);
        self.assert_eligible(query, &decision);
        decision
    }

    /// Asserts that the chosen unit admits work, serves the query and is not excluded.
    fn assert_eligible(&self, query: &Query, decision: &Decision) {
        debug_assert!(decision.group().map_or(true, |group| {
            let index = self.index.get(group);
            let unit = index.and_then(|&index| self.units[index as usize].as_ref());
            unit.is_some_and(|unit| {
                unit.admits()
                    && unit.member.pool == query.pool
                    && unit.member.model == query.model
                    && !query.excluded.contains(group)
            })
        }));
    }

    fn free_index(&mut self) -> Option<u32> {
        let free = self.units.iter().position(Option::is_none);
        let index = free.unwrap_or(self.units.len());
        if index >= MAX_GROUPS {
            return None;
        }
        if index == self.units.len() {
            self.units.push(None);
        }
        u32::try_from(index).ok()
    }

    fn update_member(&mut self, index: u32, member: &Member) {
        let Some(unit) = self.units[index as usize].as_mut() else {
            return;
        };
        if unit.member == *member {
            return;
        }
        let old = std::mem::replace(&mut unit.member, member.clone());
        self.leave_shard(index, &old);
        let shard = self.shards.entry(shard_key(member)).or_default();
        shard.all.push(index);
        shard.dirty = true;
        if old.model != member.model {
            self.hints.clear(index);
        }
    }

    fn leave_shard(&mut self, index: u32, member: &Member) {
        let key = shard_key(member);
        if let Some(shard) = self.shards.get_mut(&key) {
            shard.all.retain(|&other| other != index);
            shard.dirty = true;
            if shard.all.is_empty() {
                self.shards.remove(&key);
            }
        }
    }

    /// Applies a change that may affect whether the unit admits work.
    fn update_state(&mut self, group: &GroupId, apply: impl FnOnce(&mut Unit)) {
        let Some(&index) = self.index.get(group) else {
            return;
        };
        let Some(unit) = self.units[index as usize].as_mut() else {
            return;
        };
        apply(unit);
        if let Some(shard) = self.shards.get_mut(&shard_key(&unit.member)) {
            shard.dirty = true;
        }
    }

    /// Applies a change to the unit's load and updates the sum of its shard.
    fn update_load<T>(&mut self, group: &GroupId, apply: impl FnOnce(&mut Unit) -> T) -> Option<T> {
        let index = *self.index.get(group)?;
        let unit = self.units[index as usize].as_mut()?;
        let before = unit.load();
        let value = apply(unit);
        let after = unit.load();
        let admits = unit.admits();
        if let Some(shard) = self.shards.get_mut(&shard_key(&unit.member))
            && admits
            && !shard.dirty
        {
            shard.backlog = shard.backlog.replace(before, after);
        }
        Some(value)
    }
}

fn shard_key(member: &Member) -> ShardKey {
    (member.pool.clone(), member.model.clone())
}

fn unknown_kind(query: &Query) -> Kind {
    if query.model.is_some() {
        Kind::UnknownModel
    } else {
        Kind::UnknownRoute
    }
}
