//! Which map is worth a change.
//!
//! In each layer a pass takes as long as its most loaded rank. A plan starts from the layout in force
//! and takes the small changes that lower that rank most, one layer after the other, until the copying
//! of a rank would take too long or nothing more is gained. It is worth a change if the gain over the
//! time that popularity lasts pays for the slower passes while weights are copied.
//!
//! Right after a shift of demand passes are at their longest, and copying makes them longer still. So what
//! a shift asks for is done by two changes: [`Scope::IMMEDIATE`] copies for a moment only and takes off the worst,
//! and [`Scope::FOLLOW_UP`] goes on from there, when passes are short enough again to bear the copying.

use std::time::Duration;

use auburnline_core::expert::Layer;
use auburnline_core::id::Expert;
use auburnline_rebalance::search;
use auburnline_rebalance::search::Outlook;
use auburnline_rebalance::search::Path;

use crate::layout::Layout;
use crate::layout::Shape;
use crate::to_f64;

/// How much one change may do, and what it has to bring.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scope {
    /// Longest copying on one rank; one expert is always allowed.
    pub longest_copy: Duration,
    /// Least time off a pass that a change of map is worth.
    pub least_gain: Duration,
    /// Least time off a pass that one more copy of an expert is worth. A copy moves its weights and holds its
    /// rank for a moment.
    pub least_step: Duration,
    /// Most changes of one layer that are searched.
    pub searched: usize,
}

impl Scope {
    /// While demand stays as it is. A popularity that lasts few seconds is over before a long copying pays, and a change costs
    /// more than a small gain brings.
    pub const STEADY: Scope = Scope {
        longest_copy: Duration::from_millis(300),
        least_gain: Duration::from_micros(5_500),
        least_step: Duration::from_micros(130),
        searched: 24,
    };
    /// Right after a shift: the first few copies bring most, and sooner.
    pub const IMMEDIATE: Scope = Scope {
        longest_copy: Duration::from_millis(100),
        searched: 8,
        ..Scope::STEADY
    };
    /// After the first change that answers a shift, where passes are short enough to bear more copying.
    pub const FOLLOW_UP: Scope = Scope {
        longest_copy: Duration::from_millis(300),
        least_gain: Duration::from_micros(2_200),
        least_step: Duration::from_micros(65),
        searched: 24,
    };
}

/// A layout that is worth a change.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Layout.
    pub layout: Layout,
    /// Most loaded rank over the mean before, mean of all layers.
    pub skew_before: f64,
    /// The same after.
    pub skew_after: f64,
    /// Most experts that one rank copies.
    pub copies: usize,
}

/// One layer on its way from the layout in force.
struct Draft {
    start: Layer,
    path: Path,
    /// Changes taken so far.
    taken: usize,
    /// Mean load of a rank.
    mean: f64,
}

impl Draft {
    fn new(
        held: &[Vec<Expert>],
        shares: &[f64],
        shape: &Shape,
        searched: usize,
        slowness: &[f64],
    ) -> Draft {
        let start = padded(held, shares, shape.places);
        let ranks = held.len();
        let sum: f64 = shares.iter().sum();
        let mean = sum / to_f64(ranks.max(1));
        let outlook = outlook(shares, slowness);
        let path = search::improve(&start, ranks, outlook, searched);
        Draft {
            start,
            path,
            taken: 0,
            mean,
        }
    }

    fn skew(&self, taken: usize) -> f64 {
        self.path.points[taken].slowest / self.mean
    }

