//! Search for a layout that is worth a change.
//!
//! In each layer a pass takes as long as its most loaded rank. The planner starts from the layout in force and
//! greedily takes the small changes that lower the load of that rank most, in whichever layer gains most, until a
//! rank would copy for too long or nothing more is gained. A plan is worth a change if its gain over the time
//! that the popularity lasts pays for the slower passes while weights are copied.
//!
//! Right after a shift of demand, passes are at their longest, and copying makes them longer still. So the response
//! to a shift is split into two changes: [`Scope::IMMEDIATE`] copies for a short time only and removes the worst
//! overload, and [`Scope::FOLLOW_UP`] continues from there, when passes are short enough again to bear the copying.

use std::time::Duration;

use auburnline_core::expert::Layer;
use auburnline_core::id::Expert;
use auburnline_rebalance::search;
use auburnline_rebalance::search::Conditions;
use auburnline_rebalance::search::Path;

use crate::layout::Layout;
use crate::layout::Shape;
use crate::to_f64;

/// Limits of one change, and the gain that it must bring.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scope {
    /// Longest time that one rank may copy; one expert is always allowed.
    pub max_copy_time: Duration,
    /// Least reduction of the pass duration for which a change of map is worth it.
    pub min_gain: Duration,
    /// Least reduction of the pass duration for which one more copy of an expert is worth it. A copy moves its
    /// weights and stalls its rank for a moment.
    pub min_gain_per_copy: Duration,
    /// Limit on the changes that are searched in one layer.
    pub max_changes: usize,
}

impl Scope {
    /// For steady demand. Popularity that lasts a few seconds is over before long copying pays off, and a change
    /// costs more than a small gain brings.
    pub const STEADY: Scope = Scope {
        max_copy_time: Duration::from_millis(300),
        min_gain: Duration::from_micros(5_500),
        min_gain_per_copy: Duration::from_micros(130),
        max_changes: 24,
    };
    /// Right after a shift of demand: the first few copies bring most of the gain, and bring it sooner.
    pub const IMMEDIATE: Scope = Scope {
        max_copy_time: Duration::from_millis(100),
        max_changes: 8,
        ..Scope::STEADY
    };
    /// After the first change of the response to a shift, when passes are short enough to bear more copying.
    pub const FOLLOW_UP: Scope = Scope {
        max_copy_time: Duration::from_millis(300),
        min_gain: Duration::from_micros(2_200),
        min_gain_per_copy: Duration::from_micros(65),
        max_changes: 24,
    };
}

/// A layout that is worth a change.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Layout to change to.
    pub layout: Layout,
    /// Load of the most loaded rank over the mean on the layout in force, averaged over the layers.
    pub skew_before: f64,
    /// The same on the planned layout.
    pub skew_after: f64,
    /// Largest number of experts that one rank copies.
    pub copies: usize,
}

/// Search state of one layer, starting from the layout in force.
struct LayerSearch {
    start: Layer,
    path: Path,
    /// Number of changes of the path that are applied so far.
    taken: usize,
    /// Mean load of the ranks.
    mean: f64,
}

impl LayerSearch {
    fn new(
        held: &[Vec<Expert>],
        shares: &[f64],
        shape: &Shape,
        max_changes: usize,
        slowdown: &[f64],
    ) -> LayerSearch {
        let start = padded(held, shares, shape.places);
        let ranks = held.len();
        let sum: f64 = shares.iter().sum();
        let mean = sum / to_f64(ranks.max(1));
        let conditions = conditions(shares, slowdown);
        let path = search::improve(&start, ranks, conditions, max_changes);
        LayerSearch {
            start,
            path,
            taken: 0,
            mean,
        }
    }

    fn skew(&self, taken: usize) -> f64 {
        self.path.points[taken].slowest / self.mean
    }

    /// Returns the largest reduction of the skew per copy, and the number of changes of the path that reaches it.
    fn next(&self) -> Option<(f64, usize)> {
        let now = self.skew(self.taken);
        let later = self.taken + 1..self.path.points.len();
        let gains = later.map(|taken| {
            let copies = self.path.points[taken]
                .loads
                .saturating_sub(self.path.points[self.taken].loads);
            ((now - self.skew(taken)) / to_f64(copies.max(1)), taken)
        });
        gains.max_by(|one, other| one.0.total_cmp(&other.0))
    }

    fn layer(&self, taken: usize, ranks: usize) -> Vec<Vec<Expert>> {
        let layer = self.path.apply(&self.start, taken);
        let places = layer.0.len() / ranks.max(1);
        layer.0.chunks(places.max(1)).map(distinct).collect()
    }
}

