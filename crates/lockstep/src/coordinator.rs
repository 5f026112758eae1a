//! The sidecar beside rank 0, which leads its group's changes.
//!
//! It keeps the newest sight of each rank, decides on a new layout when none is under way, and takes
//! the change through its phases. After a restart it looks at all ranks first and takes over what it
//! finds. Versions are times of day, so that a late order of the one before has a lower version and is
//! refused.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use auburnline_core::id::Expert;
use auburnline_core::id::Rank;
use auburnline_core::id::Step;
use auburnline_core::time::Monotonic;

use crate::change::Change;
use crate::change::Order;
use crate::change::Progress;
use crate::change::stray;
use crate::cost::Cost;
use crate::given::Given;
use crate::given::Shown;
use crate::layout::Layout;
use crate::layout::Shape;
use crate::plan::Plan;
use crate::plan::Scope;
use crate::plan::plan;
use crate::popularity::Popularity;
use crate::real;
use crate::sight::Epoch;
use crate::sight::Sight;
use crate::sight::Version;
use crate::told::Note;
use crate::told::Pulse;
use crate::told::Send;

/// Rank beside which the coordinator runs.
pub const LEADER: Rank = 0;
/// Rank that holds: not the leader's, whose instance may freeze right after it gave the order.
pub const HOLDER: Rank = 1;
/// Age of a sight beyond which a rank counts as out of reach.
const SIGHT_AGE: Duration = Duration::from_millis(1_200);
/// Longest time to prepare a change; then another one is planned.
const LONGEST_PREPARATION: Duration = Duration::from_secs(3);
/// Time between two plans; popularity does not tell more within less.
const PLAN_PERIOD: Duration = Duration::from_millis(300);
/// Passes between the newest one seen and the one to hold. The orders take less than a pass; one that
/// comes too late is refused and given again for a later pass, and a hold that stands early makes the
/// group wait some milliseconds.
const AHEAD: Step = 2;

#[derive(Clone, Debug)]
struct Member {
    sight: Sight,
    seen: Monotonic,
    held: Option<Vec<Vec<Expert>>>,
}

/// What the next plan has to do about the last shift of demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The worst has to be taken off at once.
    Relief,
    /// What is left of it is to be done.
    Rest,
    /// It is done.
    Steady,
}

impl Stage {
    const fn scope(self) -> &'static Scope {
        match self {
            Stage::Relief => &Scope::RELIEF,
            Stage::Rest => &Scope::REST,
            Stage::Steady => &Scope::STEADY,
        }
    }

    const fn next(self) -> Stage {
        match self {
            Stage::Relief => Stage::Rest,
            Stage::Rest | Stage::Steady => Stage::Steady,
        }
    }
}

/// Layout with its number.
#[derive(Clone, Debug)]
struct Known {
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
    in_force: Option<Known>,
    next: Option<Known>,
    /// Map in force that all ranks were sent whole or by its difference.
    shared: Option<Known>,
    change: Option<Change>,
    began: Monotonic,
    given: Given,
    planned_at: Monotonic,
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
    pub fn new(shape: Shape, cost: Cost, started: Duration, now: Monotonic) -> Coordinator {
        Coordinator {
            shape,
            cost,
            members: BTreeMap::new(),
            epoch: None,
            popularity: Popularity::new(shape.layers, shape.experts),
            in_force: None,
            next: None,
            shared: None,
            change: None,
            began: now,
            given: Given::default(),
            planned_at: now,
            stage: Stage::Relief,
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
        self.is_whole() && self.members.values().all(|member| member.sight.is_open)
    }

    /// Returns the map of the change under way.
    #[must_use]
    pub fn changing(&self) -> Option<Version> {
        self.change.as_ref().map(Change::version)
    }

    /// Returns the requests that run or wait at each rank; one at a slow rank counts for as much as it takes longer.
    #[must_use]
    pub fn requests(&self) -> BTreeMap<Rank, u32> {
        let sights = self.members.values().map(|member| &member.sight);
        let requests = sights.map(|sight| {
            let requests = f64::from(sight.running + sight.waiting) * sight.slowness();
            (sight.rank, whole(requests))
        });
        requests.collect()
    }

    /// Returns how many times longer each rank takes than it should.
    fn slowness(&self) -> Vec<f64> {
        let sights = self.members.values().map(|member| &member.sight);
        sights.map(Sight::slowness).collect()
    }

    fn requests_per_rank(&self) -> f64 {
        let sights = self.members.values().map(|member| &member.sight);
        let requests: u32 = sights.map(|sight| sight.running + sight.waiting).sum();
        f64::from(requests) / real(self.members.len().max(1))
    }

    /// Returns how the group runs.
    #[must_use]
    pub fn pulse(&self) -> Pulse {
        let sights = || self.members.values().map(|member| &member.sight);
        let shares = self.popularity.shares();
        let known = self.in_force.as_ref();
        let skew = known
            .zip(shares)
            .map(|(known, shares)| known.layout.skew(&shares));
        Pulse {
            step: sights().map(|sight| sight.step).max().unwrap_or(0),
            running: sights().map(|sight| sight.running).sum(),
            waiting: sights().map(|sight| sight.waiting).sum(),
            most_running: sights().map(|sight| sight.running).max().unwrap_or(0),
            skew,
            slowest: slowest(&self.slowness()),
            version: known.map(|known| known.version),
        }
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
            self.stage = Stage::Relief;
        }
        let before = self.members.remove(&sight.rank);
        let held = held.or(before.and_then(|member| member.held));
        let member = Member {
            held,
            seen: now,
            sight,
        };
        self.members.insert(member.sight.rank, member);
    }

