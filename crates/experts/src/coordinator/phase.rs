//! Life cycle of a change: preparing, arming, releasing or aborting.
//!
//! Each phase is a type. Releasing can be entered only with the proof that every rank is armed, or
//! with the switch of a rank that was already released, and has no transition to aborting.

use std::sync::Arc;

use auburnline_core::expert::Map;
use auburnline_core::id::Step;
use auburnline_core::time::Monotonic;

use super::view::AllArmed;
use super::view::AllPrepared;
use crate::order::Switch;

/// Change of map in phase `P`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Change<P> {
    /// Map in use before the change.
    pub(super) before: Arc<Map>,
    pub(super) phase: P,
}

/// Ranks load the weights of the new map.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Preparing {
    pub(super) map: Arc<Map>,
    pub(super) deadline: Monotonic,
}

/// Ranks are being armed: each is to hold at the switch step until released.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Arming {
    pub(super) map: Arc<Map>,
    pub(super) deadline: Monotonic,
    pub(super) switch: Switch,
    pub(super) margin: Step,
}

/// Ranks are being released; the change can no longer be aborted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Releasing {
    pub(super) map: Arc<Map>,
    pub(super) switch: Switch,
}

/// Ranks drop the new map and keep the one in use.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Aborting {
    /// Highest generation to drop.
    pub(super) generation: u64,
}

impl Change<Preparing> {
    pub(super) fn arm(
        self,
        _proof: AllPrepared,
        step: Step,
        margin: Step,
        deadline: Monotonic,
    ) -> Change<Arming> {
        let map = self.phase.map;
        let generation = map.generation;
        let switch = Switch { generation, step };
        Change {
            before: self.before,
            phase: Arming {
                map,
                deadline,
                switch,
                margin,
            },
        }
    }

    pub(super) fn abort(self) -> Change<Aborting> {
        let generation = self.phase.map.generation;
        abort(self.before, generation)
    }
}

impl Change<Arming> {
    /// Moves the switch to `step`, and by at least one step.
    pub(super) fn postpone(mut self, step: Step, margin: Step) -> Change<Arming> {
        self.phase.switch.step = step.max(self.phase.switch.step + 1);
        self.phase.margin = margin;
        self
    }

    pub(super) fn release(self, _proof: AllArmed) -> Change<Releasing> {
        Change {
            before: self.before,
            phase: Releasing {
                map: self.phase.map,
                switch: self.phase.switch,
            },
        }
    }

    pub(super) fn abort(self) -> Change<Aborting> {
        let generation = self.phase.map.generation;
        abort(self.before, generation)
    }
}

impl Change<Releasing> {
    /// Resumes a release that an earlier coordinator began.
    pub(super) const fn resume(
        before: Arc<Map>,
        map: Arc<Map>,
        switch: Switch,
    ) -> Change<Releasing> {
        Change {
            before,
            phase: Releasing { map, switch },
        }
    }

    /// Returns the new map, which all ranks use once the release is complete.
    pub(super) fn into_map(self) -> Arc<Map> {
        self.phase.map
    }
}

/// Returns an abort that keeps `before` and drops all generations up to `generation`.
pub(super) const fn abort(before: Arc<Map>, generation: u64) -> Change<Aborting> {
    Change {
        before,
        phase: Aborting { generation },
    }
}
