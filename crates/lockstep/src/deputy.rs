//! A sidecar that stands in for one that leads and fell silent while its group is held.
//!
//! A hold does not expire. If the one that leads dies or freezes between the hold and its release, the
//! whole group stands still. Any other sidecar may then look at all ranks and take the change forward as
//! a successor would: it begins nothing, and what it orders is what the one that leads would order, so
//! that both may act at once.

use std::time::Duration;

use auburnline_core::id::Rank;
use auburnline_core::id::Step;
use auburnline_core::time::Monotonic;

use crate::change::Change;
use crate::change::Order;
use crate::change::Progress;
use crate::change::stray;
use crate::coordinator::HOLDER;
use crate::sight::Sight;

/// Time without a word of the one that leads, and without a pass while requests run, after which a
/// sidecar stands in: a few of its words, and many passes.
const PATIENCE: Duration = Duration::from_millis(500);
/// What each rank waits longer than the one before, so that one of them acts first.
const PER_RANK: Duration = Duration::from_millis(300);
/// Last rank that stands in. Each look at all ranks costs the engines answers and the sidecar time in
/// which it hears nobody, so few may do it.
const LAST_RANK: Rank = 2;
/// Time between two looks at all ranks.
const PAUSE: Duration = Duration::from_secs(1);

/// Notes that a rank stands still.
#[derive(Clone, Copy, Debug, Default)]
pub struct Deputy {
    step: Step,
    moved: Monotonic,
    acted: Option<Monotonic>,
}

impl Deputy {
    /// Takes the state of the own rank; returns whether to stand in for the one that leads, who was last
    /// heard at `heard`.
    pub fn look(&mut self, own: &Sight, heard: Monotonic, now: Monotonic) -> bool {
        let has_work = own.is_open && own.running > 0;
        if own.step != self.step || !has_work {
            self.step = own.step;
            self.moved = now;
            return false;
        }
        let is_pausing = self.acted.is_some_and(|at| now.saturating_sub(at) < PAUSE);
        if own.rank > LAST_RANK || is_pausing {
            return false;
        }
        let patience = PATIENCE + PER_RANK * u32::from(own.rank);
        let is_still = now.saturating_sub(self.moved) >= patience;
        is_still && now.saturating_sub(heard) >= patience
    }

    /// Takes that it stood in at `now`.
    pub const fn acted(&mut self, now: Monotonic) {
        self.acted = Some(now);
    }
}

/// Says what takes a change forward that `sights` of all ranks show, if one is under way.
#[must_use]
pub fn orders(sights: &[&Sight]) -> Vec<(Rank, Order)> {
    if let Some(step) = stray(sights, HOLDER) {
        return vec![(HOLDER, Order::Release(step))];
    }
    let Some(mut change) = Change::found(sights, HOLDER) else {
        return Vec::new();
    };
    // A change that is found is past its hold, so no pass is picked.
    match change.advance(sights, HOLDER, 1) {
        Progress::Orders(orders) => orders,
        Progress::Done | Progress::Void => Vec::new(),
    }
}
