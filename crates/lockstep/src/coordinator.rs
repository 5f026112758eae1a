//! Coordinator of a group's map changes, run by the leader: the sidecar next to rank 0.
//!
//! It keeps the latest reported state of each rank, plans a new layout when no change is in progress, and
//! drives the change through its phases. After a restart it first collects the state of all ranks and
//! resumes the change that it finds. Map versions are derived from the time of day, so that a delayed order
//! of a previous coordinator carries a lower version and is refused.

mod ordering;
mod planning;
mod stats;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use auburnline_core::id::Expert;
use auburnline_core::id::Rank;
use auburnline_core::id::Step;
use auburnline_core::time::Monotonic;

use crate::change::Change;
use crate::change::orphaned_hold;
use crate::coordinator::planning::Stage;
use crate::cost::Cost;
use crate::layout::Layout;
use crate::layout::Shape;
use crate::output::Dispatch;
use crate::output::Event;
use crate::outstanding::Outstanding;
use crate::passes::Passes;
use crate::popularity::Popularity;
use crate::rank::Epoch;
use crate::rank::NOMINAL_SLOWDOWN_PERCENT;
use crate::rank::State;
use crate::rank::Version;
use crate::traffic::Link;
use crate::traffic::Pacer;

/// Rank whose sidecar runs the coordinator.
pub const LEADER_RANK: Rank = 0;
/// Rank that is held. It is not the leader's rank, whose instance may freeze right after sending the order.
pub const HOLDER: Rank = 1;
/// Passes between the newest one seen and the one to hold. The orders take less than a pass; one that
/// arrives too late is refused and sent again for a later pass. A hold that is reached early makes the
/// group wait some milliseconds.
const PASSES_AHEAD: Step = 2;
/// The same if enough of the running pass is left to arm all ranks before it ends. With long passes this
/// puts a change in force sooner.
const PASSES_AHEAD_IN_TIME: Step = 1;
/// Time to arm all ranks on a small share of a core: four messages and one poll of each rank.
const ARM_TIME: Duration = Duration::from_millis(45);

/// Increase of a rank's slowdown, in percentage points, above which it counts as a new straggler.
const STRAGGLER_PERCENT_RISE: u16 = 30;

#[derive(Clone, Debug)]
struct Member {
    state: State,
    seen: Monotonic,
    held: Option<Vec<Vec<Expert>>>,
}

/// Parameters of a coordinator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Service {
    /// Expert dimensions of the model, as published.
    pub shape: Shape,
    /// Cost model of a pass, as published.
    pub cost: Cost,
    /// Network link of the leader's instance.
    pub link: Link,
}

/// Layout with its map version.
#[derive(Clone, Debug)]
struct Versioned {
    version: Version,
    layout: Arc<Layout>,
}

/// Coordinator of one group.
pub struct Coordinator {
    shape: Shape,
    cost: Cost,
    members: BTreeMap<Rank, Member>,
    epoch: Option<Epoch>,
    popularity: Popularity,
    in_force: Option<Versioned>,
    next: Option<Versioned>,
    change: Option<Change>,
    change_started: Monotonic,
    /// Longest time that any rank copies weights for the current change.
    copy_time: Duration,
    outstanding: Outstanding,
    link: Link,
    /// Limits the rate at which full maps are sent.
    full_maps: Pacer,
    planned_at: Monotonic,
    passes: Passes,
    stage: Stage,
    /// Newest pass that a previous coordinator may have held in this epoch; zero until all ranks were seen.
    floor: Step,
    /// Time of day at the start of the process.
    started: Duration,
    events: Vec<Event>,
}

impl Coordinator {
    /// Returns a coordinator that has seen no rank. `started` is the time of day at which the clock of
    /// `now` was zero.
    #[must_use]
    pub fn new(service: Service, started: Duration, now: Monotonic) -> Coordinator {
        let Service { shape, cost, link } = service;
        Coordinator {
            shape,
            cost,
            members: BTreeMap::new(),
            epoch: None,
            popularity: Popularity::new(shape.layers, shape.experts),
            in_force: None,
            next: None,
            change: None,
            change_started: now,
            copy_time: Duration::ZERO,
            outstanding: Outstanding::default(),
            link,
            full_maps: Pacer::default(),
            planned_at: now,
            passes: Passes::default(),
            stage: Stage::Immediate,
            floor: 0,
            started,
            events: Vec::new(),
        }
    }

    /// Returns whether the ranks must report the experts that they hold.
    #[must_use]
    pub fn needs_layout(&self) -> bool {
        self.epoch.is_some() && self.in_force.is_none()
    }

