//! Ranks of this instance and their part in a change of the expert map.
//!
//! Each is a rank of `auburnline-experts`. They enter a step one by one; the step runs once all of
//! the group have entered, and all must have entered with the same generation.

use std::sync::Arc;
use std::time::Duration;

use auburnline_core::expert::Map;
use auburnline_core::id::Fence;
use auburnline_core::id::Generation;
use auburnline_core::id::Rank;
use auburnline_core::id::Step;
use auburnline_engine::order::RankReport;
use auburnline_experts::order::Command;
use auburnline_experts::order::Refusal;
use auburnline_experts::order::Stage;
use auburnline_experts::rank::Entry;
use auburnline_experts::rank::State;
use tokio::time::Instant;

/// One rank, and when the weights that it loads have come.
#[derive(Debug)]
struct Place {
    rank: Rank,
    state: State,
    loading: Option<(Generation, Instant)>,
}

/// All ranks of this instance.
#[derive(Debug)]
pub(crate) struct Ranks {
    places: Vec<Place>,
    checks_fence: bool,
    load_time: Duration,
    /// Next step that the group enters.
    next: Step,
}

impl Ranks {
    pub(crate) fn new(
        first: Rank,
        count: Rank,
        map: &Arc<Map>,
        checks_fence: bool,
        load_time: Duration,
    ) -> Self {
        let place = |rank: Rank| Place {
            rank,
            state: State::serving(checks_fence, 1, Arc::clone(map)),
            loading: None,
        };
        Self {
            places: (first..first.saturating_add(count)).map(place).collect(),
            checks_fence,
            load_time,
            next: 1,
        }
    }

    /// Returns the map of the first rank.
    pub(crate) fn map(&self) -> Option<&Arc<Map>> {
        self.places.first()?.state.current()
    }

    /// Returns the next step that the group enters.
    pub(crate) const fn next(&self) -> Step {
        self.next
    }

    /// Returns whether a change is under way, for which steps must go on.
    pub(crate) fn changing(&self) -> bool {
        let mut stages = self.places.iter().map(|place| place.state.status().stage);
        stages.any(|stage| matches!(stage, Stage::Armed(_) | Stage::Released(_)))
    }

    /// Takes the weights from a rank, as if its accelerator had been replaced.
    pub(crate) fn replace(&mut self, rank: Rank) {
        let (checks, next) = (self.checks_fence, self.next);
        for place in self.places.iter_mut().filter(|place| place.rank == rank) {
            place.state = State::without_map(checks, next);
            place.loading = None;
        }
    }

    /// Lets all ranks enter a step; returns their generations unless one holds.
    pub(crate) fn enter(&mut self, step: Step, now: Instant) -> Option<Vec<(Rank, Generation)>> {
        let mut generations = Vec::new();
        for place in &mut self.places {
            place.load(self.load_time, now);
            if let Entry::Run(generation) = place.state.enter(step) {
                generations.push((place.rank, generation));
            }
        }
        self.next = self.next.max(step);
        (generations.len() == self.places.len()).then_some(generations)
    }

    /// Ends the step that all ranks of the group entered.
    pub(crate) fn finish(&mut self) {
        self.next += 1;
    }

    /// Passes a command to a rank; `None` if it is not here.
    pub(crate) fn order(
        &mut self,
        rank: Rank,
        fence: Fence,
        command: &Command,
        now: Instant,
    ) -> Option<RankReport> {
        let load_time = self.load_time;
        let shape = self.shape();
        let mut places = self.places.iter_mut();
        let place = places.find(|place| place.rank == rank)?;
        place.load(load_time, now);
        let refusal = if fits(command, shape) {
            place.state.order(fence, command).err()
        } else {
            Some(Refusal::OtherMap)
        };
        place.load(load_time, now);
        let mut maps = Vec::new();
        if *command == Command::Read {
            maps.extend(place.state.maps().cloned());
        }
        Some(RankReport {
            rank,
            status: place.state.status(),
            refusal,
            maps,
        })
    }

    /// Returns ranks, experts and layers of the map in use.
    fn shape(&self) -> Option<(Rank, u16, usize)> {
        let mut maps = self.places.iter().filter_map(|place| place.state.current());
        maps.next().map(|map| shape(map))
    }
}

impl Place {
    /// Notes weights that have come, and begins to load those that are wanted.
    fn load(&mut self, time: Duration, now: Instant) {
        let Some(wanted) = self.state.map_to_load().map(|map| map.generation) else {
            self.loading = None;
            return;
        };
        let ready = match self.loading {
            Some((generation, ready)) if generation == wanted => ready,
            _ => now + time,
        };
        self.loading = Some((wanted, ready));
        if ready <= now {
            self.state.finish_loading();
            self.loading = None;
        }
    }
}

fn shape(map: &Map) -> (Rank, u16, usize) {
    (map.ranks, map.experts, map.layers.len())
}

/// Returns whether the maps of a command are whole and like the one in use.
fn fits(command: &Command, like: Option<(Rank, u16, usize)>) -> bool {
    let fits = |map: &Map| map.check().is_ok() && like.is_none_or(|like| shape(map) == like);
    match command {
        Command::Prepare { map, .. } => fits(map),
        Command::Join { base, next, .. } => {
            fits(base) && next.as_ref().is_none_or(|(map, _)| fits(map))
        }
        _ => true,
    }
}
