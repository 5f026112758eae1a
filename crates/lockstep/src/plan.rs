//! Which map is worth a change.
//!
//! In each layer a pass takes as long as its most loaded rank. A plan starts from the layout in force
//! and takes the small changes that lower that rank most, one layer after the other, until the copying
//! of a rank would take too long or nothing more is gained. It is worth a change if the gain over the
//! time that popularity lasts pays for the slower passes while weights are copied.
//!
//! Right after a shift of demand passes are at their longest, and copying makes them longer still. So what
//! a shift asks for is done by two changes: [`Scope::RELIEF`] copies for a moment only and takes off the worst,
//! and [`Scope::REST`] goes on from there, when passes are short enough again to bear the copying.

use std::time::Duration;

use auburnline_core::expert::Layer;
use auburnline_core::id::Expert;
use auburnline_rebalance::search;
use auburnline_rebalance::search::Outlook;
use auburnline_rebalance::search::Path;

use crate::layout::Layout;
use crate::layout::Shape;
use crate::real;

/// Most loaded rank over the mean that plans come down to: 1.3 to 1.4 in the lines of leads on the users' larger days.
const AIMED_SKEW: f64 = 1.3;

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
    /// While demand stays as it is. A popularity that lasts few seconds is over before a copying of more than
    /// 0.3 s pays: 0.45 s gave less on the users' smaller deployments. Smaller gains cost more than they
    /// brought (27 changes a day, of which 16 gained less than a quarter of the skew, which under full load is
    /// 5.5 ms of a pass). Half the least step moved more bytes for nothing on larger groups, and twice as much
    /// gave less on smaller ones.
    pub const STEADY: Scope = Scope {
        longest_copy: Duration::from_millis(300),
        least_gain: Duration::from_micros(5_500),
        least_step: Duration::from_micros(130),
        searched: 24,
    };
    /// Right after a shift. On the popularity of the users' larger days three copies on a rank (81 ms) bring
    /// the skew from 2.73 to 1.81 in the mean, eight bring it to 1.55. Two changes of a layer are made there, and
    /// the search takes 5 ms of a whole core for 24 changes of each layer, which is 35 ms on the instance.
    pub const RELIEF: Scope = Scope {
        longest_copy: Duration::from_millis(100),
        searched: 8,
        ..Scope::STEADY
    };
    /// After the first change that answers a shift. There the next copies bring the skew from 1.81 to 1.35, and
    /// passes are short enough to bear the copying.
    pub const REST: Scope = Scope {
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
        let mean = sum / real(ranks.max(1));
        let burdens: Vec<f64> = slowness.iter().map(|times| burden(*times, mean)).collect();
        let outlook = Outlook::steady(shares).burdened(&burdens);
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
            ((now - self.skew(taken)) / real(copies.max(1)), taken)
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
    let mut layout = before.clone();
    let mut closed = vec![false; drafts.len()];
    while let Some((layer, taken)) = best(&drafts, &closed, least_step) {
        let mut next = layout.clone();
        next.0[layer] = drafts[layer].layer(taken, ranks);
        if fits(&next, before, shape, scope.longest_copy) {
            drafts[layer].taken = taken;
            layout = next;
        } else {
            closed[layer] = true;
        }
    }
    let skew_after = skew(&drafts);
    let copies = layout.new_by_rank(before).into_iter().max().unwrap_or(0);
    let is_worth = skew_before - skew_after >= skew_of(scope.least_gain) && copies > 0;
    is_worth.then_some(Plan {
        layout,
        skew_before,
        skew_after,
        copies,
    })
}

/// Returns the load that stands for a rank's slowness: one that takes twice as long may hold half of what is aimed at.
fn burden(slowness: f64, mean: f64) -> f64 {
    (1.0 - 1.0 / slowness.max(1.0)) * mean * AIMED_SKEW
}

fn skew(drafts: &[Draft]) -> f64 {
    let sum: f64 = drafts.iter().map(|draft| draft.skew(draft.taken)).sum();
    sum / real(drafts.len().max(1))
}

/// Returns the layer whose next changes pay best, and how many changes it then has.
fn best(drafts: &[Draft], closed: &[bool], least_step: f64) -> Option<(usize, usize)> {
    let open = drafts
        .iter()
        .enumerate()
        .filter(|(layer, _)| !closed[*layer]);
    let gains = open.filter_map(|(layer, draft)| Some((draft.next()?, layer)));
    let ((gain, taken), layer) = gains.max_by(|one, other| one.0.0.total_cmp(&other.0.0))?;
    let overall = gain / real(drafts.len().max(1));
    (overall >= least_step).then_some((layer, taken))
}

/// Returns whether no rank would copy more than it may, nor longer than it should.
fn fits(next: &Layout, before: &Layout, shape: &Shape, longest_copy: Duration) -> bool {
    let copies = next.new_by_rank(before).into_iter().max().unwrap_or(0);
    let copies = u32::try_from(copies).unwrap_or(u32::MAX);
    let is_quick = copies <= 1 || shape.copy.saturating_mul(copies) <= longest_copy;
    let is_allowed = next.0.iter().zip(&before.0).all(|(layer, old)| {
        layer.iter().zip(old).all(|(held, had)| {
            let new = held.iter().filter(|expert| !had.contains(expert));
            held.len() <= shape.places && new.count() <= shape.most_new
        })
    });
    is_quick && is_allowed
}

/// Returns a layer with all places filled: an empty one repeats the rank's least chosen expert, which
/// changes no load and is free to be replaced.
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