    /// Returns the fall for each copy up to the change that pays best, and how many changes that takes.
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

/// Returns the layout that is worth a change from `before` under `shares`, where the experts' part of a pass
/// would be `work` if it lay evenly on all ranks, and each rank takes `slowness` times as long for its own.
#[must_use]
pub fn plan(
    before: &Layout,
    shares: &[Vec<f64>],
    shape: &Shape,
    scope: &Scope,
    work: Duration,
    slowness: &[f64],
) -> Option<Plan> {
    let skew_of = |time: Duration| time.as_secs_f64() / work.as_secs_f64().max(f64::EPSILON);
    let least_step = skew_of(scope.least_step);
    let ranks = before.0.first()?.len();
    let mut drafts: Vec<Draft> = before
        .0
        .iter()
        .zip(shares)
        .map(|(held, shares)| Draft::new(held, shares, shape, scope.searched, slowness))
        .collect();
    let skew_before = skew(&drafts);
    let mut board = Board::new(before, shape, scope.longest_copy);
    let mut closed = vec![false; drafts.len()];
    while let Some((layer, taken)) = best(&drafts, &closed, least_step) {
        if board.lay(layer, drafts[layer].layer(taken, ranks)) {
            drafts[layer].taken = taken;
        } else {
            closed[layer] = true;
        }
    }
    let skew_after = skew(&drafts);
    let copies = board.most_copies();
    let is_worth = skew_before - skew_after >= skew_of(scope.least_gain) && copies > 0;
    is_worth.then_some(Plan {
        layout: board.layout,
        skew_before,
        skew_after,
        copies,
    })
}

fn skew(drafts: &[Draft]) -> f64 {
    let sum: f64 = drafts.iter().map(|draft| draft.skew(draft.taken)).sum();
    sum / to_f64(drafts.len().max(1))
}

/// Returns the layer whose next changes pay best, and how many changes it then has.
fn best(drafts: &[Draft], closed: &[bool], least_step: f64) -> Option<(usize, usize)> {
    let open = drafts
        .iter()
        .enumerate()
        .filter(|(layer, _)| !closed[*layer]);
    let gains = open.filter_map(|(layer, draft)| Some((draft.next()?, layer)));
    let ((gain, taken), layer) = gains.max_by(|one, other| one.0.0.total_cmp(&other.0.0))?;
    let overall = gain / to_f64(drafts.len().max(1));
    (overall >= least_step).then_some((layer, taken))
}

/// A layout on its way from the one in force, with what each rank has to copy for it.
///
/// Only the layer that changes is counted anew: a group of 64 ranks and 12 layers is laid some hundred times for one plan.
struct Board<'a> {
    before: &'a Layout,
    shape: &'a Shape,
    longest_copy: Duration,
    layout: Layout,
    /// Experts that are new to each rank, layer by layer.
    new: Vec<Vec<usize>>,
    /// The same over all layers.
    copies: Vec<usize>,
}

impl<'a> Board<'a> {
    fn new(before: &'a Layout, shape: &'a Shape, longest_copy: Duration) -> Board<'a> {
        let ranks = before.0.first().map_or(0, Vec::len);
        Board {
            before,
            shape,
            longest_copy,
            layout: before.clone(),
            new: vec![vec![0; ranks]; before.0.len()],
            copies: vec![0; ranks],
        }
    }

    /// Lays one layer anew, unless a rank would copy more than it may, or longer than it should.
    fn lay(&mut self, layer: usize, held: Vec<Vec<Expert>>) -> bool {
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
        if !is_allowed || !self.is_quick(&copies) {
            return false;
        }
        self.layout.0[layer] = held;
        self.new[layer] = new;
        self.copies = copies;
        true
    }

    fn is_quick(&self, copies: &[usize]) -> bool {
        let most = copies.iter().copied().max().unwrap_or(0);
        let most = u32::try_from(most).unwrap_or(u32::MAX);
        most <= 1 || self.shape.copy.saturating_mul(most) <= self.longest_copy
    }

    fn most_copies(&self) -> usize {
        self.copies.iter().copied().max().unwrap_or(0)
    }
}

/// Returns what the search of a layer works for. Only a slow rank is worth an empty place: else one more replica evens loads.
fn outlook<'a>(shares: &'a [f64], slowness: &'a [f64]) -> Outlook<'a> {
    let outlook = Outlook::steady(shares).slowed(slowness);
    if slowness.iter().any(|times| *times > 1.0) {
        outlook.with_empty_places()
    } else {
        outlook
    }
}

/// Returns a layer with all places filled: an empty one repeats the rank's least chosen expert, and is free to be
/// replaced.
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