/// Returns the layout that is worth a change from `before` under `shares`; none if there is none. The experts' part
/// of a pass would take `work` if it were spread evenly over all ranks, and each rank takes `slowdown` times as long
/// for its own part.
#[must_use]
pub fn plan(
    before: &Layout,
    shares: &[Vec<f64>],
    shape: &Shape,
    scope: &Scope,
    work: Duration,
    slowdown: &[f64],
) -> Option<Plan> {
    let skew_of = |time: Duration| time.as_secs_f64() / work.as_secs_f64().max(f64::EPSILON);
    let min_gain_per_copy = skew_of(scope.min_gain_per_copy);
    let ranks = before.0.first()?.len();
    let mut searches: Vec<LayerSearch> = before
        .0
        .iter()
        .zip(shares)
        .map(|(held, shares)| LayerSearch::new(held, shares, shape, scope.max_changes, slowdown))
        .collect();
    let skew_before = skew(&searches);
    let mut candidate = Candidate::new(before, shape, scope.max_copy_time);
    let mut closed = vec![false; searches.len()];
    while let Some((layer, taken)) = best(&searches, &closed, min_gain_per_copy) {
        if candidate.replace_layer(layer, searches[layer].layer(taken, ranks)) {
            searches[layer].taken = taken;
        } else {
            closed[layer] = true;
        }
    }
    let skew_after = skew(&searches);
    let copies = candidate.most_copies();
    let is_worthwhile = skew_before - skew_after >= skew_of(scope.min_gain) && copies > 0;
    is_worthwhile.then_some(Plan {
        layout: candidate.layout,
        skew_before,
        skew_after,
        copies,
    })
}

fn skew(searches: &[LayerSearch]) -> f64 {
    let sum: f64 = searches
        .iter()
        .map(|search| search.skew(search.taken))
        .sum();
    sum / to_f64(searches.len().max(1))
}

/// Returns the layer whose next changes gain most per copy, and how many of its changes are then applied.
fn best(
    searches: &[LayerSearch],
    closed: &[bool],
    min_gain_per_copy: f64,
) -> Option<(usize, usize)> {
    let open = searches
        .iter()
        .enumerate()
        .filter(|(layer, _)| !closed[*layer]);
    let gains = open.filter_map(|(layer, search)| Some((search.next()?, layer)));
    let ((gain, taken), layer) = gains.max_by(|one, other| one.0.0.total_cmp(&other.0.0))?;
    let overall = gain / to_f64(searches.len().max(1));
    (overall >= min_gain_per_copy).then_some((layer, taken))
}

/// Candidate layout, with the number of experts that each rank must copy for it.
///
/// Only the layer that changes is counted again: for a group of 64 ranks and 12 layers, one plan sets layers some
/// hundred times.
struct Candidate<'a> {
    before: &'a Layout,
    shape: &'a Shape,
    max_copy_time: Duration,
    layout: Layout,
    /// Number of experts that are new to each rank, layer by layer.
    new: Vec<Vec<usize>>,
    /// The same over all layers.
    copies: Vec<usize>,
}

impl<'a> Candidate<'a> {
    fn new(before: &'a Layout, shape: &'a Shape, max_copy_time: Duration) -> Candidate<'a> {
        let ranks = before.0.first().map_or(0, Vec::len);
        Candidate {
            before,
            shape,
            max_copy_time,
            layout: before.clone(),
            new: vec![vec![0; ranks]; before.0.len()],
            copies: vec![0; ranks],
        }
    }

    /// Replaces one layer and returns true, unless a rank would hold or copy too many experts or copy for too long.
    fn replace_layer(&mut self, layer: usize, held: Vec<Vec<Expert>>) -> bool {
        let old = &self.before.0[layer];
        let new = held.iter().zip(old).map(|(held, had)| {
            let new = held.iter().filter(|expert| !had.contains(expert));
            new.count()
        });
        let new: Vec<usize> = new.collect();
        let is_allowed = held
            .iter()
            .zip(&new)
            .all(|(held, new)| held.len() <= self.shape.places && *new <= self.shape.most_new);
        let copies = self.copies.iter().zip(&self.new[layer]).zip(&new);
        let copies: Vec<usize> = copies
            .map(|((sum, before), now)| sum - before + now)
            .collect();
        if !is_allowed || !self.is_copied_in_time(&copies) {
            return false;
        }
        self.layout.0[layer] = held;
        self.new[layer] = new;
        self.copies = copies;
        true
    }

    fn is_copied_in_time(&self, copies: &[usize]) -> bool {
        let most = copies.iter().copied().max().unwrap_or(0);
        let most = u32::try_from(most).unwrap_or(u32::MAX);
        most <= 1 || self.shape.copy.saturating_mul(most) <= self.max_copy_time
    }

    fn most_copies(&self) -> usize {
        self.copies.iter().copied().max().unwrap_or(0)
    }
}

/// Returns the objective of the search of a layer. Empty places are allowed only if a rank is slow; otherwise one
/// more replica evens out the loads.
fn conditions<'a>(shares: &'a [f64], slowdown: &'a [f64]) -> Conditions<'a> {
    let conditions = Conditions::steady(shares).slowed(slowdown);
    if slowdown.iter().any(|times| *times > 1.0) {
        conditions.with_empty_places()
    } else {
        conditions
    }
}

/// Returns a layer with all places filled. An empty place repeats the rank's least selected expert, and is free to
/// be replaced.
fn padded(held: &[Vec<Expert>], shares: &[f64], places: usize) -> Layer {
    let share = |expert: &Expert| shares.get(usize::from(*expert)).copied().unwrap_or(0.0);
    let mut layer = Vec::with_capacity(held.len() * places);
    for held in held {
        let least = held
            .iter()
            .min_by(|one, other| share(one).total_cmp(&share(other)));
        let least = least.copied().unwrap_or(0);
        layer.extend(held.iter().copied());
        layer.extend(std::iter::repeat_n(
            least,
            places.saturating_sub(held.len()),
        ));
    }
    Layer(layer)
}

fn distinct(held: &[Expert]) -> Vec<Expert> {
    let mut held = held.to_vec();
    held.sort_unstable();
    held.dedup();
    held
}
