//! One change of a group's map: a state machine over the reported states of all ranks.
//!
//! 1. *Prepare*: each rank copies the weights of the new map and keeps serving.
//! 2. *Hold*: once all ranks were seen prepared and answer their orders, one rank is ordered to hold the group before a future pass S.
//! 3. *Arm*: only once the hold was seen, each rank is ordered to switch as S begins: first the held rank, then,
//!    once it was seen armed, the others. Until it is ordered to arm, its own sidecar may end the hold (see
//!    [`crate::standby`]).
//! 4. *Release*: only once all ranks were seen armed for S, the hold is released.
//!
//! Orders may be lost, duplicated, or carried out seconds late. Within an epoch an observation stays true: a
//! rank stays prepared and armed until a new epoch voids both. So S cannot begin before all ranks are set to
//! switch at it, whatever is delayed. From the hold on a change only goes forward: a coordinator that finds
//! a hold arms all ranks and releases it. A late order of this change names a pass that has begun and
//! is refused; one of an earlier change has a lower version.

use auburnline_core::id::Rank;
use auburnline_core::id::Step;
use serde::Deserialize;
use serde::Serialize;

use crate::rank::Epoch;
use crate::rank::State;
use crate::rank::Switch;
use crate::rank::Version;

/// Order to one rank; all are idempotent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Order {
    /// Copy the weights of a map.
    Prepare(Version),
    /// Do not begin this pass until it is released.
    Hold(Step),
    /// Switch to a map as a pass begins.
    Arm(Switch),
    /// Release the hold before this pass.
    Release(Step),
}

/// Phase of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Ranks copy the weights of the new map.
    Preparing,
    /// The hold before this pass is ordered but was not seen yet.
    Holding(Step),
    /// The hold was seen; ranks are ordered to switch at this pass.
    Arming(Step),
    /// All ranks are armed or have switched; the hold is being released.
    Releasing(Step),
}

/// A change in progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Change {
    epoch: Epoch,
    version: Version,
    phase: Phase,
    /// Newest pass that a previous coordinator may have held. Its orders may arrive late and twice, and a late
    /// release of the same pass would end the hold of this change.
    floor: Step,
}

/// Next action of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Send these orders to these ranks, unless they were sent just before.
    Orders(Vec<(Rank, Order)>),
    /// The change is in force.
    Done,
    /// The change cannot continue, and no part of it is in force.
    Aborted,
}

impl Change {
    /// Starts a change to a `version` that was never used in this epoch. It holds a pass after `floor`, the newest
    /// one that a previous coordinator may have held.
    #[must_use]
    pub const fn new(epoch: Epoch, version: Version, floor: Step) -> Change {
        Change {
            epoch,
            version,
            phase: Phase::Preparing,
            floor,
        }
    }

    /// Reconstructs the change in progress from `states`, one of each rank; none if no rank is armed and no hold
    /// stands with all ranks prepared for one map.
    ///
    /// `holder` is the rank that is held.
    #[must_use]
    pub fn recover(states: &[&State], holder: Rank, floor: Step) -> Option<Change> {
        let epoch = states.first()?.epoch;
        let armed = states.iter().find_map(|state| state.armed);
        let holding = states.iter().find(|state| state.rank == holder)?.held;
        let step = armed.map(|armed| armed.step).or(holding)?;
        let version = match armed {
            Some(armed) => armed.version,
            // A hold is ordered only once all ranks are prepared, so they agree on the version.
            None => common_prepared(states)?,
        };
        let switch = Switch { version, step };
        let phase = if unarmed(states, switch).next().is_none() {
            Phase::Releasing(step)
        } else if holding == Some(step) {
            Phase::Arming(step)
        } else {
            Phase::Holding(step)
        };
        Some(Change {
            epoch,
            version,
            phase,
            floor,
        })
    }

    /// Returns the version of the new map.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Returns the epoch in which the change started.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the phase that the change is in.
    #[must_use]
    pub const fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns whether the change may be abandoned: no rank has been held or armed for it.
    #[must_use]
    pub const fn can_abort(&self) -> bool {
        matches!(self.phase, Phase::Preparing)
    }