    /// Returns whether all ranks were seen and report that the group serves.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.has_all_ranks() && self.members.values().all(|member| member.state.is_open)
    }

    /// Returns the map version of the change in progress.
    #[must_use]
    pub fn change_version(&self) -> Option<Version> {
        self.change.as_ref().map(Change::version)
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Records the state of one rank, its expert activations since the last report, layer by layer, and the
    /// experts that it holds, if reported.
    pub fn observe(
        &mut self,
        state: State,
        activations: &[u32],
        held: Option<Vec<Vec<Expert>>>,
        now: Monotonic,
    ) {
        if self.epoch.is_none_or(|epoch| state.epoch > epoch) {
            self.start_epoch(state.epoch);
        }
        if self.epoch != Some(state.epoch) {
            return;
        }
        let is_complete = activations.len() == self.shape.layers * self.shape.experts;
        let shift = is_complete
            .then(|| self.popularity.add(activations, now))
            .flatten();
        if let Some(distance) = shift {
            self.events.push(Event::Shifted(distance));
            self.planned_at = Monotonic::ZERO;
            self.stage = Stage::Immediate;
        }
        self.passes.observe(state.step, now);
        let before = self.members.remove(&state.rank);
        let known = before.as_ref().map_or(NOMINAL_SLOWDOWN_PERCENT, |member| {
            member.state.slowdown_percent
        });
        if state.slowdown_percent > known.saturating_add(STRAGGLER_PERCENT_RISE) {
            // All other ranks wait for it, as after a shift of demand.
            self.planned_at = Monotonic::ZERO;
            self.stage = Stage::FollowUp;
        }
        let held = held.or(before.and_then(|member| member.held));
        let member = Member {
            held,
            seen: now,
            state,
        };
        self.members.insert(member.state.rank, member);
    }

    /// Records that a rank's engine restarted under its id. It has lost its earlier state, so all ranks must
    /// be seen again before the next order.
    pub fn rank_restarted(&mut self, rank: Rank) {
        if self.members.contains_key(&rank)
            && let Some(epoch) = self.epoch
        {
            self.start_epoch(epoch);
        }
    }

    /// Starts an epoch; whatever was prepared, armed or held before is void.
    fn start_epoch(&mut self, epoch: Epoch) {
        if let Some(change) = self.change.take() {
            self.events
                .push(Event::Aborted(change.version(), "new epoch"));
        }
        self.epoch = Some(epoch);
        self.members.clear();
        self.outstanding.clear();
        self.in_force = None;
        self.next = None;
        self.floor = 0;
        self.passes = Passes::default();
        self.stage = Stage::Immediate;
        self.events.push(Event::Formed(epoch));
    }

    /// Returns the orders to send now.
    pub fn tick(&mut self, now: Monotonic) -> Vec<Dispatch> {
        if !self.has_all_ranks() {
            return Vec::new();
        }
        self.update_in_force();
        self.init_floor();
        if self.change.is_none() {
            self.resume(now);
        }
        if self.change.is_none() {
            if let Some(step) = orphaned_hold(&self.states(), HOLDER) {
                return self.release_orphaned_hold(step, now);
            }
            self.start_change(now);
        }
        self.advance(now)
    }

    /// Sets the newest pass that a previous coordinator may have held. It saw no newer pass than the newest one
    /// that this coordinator sees first.
    fn init_floor(&mut self) {
        if self.floor == 0 {
            let steps = self.members.values().map(|member| member.state.step);
            self.floor = steps.max().unwrap_or(0) + PASSES_AHEAD;
        }
    }

    /// Returns whether every rank of the group was seen.
    fn has_all_ranks(&self) -> bool {
        let size = self.members.values().next().map(|member| member.state.size);
        size.is_some_and(|size| self.members.len() == usize::from(size))
    }

    /// Returns how many passes after the newest one seen to place the next hold.
    fn passes_ahead(&self, now: Monotonic) -> Step {
        let left = self.passes.left(now).unwrap_or_default();
        if left >= ARM_TIME {
            PASSES_AHEAD_IN_TIME
        } else {
            PASSES_AHEAD
        }
    }

    fn states(&self) -> Vec<&State> {
        self.members.values().map(|member| &member.state).collect()
    }

    /// Determines the layout in force once all ranks report the same version.
    fn update_in_force(&mut self) {
        let states = self.states();
        let Some(first) = states.first() else {
            return;
        };
        let version = first.version;
        if states.iter().any(|state| state.version != version) {
            return;
        }
        if self
            .in_force
            .as_ref()
            .is_some_and(|known| known.version == version)
        {
            return;
        }
        let size = first.size;
        let next = self.next.take_if(|known| known.version == version);
        let known = next.map(|known| known.layout).or_else(|| {
            let is_initial = version == 0;
            is_initial.then(|| Arc::new(Layout::initial(&self.shape, size)))
        });
        let layout = known.or_else(|| self.reported_layout().map(Arc::new));
        self.in_force = layout.map(|layout| Versioned { version, layout });
    }

    /// Returns the layout as reported by the ranks; none until each has reported its experts.
    fn reported_layout(&self) -> Option<Layout> {
        let ranks: Option<Vec<_>> = self
            .members
            .values()
            .map(|member| member.held.clone())
            .collect();
        let ranks = ranks?;
        let layer = |layer: usize| {
            let held = ranks.iter().map(|held| held.get(layer).cloned());
            held.collect::<Option<Vec<_>>>()
        };
        let layers: Option<Vec<_>> = (0..self.shape.layers).map(layer).collect();
        layers.map(Layout)
    }

    fn resume(&mut self, now: Monotonic) {
        let Some(change) = Change::recover(&self.states(), HOLDER, self.floor) else {
            return;
        };
        self.events
            .push(Event::Resumed(change.version(), change.phase()));
        self.change = Some(change);
        self.change_started = now;
    }
}
