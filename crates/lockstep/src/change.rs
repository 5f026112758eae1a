//! One change of a group's map.
//!
//! 1. *Prepare*: each rank copies the weights of the new map while it runs on.
//! 2. *Hold*: once all ranks were seen prepared, one rank holds the group before a pass S to come.
//! 3. *Arm*: only once the hold was seen, each rank is told to switch as S begins; the one that holds first, and the
//!    others once it was seen armed. Until it is told to arm, its own sidecar may end the hold (see [`crate::deputy`]).
//! 4. *Release*: only once all ranks were seen armed for S, the hold is let go.
//!
//! Orders may be lost, doubled, or carried out seconds later. What was seen stays true within an
//! epoch: a rank stays prepared and armed until a new epoch voids all. So S can't begin before all
//! ranks switch at it, whatever is late; and from the hold on there is only one way, forward: a
//! coordinator that finds a hold arms all ranks and releases. A late order of this change finds the
//! pass begun and is refused; one of an earlier change has a lower version.

use auburnline_core::id::Rank;
use auburnline_core::id::Step;
use serde::Deserialize;
use serde::Serialize;

use crate::sight::Epoch;
use crate::sight::Sight;
use crate::sight::Switch;
use crate::sight::Version;

/// Order to one rank; each may be repeated without harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Order {
    /// Copy the weights of a map.
    Prepare(Version),
    /// Don't begin a pass until it is released.
    Hold(Step),
    /// Switch as a pass begins.
    Arm(Switch),
    /// Let a held pass begin.
    Release(Step),
}

/// How far a change is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Ranks copy weights.
    Preparing,
    /// The hold before a pass is ordered.
    Holding(Step),
    /// The hold stands; ranks are told to switch.
    Arming(Step),
    /// All switch; the hold is let go.
    Releasing(Step),
}

/// One change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Change {
    epoch: Epoch,
    version: Version,
    phase: Phase,
    /// Newest pass that a coordinator before may have held: its orders may come late and twice, and a late release
    /// of a pass would end the hold of this change.
    floor: Step,
}

/// What comes next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// These ranks get these orders, if they did not just get them.
    Orders(Vec<(Rank, Order)>),
    /// The change is in force.
    Done,
    /// The change can't go on; nothing of it is in force.
    Aborted,
}

impl Change {
    /// Begins a change; `version` was never used before in this epoch. It holds a pass after `floor`, the newest that
    /// a coordinator before may have held.
    #[must_use]
    pub const fn new(epoch: Epoch, version: Version, floor: Step) -> Change {
        Change {
            epoch,
            version,
            phase: Phase::Preparing,
            floor,
        }
    }

    /// Takes over the change that left `sights` behind; none if nothing of one is under way.
    ///
    /// `holder` is the rank that holds. All ranks must have been seen.
    #[must_use]
    pub fn recover(sights: &[&Sight], holder: Rank, floor: Step) -> Option<Change> {
        let epoch = sights.first()?.epoch;
        let armed = sights.iter().find_map(|sight| sight.armed);
        let holding = sights.iter().find(|sight| sight.rank == holder)?.held;
        let step = armed.map(|armed| armed.step).or(holding)?;
        let version = match armed {
            Some(armed) => armed.version,
            // A hold is only ordered once all have the weights, so that all agree.
            None => common(sights)?,
        };
        let switch = Switch { version, step };
        let phase = if unarmed(sights, switch).next().is_none() {
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

    /// Returns the version.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Returns the epoch.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns how far the change is.
    #[must_use]
    pub const fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns whether the change may be given up without a trace in force.
    #[must_use]
    pub const fn can_abort(&self) -> bool {
        matches!(self.phase, Phase::Preparing)
    }

    /// Looks at all ranks of the group and says what comes next.
    ///
    /// `sights` holds one sight of each rank; `ahead` is how many passes lie between the newest pass
    /// seen and the one to hold.
    #[must_use]
    pub fn advance(&mut self, sights: &[&Sight], holder: Rank, ahead: Step) -> Progress {
        if sights.iter().any(|sight| sight.epoch != self.epoch) {
            return Progress::Aborted;
        }
        let Some(held) = sights.iter().find(|sight| sight.rank == holder) else {
            return Progress::Aborted;
        };
        if let Some(step) = self.orphaned_hold(held) {
            return orders(&[holder], Order::Release(step));
        }
        let newest = sights.iter().map(|sight| sight.step).max().unwrap_or(0);
        if self.phase == Phase::Preparing {
            let waiting: Vec<_> = self.unprepared(sights).collect();
            if !waiting.is_empty() {
                return orders(&waiting, Order::Prepare(self.version));
            }
            if newest + ahead <= self.floor {
                // Passes have to begin first; a group that makes none has nothing to gain.
                return Progress::Orders(Vec::new());
            }
            self.phase = Phase::Holding(newest + ahead);
        }
        if let Phase::Holding(step) = self.phase {
            if held.held == Some(step) {
                self.phase = Phase::Arming(step);
            } else {
                // Once the pass began, an order to hold it is refused, however late it comes.
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
                // The hold was ended before its rank was armed, so that no rank was.
                let step = newest + ahead;
                self.phase = Phase::Holding(step);
                return orders(&[holder], Order::Hold(step));
            }
            if held.armed != Some(switch) && !is_switched {
                return orders(&[holder], Order::Arm(switch));
            }
            let waiting: Vec<_> = unarmed(sights, switch).collect();
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
        let is_in_force = sights.iter().all(|sight| sight.version == self.version);
        if is_in_force {
            Progress::Done
        } else {
            // All switch as the pass begins; until then there is nothing to order.
            Progress::Orders(Vec::new())
        }
    }

    /// Returns a held pass that this change did not order.
    ///
    /// It is a late order of a coordinator that ended before it saw the hold, so no rank was told to
    /// switch there; left alone it would stop the group for good.
    fn orphaned_hold(&self, holder: &Sight) -> Option<Step> {
        let is_orphaned = |step: &Step| match self.phase {
            Phase::Preparing => true,
            // Once all are armed an earlier pass may begin.
            Phase::Holding(own) | Phase::Releasing(own) => *step != own,
            // Until then it keeps the pass to come from beginning.
            Phase::Arming(_) => false,
        };
        holder.held.filter(is_orphaned)
    }

    fn unprepared(&self, sights: &[&Sight]) -> impl Iterator<Item = Rank> {
        let version = Some(self.version);
        let waiting = sights.iter().filter(move |sight| sight.prepared != version);
        waiting.map(|sight| sight.rank)
    }
}

/// Returns a held pass with which no change can go on, where none is under way.
#[must_use]
pub fn orphaned_hold(sights: &[&Sight], holder: Rank) -> Option<Step> {
    let is_armed = sights.iter().any(|sight| sight.armed.is_some());
    if is_armed || Change::recover(sights, holder, 0).is_some() {
        return None;
    }
    sights.iter().find(|sight| sight.rank == holder)?.held
}

fn unarmed(sights: &[&Sight], switch: Switch) -> impl Iterator<Item = Rank> {
    let waiting = sights.iter().filter(move |sight| {
        let is_armed = sight.armed == Some(switch);
        let is_switched = sight.version == switch.version;
        !is_armed && !is_switched
    });
    waiting.map(|sight| sight.rank)
}

fn common(sights: &[&Sight]) -> Option<Version> {
    let version = sights.first()?.prepared?;
    let all = sights.iter().all(|sight| sight.prepared == Some(version));
    all.then_some(version)
}

fn orders(ranks: &[Rank], order: Order) -> Progress {
    Progress::Orders(ranks.iter().map(|rank| (*rank, order)).collect())
}
