//! The sidecar beside rank 0, which leads its group's changes.
//!
//! It keeps the newest sight of each rank, decides on a new layout when none is under way, and takes
//! the change through its phases. After a restart it looks at all ranks first and takes over what it
//! finds. Versions are times of day, so that a late order of the one before has a lower version and is
//! refused.

mod ordering;
mod planning;
mod pulse;

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
use crate::outstanding::Outstanding;
use crate::passes::Passes;
use crate::popularity::Popularity;
use crate::sight::Epoch;
use crate::sight::Sight;
use crate::sight::USUAL_PACE;
use crate::sight::Version;
use crate::told::Note;
use crate::told::Send;
use crate::traffic::Link;
use crate::traffic::Pacer;

/// Rank beside which the coordinator runs.
pub const LEADER: Rank = 0;
/// Rank that holds: not the leader's, whose instance may freeze right after it gave the order.
pub const HOLDER: Rank = 1;
/// Passes between the newest one seen and the one to hold. The orders take less than a pass; one that
/// comes too late is refused and given again for a later pass, and a hold that stands early makes the
/// group wait some milliseconds.
const AHEAD: Step = 2;
/// Passes between them where enough of the running one is left to arm all ranks before it ends: where passes are long, a
/// change is in force the sooner.
const AHEAD_IN_TIME: Step = 1;
/// What arming all ranks takes on a small part of a core: four messages and a look at each rank.
const TO_ARM: Duration = Duration::from_millis(45);

/// Hundredths by which a rank's pace rises when it turns slow.
const TURNED_SLOW: u16 = 30;

#[derive(Clone, Debug)]
struct Member {
    sight: Sight,
    seen: Monotonic,
    held: Option<Vec<Vec<Expert>>>,
}

/// What a coordinator works for, and with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Service {
    /// Published shape of the experts.
    pub shape: Shape,
    /// Published cost of a pass.
    pub cost: Cost,
    /// Link of the own instance.
    pub link: Link,
}

/// Layout with its number.
#[derive(Clone, Debug)]
struct Versioned {
    version: Version,
    layout: Arc<Layout>,
}

/// State of the coordinator.
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
    /// Longest copying on a rank for the change under way.
    copy_time: Duration,
    outstanding: Outstanding,
    link: Link,
    /// When the next whole map may leave.
    full_maps: Pacer,
    planned_at: Monotonic,
    passes: Passes,
    stage: Stage,
    /// Newest pass that a coordinator before may have held in this epoch; zero until ranks were seen.
    floor: Step,
    /// Time of day at the start of the process.
    started: Duration,
    notes: Vec<Note>,
}