    /// Begins a new epoch: whatever was prepared, armed or held is void.
    fn form(&mut self, epoch: Epoch) {
        if let Some(change) = self.change.take() {
            self.notes.push(Note::Void(change.version(), "new epoch"));
        }
        self.epoch = Some(epoch);
        self.members.clear();
        self.given.clear();
        self.in_force = None;
        self.next = None;
        self.shared = None;
        self.floor = 0;
        self.stage = Stage::Relief;
        self.notes.push(Note::Formed(epoch));
    }

    /// Says what to order now.
    pub fn tick(&mut self, now: Monotonic) -> Vec<Send> {
        if !self.is_whole() {
            return Vec::new();
        }
        self.settle();
        self.learn_floor();
        if self.change.is_none() {
            self.take_over(now);
        }
        if self.change.is_none() {
            if let Some(step) = stray(&self.sights(), HOLDER) {
                return self.release_stray(step, now);
            }
            self.begin(now);
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
    fn is_whole(&self) -> bool {
        let size = self.members.values().next().map(|member| member.sight.size);
        size.is_some_and(|size| self.members.len() == usize::from(size))
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
        self.shared.clone_from(&next);
        let known = next.map(|known| known.layout).or_else(|| {
            let is_initial = version == 0;
            is_initial.then(|| Arc::new(Layout::initial(&self.shape, size)))
        });
        let layout = known.or_else(|| self.told().map(Arc::new));
        self.in_force = layout.map(|layout| Known { version, layout });
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
        let Some(change) = Change::found(&self.sights(), HOLDER, self.floor) else {
            return;
        };
        self.notes
            .push(Note::Found(change.version(), change.phase()));
        self.change = Some(change);
        self.began = now;
    }

    fn release_stray(&mut self, step: Step, now: Monotonic) -> Vec<Send> {
        let order = (HOLDER, Order::Release(step));
        let epoch = self.epoch.filter(|_| self.is_due(order, now));
        let send = epoch.map(|epoch| self.give(HOLDER, epoch, order.1, now));
        send.into_iter().collect()
    }

    /// Begins a change if one is worth it.
    fn begin(&mut self, now: Monotonic) {
        let is_due = now.saturating_sub(self.planned_at) >= PLAN_PERIOD;
        if !is_due || !self.is_calm(now) {
            return;
        }
        let Some(plan) = self.plan(now) else {
            return;
        };
        let version = self.next_version(now);
        let Some(epoch) = self.epoch else {
            return;
        };
        self.next = Some(Known {
            version,
            layout: Arc::new(plan.layout.clone()),
        });
        self.change = Some(Change::new(epoch, version, self.floor));
        self.began = now;
        self.given.clear();
        self.notes.push(Note::Begun(version, plan));
    }

    /// Returns what is worth a change, of the stage that is due or a later one.
    fn plan(&mut self, now: Monotonic) -> Option<Plan> {
        let known = self.in_force.as_ref()?;
        let shares = self.popularity.shares()?;
        self.planned_at = now;
        let slowness = self.slowness();
        let requests = self.requests_per_rank();
        let skew = known.layout.skew(&shares);
        if self.cost.is_short(requests * slowest(&slowness), skew) {
            return None;
        }
        let work = self.cost.expert_work(requests);
        loop {
            let stage = self.stage;
            self.stage = stage.next();
            let found = plan(
                &known.layout,
                &shares,
                &self.shape,
                stage.scope(),
                work,
                &slowness,
            );
            if found.is_some() || stage == Stage::Steady {
                return found;
            }
        }
    }

    /// Returns whether all ranks are in reach, in one map, and nothing is under way.
    fn is_calm(&self, now: Monotonic) -> bool {
        let version = self.in_force.as_ref().map(|known| known.version);
        self.members.values().all(|member| {
            let sight = &member.sight;
            let is_fresh = now.saturating_sub(member.seen) < SIGHT_AGE;
            let is_still = sight.armed.is_none() && sight.held.is_none() && !sight.is_busy;
            is_fresh && is_still && sight.is_open && Some(sight.version) == version
        })
    }

    /// Returns a version above all that were seen and all that a coordinator before picked: what that
    /// one ordered may come late, and must be refused then.
    fn next_version(&self, now: Monotonic) -> Version {
        let sights = self.members.values().map(|member| &member.sight);
        let newest = sights.flat_map(|sight| {
            let armed = sight.armed.map(|armed| armed.version);
            [Some(sight.version), sight.prepared, armed]
        });
        let newest = newest.flatten().max().unwrap_or(0);
        let time = u64::try_from((self.started + now).as_millis());
        time.unwrap_or(0).max(newest + 1)
    }

    fn advance(&mut self, now: Monotonic) -> Vec<Send> {
        let Some(mut change) = self.change.take() else {
            return Vec::new();
        };
        let is_late = now.saturating_sub(self.began) > LONGEST_PREPARATION;
        if change.may_end() && is_late {
            self.notes
                .push(Note::Void(change.version(), "not prepared in time"));
            self.next = None;
            return Vec::new();
        }
        let progress = change.advance(&self.sights(), HOLDER, AHEAD);
        let (epoch, version) = (change.epoch(), change.version());
        match progress {
            Progress::Orders(orders) => {
                self.change = Some(change);
                let due = orders.into_iter().filter(|order| self.is_due(*order, now));
                let due: Vec<_> = due.collect();
                due.into_iter()
                    .map(|(rank, order)| self.give(rank, epoch, order, now))
                    .collect()
            }
            Progress::Done => {
                self.notes.push(Note::Done(version));
                if self.stage != Stage::Steady {
                    self.planned_at = Monotonic::ZERO;
                }
                Vec::new()
            }
            Progress::Void => {
                self.notes.push(Note::Void(version, "the group changed"));
                self.next = None;
                Vec::new()
            }
        }
    }

    /// Returns whether an order was not just given.
    fn is_due(&self, (rank, order): (Rank, Order), now: Monotonic) -> bool {
        let member = self.members.get(&rank);
        let shown = member.map(|member| Shown {
            at: member.seen,
            is_busy: member.sight.is_busy,
        });
        self.given.is_due(rank, order, self.copying(), shown, now)
    }

    /// Returns the longest copying of the change under way.
    fn copying(&self) -> Duration {
        let (Some(next), Some(known)) = (&self.next, &self.in_force) else {
            return Duration::ZERO;
        };
        let copies = next.layout.new_by_rank(&known.layout);
        let most = copies.into_iter().max().unwrap_or(0);
        self.shape
            .copy
            .saturating_mul(u32::try_from(most).unwrap_or(0))
    }

    fn give(&mut self, rank: Rank, epoch: Epoch, order: Order, now: Monotonic) -> Send {
        let is_repeated = self.given.is_repeated(rank, order);
        self.given.note(rank, order, now);
        let (layout, base) = match order {
            Order::Prepare(_) => (
                self.next.as_ref().map(|next| Arc::clone(&next.layout)),
                self.shared.clone().filter(|_| !is_repeated),
            ),
            Order::Hold(_) | Order::Arm(_) | Order::Release(_) => (None, None),
        };
        Send {
            rank,
            epoch,
            order,
            layout,
            base: base.map(|known| (known.version, known.layout)),
        }
    }
}

fn slowest(slowness: &[f64]) -> f64 {
    slowness.iter().copied().fold(1.0, f64::max)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "some hundred requests at most, rounded up"
)]
fn whole(requests: f64) -> u32 {
    requests.ceil() as u32
}
