//! Policies for changing an expert map.

use std::time::Duration;

use auburnline_core::expert::Layer;
use auburnline_core::expert::Map;
use auburnline_core::published::Rebalance;
use auburnline_rebalance::Config;
use auburnline_rebalance::Counts;
use auburnline_rebalance::Planner;
use auburnline_rebalance::counts::Shape;
use auburnline_rebalance::decision::Choice;
use auburnline_rebalance::pack;
use auburnline_rebalance::popularity::Estimate;
use auburnline_rebalance::skew;
use auburnline_rebalance::skew::Ranks;
use auburnline_rebalance::straggler::Answer;

/// Number of reports that the estimate of [`Policy::Repack`] averages over.
const REPACK_REPORTS: f64 = 10.0;
/// Skew of a layer above which [`Policy::Threshold`] swaps.
const THRESHOLD: f64 = 1.1;

/// Changes that a policy requests.
#[derive(Default)]
pub(crate) struct Request {
    /// New map; `None` keeps the one in force.
    pub(crate) map: Option<Map>,
    /// New share of each rank; `None` keeps the shares in force.
    pub(crate) share: Option<Vec<f64>>,
    /// Whether the group should be drained.
    pub(crate) drain: bool,
}

/// Policy with its state.
pub(crate) enum Policy {
    /// Keeps the initial map.
    Never,
    /// Rebuilds the whole map from scratch once per period.
    Repack {
        /// Popularity estimate that the map is built from.
        estimate: Box<Estimate>,
        /// Time between repacks.
        period: Duration,
        /// Time at which the next repack is due.
        next: Duration,
    },
    /// In each layer whose skew in the last report exceeds a threshold, swaps the hottest expert of the
    /// slowest rank with the coldest of the fastest.
    Threshold(Option<Box<Counts>>),
    /// Uses the planner, under a preset's weights.
    Planner(Box<Planner>, Rebalance),
}

impl Policy {
    pub(crate) fn repack(shape: Shape, period: Duration) -> Self {
        let estimate = Estimate::new(shape, REPACK_REPORTS);
        Policy::Repack {
            estimate: Box::new(estimate),
            period,
            next: period,
        }
    }

    pub(crate) fn planner(shape: Shape, weights: Rebalance) -> Self {
        let planner = Planner::new(Config::default(), shape);
        Policy::Planner(Box::new(planner), weights)
    }

    /// Processes a report that arrives at `now`.
    pub(crate) fn observe(&mut self, now: Duration, counts: &Counts) {
        match self {
            Policy::Never => {}
            Policy::Repack { estimate, .. } => {
                estimate.observe(now.saturating_sub(counts.age), counts);
            }
            Policy::Threshold(last) => *last = Some(Box::new(counts.clone())),
            Policy::Planner(planner, _) => {
                planner.observe(now, counts);
            }
        }
    }

    /// Returns the changes to make, given the map in force.
    pub(crate) fn decide(&mut self, now: Duration, map: &Map) -> Request {
        match self {
            Policy::Never => Request::default(),
            Policy::Repack {
                estimate,
                period,
                next,
            } => {
                if now < *next {
                    return Request::default();
                }
                *next = now + *period;
                let layers = (0..map.layers.len()).map(|layer| {
                    let shares = estimate.shares(layer, now, now).mean;
                    pack::refined(&shares, usize::from(map.ranks), map.places())
                });
                request_map(
                    map,
                    layers.map(|layer| layer.expect("enough places")).collect(),
                )
            }
            Policy::Threshold(last) => match last.take() {
                Some(counts) => threshold(map, &counts),
                None => Request::default(),
            },
            Policy::Planner(planner, weights) => plan(planner, weights, now, map),
        }
    }
}

fn request_map(map: &Map, layers: Vec<Layer>) -> Request {
    Request {
        map: Some(Map {
            generation: map.generation + 1,
            layers,
            ..map.clone()
        }),
        ..Request::default()
    }
}

fn plan(planner: &mut Planner, weights: &Rebalance, now: Duration, map: &Map) -> Request {
    let decision = planner.decide(now, map, weights);
    let mut share = vec![1.0; usize::from(map.ranks)];
    if let Answer::Relieve { ranks, .. } = &decision.answer {
        for relief in ranks {
            share[usize::from(relief.rank)] = relief.share;
        }
    }
    let drain = matches!(decision.answer, Answer::Drain { .. });
    Request {
        map: match decision.choice {
            Choice::Stay => None,
            Choice::Change(map) => Some(*map),
        },
        share: (!drain).then_some(share),
        drain,
    }
}

/// Attributes a rank's time to the popularity of its experts, as a policy without straggler detection does.
fn threshold(map: &Map, counts: &Counts) -> Request {
    let slowness: Vec<f64> = counts
        .ranks
        .iter()
        .map(|work| {
            let tokens = u32::try_from(work.tokens).unwrap_or(u32::MAX);
            work.busy.as_secs_f64() / f64::from(tokens.max(1))
        })
        .collect();
    let ranks = Ranks {
        share: vec![1.0; slowness.len()],
        slowness,
    };
    let mut layers = map.layers.clone();
    let mut changed = false;
    for (layer, tokens) in layers.iter_mut().zip(&counts.layers) {
        let tokens: Vec<f64> = tokens.iter().map(|&count| f64::from(count)).collect();
        let times = skew::times(layer, &tokens, &ranks);
        if skew::summarize(&times).ratio() > THRESHOLD {
            swap(layer, &tokens, &times);
            changed = true;
        }
    }
    if changed {
        request_map(map, layers)
    } else {
        Request::default()
    }
}

fn swap(layer: &mut Layer, tokens: &[f64], times: &[f64]) {
    let places = layer.0.len() / times.len();
    let by_time = |a: &usize, b: &usize| times[*a].total_cmp(&times[*b]);
    let hot = (0..times.len()).max_by(by_time).unwrap_or(0);
    let cold = (0..times.len()).min_by(by_time).unwrap_or(0);
    let by_tokens = |a: &usize, b: &usize| {
        tokens[usize::from(layer.0[*a])].total_cmp(&tokens[usize::from(layer.0[*b])])
    };
    let from = (hot * places..(hot + 1) * places).max_by(by_tokens);
    let to = (cold * places..(cold + 1) * places).min_by(by_tokens);
    if let (Some(from), Some(to)) = (from, to) {
        layer.0.swap(from, to);
    }
}