impl Coordinator {
    /// Returns a coordinator that has seen nothing; `started` is the time of day at which the clock of
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
            notes: Vec::new(),
        }
    }

    /// Returns whether the ranks must tell what they hold.
    #[must_use]
    pub fn wants_layout(&self) -> bool {
        self.epoch.is_some() && self.in_force.is_none()
    }

    /// Returns whether all ranks were seen in a group that serves.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.has_all_ranks() && self.members.values().all(|member| member.sight.is_open)
    }

    /// Returns the map of the change under way.
    #[must_use]
    pub fn changing(&self) -> Option<Version> {
        self.change.as_ref().map(Change::version)
    }

    /// Returns what there is to tell since the last call.
    pub fn notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// Takes the state of one rank.
    pub fn see(
        &mut self,
        sight: Sight,
        choices: &[u32],
        held: Option<Vec<Vec<Expert>>>,
        now: Monotonic,
    ) {
        if self.epoch.is_none_or(|epoch| sight.epoch > epoch) {
            self.form(sight.epoch);
        }
        if self.epoch != Some(sight.epoch) {
            return;
        }
        let is_whole = choices.len() == self.shape.layers * self.shape.experts;
        let shift = is_whole
            .then(|| self.popularity.add(choices, now))
            .flatten();
        if let Some(distance) = shift {
            self.notes.push(Note::Shifted(distance));
            self.planned_at = Monotonic::ZERO;
            self.stage = Stage::Immediate;
        }
        self.passes.observe(sight.step, now);
        let before = self.members.remove(&sight.rank);
        let known = before
            .as_ref()
            .map_or(USUAL_PACE, |member| member.sight.pace);
        if sight.pace > known.saturating_add(TURNED_SLOW) {
            // All others wait for what it holds, as after a shift.
            self.planned_at = Monotonic::ZERO;
            self.stage = Stage::FollowUp;
        }
        let held = held.or(before.and_then(|member| member.held));
        let member = Member {
            held,
            seen: now,
            sight,
        };
        self.members.insert(member.sight.rank, member);
    }

    /// Takes that a rank's engine started anew under its id: it holds and knows nothing of before, so that all ranks
    /// are looked at again before anything else is ordered.
    pub fn restarted(&mut self, rank: Rank) {
        if self.members.contains_key(&rank)
            && let Some(epoch) = self.epoch
        {
            self.form(epoch);
        }
    }

    /// Begins a new epoch: whatever was prepared, armed or held is void.
    fn form(&mut self, epoch: Epoch) {
        if let Some(change) = self.change.take() {
            self.notes.push(Note::Void(change.version(), "new epoch"));
        }
        self.epoch = Some(epoch);
        self.members.clear();
        self.outstanding.clear();
        self.in_force = None;
        self.next = None;
        self.floor = 0;
        self.passes = Passes::default();
        self.stage = Stage::Immediate;
        self.notes.push(Note::Formed(epoch));
    }

    /// Says what to order now.
    pub fn tick(&mut self, now: Monotonic) -> Vec<Send> {
        if !self.has_all_ranks() {
            return Vec::new();
        }
        self.settle();
        self.learn_floor();
        if self.change.is_none() {
            self.take_over(now);
        }
        if self.change.is_none() {
            if let Some(step) = orphaned_hold(&self.sights(), HOLDER) {
                return self.release_orphaned_hold(step, now);
            }
            self.start_change(now);
        }
        self.advance(now)
    }

    /// Learns which pass a coordinator before may have held at most: it saw no newer one than this one sees first.
    fn learn_floor(&mut self) {
        if self.floor == 0 {
            let steps = self.members.values().map(|member| member.sight.step);
            self.floor = steps.max().unwrap_or(0) + AHEAD;
        }
    }

    /// Returns whether each rank was seen.
    fn has_all_ranks(&self) -> bool {
        let size = self.members.values().next().map(|member| member.sight.size);
        size.is_some_and(|size| self.members.len() == usize::from(size))
    }

    /// Returns how many passes after the newest one seen the next hold is to stand.
    fn passes_ahead(&self, now: Monotonic) -> Step {
        let left = self.passes.left(now).unwrap_or_default();
        if left >= TO_ARM { AHEAD_IN_TIME } else { AHEAD }
    }

    fn sights(&self) -> Vec<&Sight> {
        self.members.values().map(|member| &member.sight).collect()
    }

    /// Learns which layout is in force.
    fn settle(&mut self) {
        let sights = self.sights();
        let Some(first) = sights.first() else {
            return;
        };
        let version = first.version;
        if sights.iter().any(|sight| sight.version != version) {
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
        let layout = known.or_else(|| self.told().map(Arc::new));
        self.in_force = layout.map(|layout| Versioned { version, layout });
    }

    /// Returns the layout as the ranks tell it.
    fn told(&self) -> Option<Layout> {
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

    fn take_over(&mut self, now: Monotonic) {
        let Some(change) = Change::recover(&self.sights(), HOLDER, self.floor) else {
            return;
        };
        self.notes
            .push(Note::Found(change.version(), change.phase()));
        self.change = Some(change);
        self.change_started = now;
    }
}
