//! The rank's side of a change of map.
//!
//! The engine calls [`State::order`] for each order, [`State::finish_loading`] when weights are
//! loaded, and [`State::enter`] before each step. A rank enters its switch step only once it is
//! released, so it can neither switch nor keep the old map alone. A rank without weights takes part
//! in no step until it has been ordered to join with a map and has loaded that map's weights.

use std::sync::Arc;

use auburnline_core::expert::Map;
use auburnline_core::id::Fence;
use auburnline_core::id::Generation;
use auburnline_core::id::Step;

use crate::order::Command;
use crate::order::Refusal;
use crate::order::Stage;
use crate::order::Status;
use crate::order::Switch;

/// Whether a rank may enter a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// The rank enters the step with the map of this generation.
    Run(Generation),
    /// The rank must wait: it is armed for this or an earlier step and not released, or has no weights.
    Hold,
}

/// State of one rank.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    checks_fence: bool,
    fence: Fence,
    step: Step,
    current: Option<Arc<Map>>,
    /// Map of the change under way.
    pending: Option<Arc<Map>>,
    joined: bool,
    stage: Stage,
}

impl State {
    /// Returns a rank without weights, whose group is about to enter `step`.
    #[must_use]
    pub fn without_map(checks_fence: bool, step: Step) -> State {
        State {
            checks_fence,
            fence: 0,
            step,
            current: None,
            pending: None,
            joined: false,
            stage: Stage::Steady,
        }
    }

    /// Returns a rank that uses `map` and takes part in steps.
    #[must_use]
    pub fn serving(checks_fence: bool, step: Step, map: Arc<Map>) -> State {
        State {
            current: Some(map),
            joined: true,
            ..State::without_map(checks_fence, step)
        }
    }

    /// Returns the state to report.
    #[must_use]
    pub fn status(&self) -> Status {
        Status {
            current: self.current.as_ref().map(|map| map.generation),
            joined: self.joined,
            step: self.step,
            stage: self.stage,
        }
    }

    /// Returns the map in use, or to be used once its weights are loaded.
    #[must_use]
    pub fn current(&self) -> Option<&Arc<Map>> {
        self.current.as_ref()
    }

    /// Returns the maps that the rank holds, the one in use first.
    pub fn maps(&self) -> impl Iterator<Item = &Arc<Map>> {
        self.current.iter().chain(&self.pending)
    }

    /// Returns the map whose weights are to be loaded, if any.
    #[must_use]
    pub fn map_to_load(&self) -> Option<&Arc<Map>> {
        if !self.joined {
            return self.current.as_ref();
        }
        match self.stage {
            Stage::Loading(_) => self.pending.as_ref(),
            _ => None,
        }
    }

    /// Applies an order.
    ///
    /// # Errors
    ///
    /// Returns why the order had no effect.
    pub fn order(&mut self, fence: Fence, command: &Command) -> Result<(), Refusal> {
        if self.checks_fence && fence < self.fence {
            return Err(Refusal::StaleFence(self.fence));
        }
        self.fence = self.fence.max(fence);
        match command {
            Command::Read => Ok(()),
            Command::Prepare { map, .. } => self.prepare(map),
            Command::Arm(switch) => self.arm(*switch),
            Command::Release(switch) => self.release(*switch),
            Command::Abort(generation) => self.abort(*generation),
            Command::Join { base, next, .. } => {
                self.join(base, next.as_ref());
                Ok(())
            }
        }
    }

    fn prepare(&mut self, map: &Arc<Map>) -> Result<(), Refusal> {
        let Some(current) = self.current.as_ref().filter(|_| self.joined) else {
            return Err(Refusal::NotReady);
        };
        if map.generation <= current.generation {
            return Err(Refusal::OtherMap);
        }
        match self.stage {
            Stage::Armed(_) | Stage::Released(_) => return Err(Refusal::NotReady),
            Stage::Loading(held) | Stage::Prepared(held) if held == map.generation => {
                let same = self.pending.as_ref() == Some(map);
                return if same { Ok(()) } else { Err(Refusal::OtherMap) };
            }
            _ => {}
        }
        self.pending = Some(Arc::clone(map));
        self.stage = Stage::Loading(map.generation);
        Ok(())
    }

    fn arm(&mut self, switch: Switch) -> Result<(), Refusal> {
        let ready = match self.stage {
            Stage::Prepared(generation) => generation == switch.generation,
            Stage::Armed(held) => held.generation == switch.generation && held.step <= switch.step,
            Stage::Released(held) | Stage::Switched(held) if held == switch => return Ok(()),
            _ => false,
        };
        if !ready {
            return Err(Refusal::NotReady);
        }
        if switch.step < self.step {
            return Err(Refusal::StepPassed);
        }
        self.stage = Stage::Armed(switch);
        Ok(())
    }

    fn release(&mut self, switch: Switch) -> Result<(), Refusal> {
        match self.stage {
            Stage::Armed(held) if held == switch => {
                self.stage = Stage::Released(switch);
                Ok(())
            }
            Stage::Released(held) | Stage::Switched(held) if held == switch => Ok(()),
            _ => Err(Refusal::NotReady),
        }
    }

    fn abort(&mut self, generation: Generation) -> Result<(), Refusal> {
        match self.stage {
            Stage::Released(_) => return Err(Refusal::Released),
            Stage::Loading(held) | Stage::Prepared(held) if held <= generation => {}
            Stage::Armed(held) if held.generation <= generation => {}
            _ => return Ok(()),
        }
        self.pending = None;
        self.stage = Stage::Steady;
        Ok(())
    }

    fn join(&mut self, base: &Arc<Map>, next: Option<&(Arc<Map>, Step)>) {
        if self.current.is_some() {
            return;
        }
        self.current = Some(Arc::clone(base));
        if let Some((map, step)) = next {
            let generation = map.generation;
            let step = *step;
            self.pending = Some(Arc::clone(map));
            self.stage = Stage::Released(Switch { generation, step });
        }
    }

    /// Records that the weights of the map that [`State::map_to_load`] returns are loaded.
    pub fn finish_loading(&mut self) {
        if self.current.is_some() && !self.joined {
            self.joined = true;
        } else if let Stage::Loading(generation) = self.stage {
            self.stage = Stage::Prepared(generation);
        }
    }

    /// Tries to enter `step`, the step that the group is about to run.
    pub fn enter(&mut self, step: Step) -> Entry {
        self.step = self.step.max(step);
        if !self.joined {
            return Entry::Hold;
        }
        match self.stage {
            Stage::Armed(switch) if step >= switch.step => return Entry::Hold,
            Stage::Released(switch) if step >= switch.step => {
                self.current = self.pending.take();
                self.stage = Stage::Switched(switch);
            }
            _ => {}
        }
        let Some(current) = &self.current else {
            return Entry::Hold;
        };
        self.step = step + 1;
        Entry::Run(current.generation)
    }
}

/// Asserts that all ranks of one step use the same generation.
///
/// # Panics
///
/// Panics if two generations are used in `step`: the invariant of this crate is violated, and the
/// step must not run.
pub fn assert_one_generation(step: Step, generations: &[Generation]) {
    let first = generations.first();
    assert!(
        generations.iter().all(|each| Some(each) == first),
        "step {step} runs with generations {generations:?}"
    );
}
