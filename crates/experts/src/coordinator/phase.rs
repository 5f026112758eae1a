//! Life cycle of a change: preparing, arming, releasing or aborting.
//!
//! Each phase is a type. Releasing can be entered only with the proof that every rank was seen
//! armed, or with the switch of a rank found released, and has no way back to aborting.

use std::sync::Arc;

use auburnline_core::expert::Map;
use auburnline_core::id::Step;
use auburnline_core::time::Monotonic;

use super::view::AllArmed;
use super::view::AllPrepared;
use crate::order::Switch;

/// A change of map in one phase.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Change<P> {
    /// Map that the ranks use.
    pub(super) before: Arc<Map>,
    pub(super) phase: P,
}

/// Ranks load weights.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Preparing {
    pub(super) map: Arc<Map>,
    pub(super) deadline: Monotonic,
}

/// Ranks get ready to hold at the switch step.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Arming {
    pub(super) map: Arc<Map>,
    pub(super) deadline: Monotonic,
    pub(super) switch: Switch,
    pub(super) margin: Step,
}

/// Ranks are told to switch; there is no way back.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Releasing {
    pub(super) map: Arc<Map>,
    pub(super) switch: Switch,
}

/// Ranks go back to the map they use.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Aborting {
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
    /// Moves the switch to a later step.
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
    /// Takes up a release that another incarnation began.
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

    /// Returns the map that all ranks use once the release is complete.
    pub(super) fn into_map(self) -> Arc<Map> {
        self.phase.map
    }
}

/// Starts to go back to `before` from all generations up to `generation`.
pub(super) const fn abort(before: Arc<Map>, generation: u64) -> Change<Aborting> {
    Change {
        before,
        phase: Aborting { generation },
    }
}
