//! What the slot beside rank 0 holds: coordinator, planner and the maps they speak of.

use std::sync::Arc;
use std::time::Duration;

use auburnline_core::expert::Map;
use auburnline_core::id::Step;
use auburnline_core::time::Monotonic;
use auburnline_engine::ExpertCounts;
use auburnline_experts::coordinator::Coordinator;
use auburnline_rebalance::Planner;
use auburnline_rebalance::counts::Counts;
use auburnline_rebalance::counts::Work;

/// What the slot beside rank 0 holds besides.
pub(super) struct Lead {
    pub(super) coordinator: Coordinator,
    pub(super) planner: Planner,
    pub(super) maps: Vec<Arc<Map>>,
    pub(super) last: Option<(Step, Monotonic, Vec<Vec<u64>>)>,
    pub(super) reports: u64,
}

impl Lead {
    /// Keeps a map, to be found by its generation; the oldest goes.
    pub(super) fn learn(&mut self, map: &Arc<Map>) {
        const KEPT: usize = 8;
        if self
            .maps
            .iter()
            .all(|known| known.generation != map.generation)
        {
            self.maps.push(Arc::clone(map));
            self.maps.sort_by_key(|known| known.generation);
            let extra = self.maps.len().saturating_sub(KEPT);
            self.maps.drain(..extra);
        }
    }

    /// Returns the map in force, when no change is under way.
    pub(super) fn map(&self) -> Option<Arc<Map>> {
        let generation = self.coordinator.settled_generation()?;
        let mut known = self.maps.iter();
        known.find(|map| map.generation == generation).cloned()
    }

    /// Turns growing counts into a report of the time since the last ones.
    pub(super) fn observe(&mut self, now: Monotonic, counts: &ExpertCounts) {
        if counts.layers.is_empty() {
            return;
        }
        let last = self.last.replace((counts.step, now, counts.layers.clone()));
        let (Some((step, at, before)), Some(map)) = (last, self.map()) else {
            return;
        };
        let steps = counts.step.saturating_sub(step);
        let layers = grown(&before, &counts.layers);
        let tokens = rank_tokens(&map, &layers);
        let steps = u32::try_from(steps).unwrap_or(u32::MAX);
        let times = counts
            .rank_time_us
            .iter()
            .map(|&time| Duration::from_micros(time) * steps);
        let works = tokens
            .into_iter()
            .zip(times)
            .map(|(tokens, busy)| Work { tokens, busy });
        self.reports += 1;
        let report = Counts {
            sequence: self.reports,
            age: Duration::ZERO,
            span: now.saturating_sub(at),
            layers,
            ranks: works.collect(),
        };
        let intake = self.planner.observe(now, &report);
        log::debug!(target: "slot", intake:? = intake; "counts");
    }
}

/// Returns by how much each count has grown; a restarted engine's counts have not.
fn grown(before: &[Vec<u64>], after: &[Vec<u64>]) -> Vec<Vec<u32>> {
    let layers = before.iter().zip(after);
    let grow = |(before, after): (&u64, &u64)| {
        u32::try_from(after.saturating_sub(*before)).unwrap_or(u32::MAX)
    };
    layers
        .map(|(before, after)| before.iter().zip(after).map(grow).collect())
        .collect()
}

/// Returns the tokens that each rank's experts handled, replicas sharing evenly.
fn rank_tokens(map: &Map, layers: &[Vec<u32>]) -> Vec<u64> {
    let mut tokens = vec![0; usize::from(map.ranks)];
    for (index, counts) in layers.iter().enumerate().take(map.layers.len()) {
        let mut replicas = vec![0_u64; usize::from(map.experts)];
        for &expert in &map.layers[index].0 {
            replicas[usize::from(expert)] += 1;
        }
        for rank in 0..map.ranks {
            let hosted = map
                .hosted(index, rank)
                .iter()
                .map(|&expert| usize::from(expert));
            let share = |expert: usize| {
                u64::from(counts.get(expert).copied().unwrap_or(0)) / replicas[expert].max(1)
            };
            tokens[usize::from(rank)] += hosted.map(share).sum::<u64>();
        }
    }
    tokens
}