    /// Advances the change by the state of all ranks and returns the next action.
    ///
    /// `states` holds one state of each rank; `ahead` is how many passes after the newest one seen to place a
    /// hold.
    #[must_use]
    pub fn advance(&mut self, states: &[&State], holder: Rank, ahead: Step) -> Progress {
        if states.iter().any(|state| state.epoch != self.epoch) {
            return Progress::Aborted;
        }
        let Some(held) = states.iter().find(|state| state.rank == holder) else {
            return Progress::Aborted;
        };
        if let Some(step) = self.orphaned_hold(held) {
            return orders(&[holder], Order::Release(step));
        }
        let newest = states.iter().map(|state| state.step).max().unwrap_or(0);
        if self.phase == Phase::Preparing {
            let waiting: Vec<_> = self.unprepared(states).collect();
            if !waiting.is_empty() {
                return orders(&waiting, Order::Prepare(self.version));
            }
            // The group would stand still until such a rank carries out its order to arm. The order
            // is repeated, without effect, to notice when the rank answers again.
            let unresponsive: Vec<_> = unresponsive(states).collect();
            if !unresponsive.is_empty() {
                return orders(&unresponsive, Order::Prepare(self.version));
            }
            if newest + ahead <= self.floor {
                // Wait for passes to begin. A group that runs none gains nothing from the change.
                return Progress::Orders(Vec::new());
            }
            self.phase = Phase::Holding(newest + ahead);
        }
        if let Phase::Holding(step) = self.phase {
            if held.held == Some(step) {
                self.phase = Phase::Arming(step);
            } else {
                // The pass has begun, so an order to hold it is refused, however late it arrives.
                let step = if newest >= step { newest + ahead } else { step };
                self.phase = Phase::Holding(step);
                return orders(&[holder], Order::Hold(step));
            }
        }
        if let Phase::Arming(step) = self.phase {
            let switch = Switch {
                version: self.version,
                step,
            };
            let is_switched = held.version == self.version;
            if held.step >= step && !is_switched {
                // The hold ended before its rank was armed, so no rank is armed for it.
                let step = newest + ahead;
                self.phase = Phase::Holding(step);
                return orders(&[holder], Order::Hold(step));
            }
            if held.armed != Some(switch) && !is_switched {
                return orders(&[holder], Order::Arm(switch));
            }
            let waiting: Vec<_> = unarmed(states, switch).collect();
            if !waiting.is_empty() {
                return orders(&waiting, Order::Arm(switch));
            }
            self.phase = Phase::Releasing(step);
        }
        let Phase::Releasing(step) = self.phase else {
            return Progress::Aborted;
        };
        if held.held == Some(step) {
            return orders(&[holder], Order::Release(step));
        }
        let is_in_force = states.iter().all(|state| state.version == self.version);
        if is_in_force {
            Progress::Done
        } else {
            // All ranks switch as the pass begins; until then there is nothing to order.
            Progress::Orders(Vec::new())
        }
    }

    /// Returns a held pass that this change did not order.
    ///
    /// Such a hold comes from a late order of a coordinator that ended before it saw the hold, so no rank was
    /// armed for that pass. If it were not released, it would stop the group for good.
    fn orphaned_hold(&self, holder: &State) -> Option<Step> {
        let is_orphaned = |step: &Step| match self.phase {
            Phase::Preparing => true,
            // Once all are armed, an earlier pass may begin.
            Phase::Holding(own) | Phase::Releasing(own) => *step != own,
            // Until then the stray hold keeps the pass of this change from beginning.
            Phase::Arming(_) => false,
        };
        holder.held.filter(is_orphaned)
    }

    fn unprepared(&self, states: &[&State]) -> impl Iterator<Item = Rank> {
        let version = Some(self.version);
        let waiting = states.iter().filter(move |state| state.prepared != version);
        waiting.map(|state| state.rank)
    }
}

/// Returns a held pass from which no change can be resumed, given that no change is in progress.
#[must_use]
pub fn orphaned_hold(states: &[&State], holder: Rank) -> Option<Step> {
    let is_armed = states.iter().any(|state| state.armed.is_some());
    if is_armed || Change::recover(states, holder, 0).is_some() {
        return None;
    }
    states.iter().find(|state| state.rank == holder)?.held
}

fn unresponsive(states: &[&State]) -> impl Iterator<Item = Rank> {
    let unresponsive = states.iter().filter(|state| state.is_unresponsive);
    unresponsive.map(|state| state.rank)
}

fn unarmed(states: &[&State], switch: Switch) -> impl Iterator<Item = Rank> {
    let waiting = states.iter().filter(move |state| {
        let is_armed = state.armed == Some(switch);
        let is_switched = state.version == switch.version;
        !is_armed && !is_switched
    });
    waiting.map(|state| state.rank)
}

fn common_prepared(states: &[&State]) -> Option<Version> {
    let version = states.first()?.prepared?;
    let all = states.iter().all(|state| state.prepared == Some(version));
    all.then_some(version)
}

fn orders(ranks: &[Rank], order: Order) -> Progress {
    Progress::Orders(ranks.iter().map(|rank| (*rank, order)).collect())
}
