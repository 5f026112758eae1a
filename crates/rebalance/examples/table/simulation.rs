//! Simulates all policies over the same trace and sums up the costs of each.

use std::time::Duration;

use auburnline_core::expert::Layer;
use auburnline_core::expert::Map;
use auburnline_core::published::Rebalance;
use auburnline_rebalance::Counts;
use auburnline_rebalance::counts::Shape;
use auburnline_rebalance::pack;
use auburnline_rebalance::search;
use auburnline_rebalance::search::Conditions;
use auburnline_rebalance::skew;
use auburnline_rebalance::skew::Ranks;

use crate::DIALLO;
use crate::NAIROBI;
use crate::policy::Policy;
use crate::trace;
use crate::trace::Kind;
use crate::trace::Sample;
use crate::trace::TICK;
use crate::trace::TOKEN_SECONDS;
use crate::trace::Trace;
use crate::trace::Truth;

/// Number of places of each rank in each layer.
const PLACES: usize = 5;
/// Time from a decision until its map is in force.
const CHANGE_DURATION: Duration = Duration::from_mins(1);
/// Bytes of one expert of one layer.
const EXPERT_BYTES: f64 = 44_040_192.0;
/// Bytes in a gibibyte.
const GIBIBYTE: f64 = 1_073_741_824.0;
/// Number of steps that any change disrupts, and that each load on the rank with the most loads adds.
const DISRUPTED_STEPS: (f64, f64) = (2.0, 0.5);
/// Maximum number of changes that [`Bound`] makes in each layer per tick.
const BOUND_CHANGES: usize = 8;
/// Number of ticks between those at which [`Bound`] also tries layers packed from scratch.
const REPACK_TICKS: u32 = 60;

/// Costs of one policy so far.
#[derive(Default)]
struct Costs {
    skews: Vec<f64>,
    /// Seconds lost compared with perfectly even ranks.
    lost: f64,
    changes: u32,
    loads: f64,
    steps: f64,
    /// Hours for which the policy requested a drain.
    drained: f64,
}

/// Simulation of one policy over one trace.
struct Run {
    name: &'static str,
    policy: Policy,
    map: Map,
    share: Vec<f64>,
    pending: Option<(Duration, Map)>,
    undelivered: Vec<(Duration, Counts)>,
    costs: Costs,
}

/// One row of the table.
pub(crate) struct Row {
    trace: &'static str,
    policy: &'static str,
    mean: f64,
    p95: f64,
    changes: u32,
    loads: f64,
    gib: f64,
    steps: f64,
    drained: f64,
    diallo: f64,
    nairobi: f64,
}

impl Row {
    /// Returns the header, as text or CSV.
    pub(crate) fn header(csv: bool) -> String {
        if csv {
            return "trace,policy,skew_mean,skew_p95,changes,moves,gib,steps,drained_h,diallo,nairobi"
                .to_owned();
        }
        format!(
            "{:<16}{:<16}{:>8}{:>8}{:>8}{:>9}{:>9}{:>8}{:>8}{:>10}{:>10}",
            "trace",
            "policy",
            "mean",
            "p95",
            "changes",
            "moves",
            "GiB",
            "steps",
            "drain h",
            "Diallo",
            "Nairobi"
        )
    }

    /// Returns the row, as text or CSV.
    pub(crate) fn format(&self, csv: bool) -> String {
        if csv {
            return format!(
                "{},{},{:.4},{:.4},{},{:.0},{:.2},{:.1},{:.2},{:.1},{:.1}",
                self.trace,
                self.policy,
                self.mean,
                self.p95,
                self.changes,
                self.loads,
                self.gib,
                self.steps,
                self.drained,
                self.diallo,
                self.nairobi
            );
        }
        format!(
            "{:<16}{:<16}{:>8.4}{:>8.4}{:>8}{:>9.0}{:>9.1}{:>8.1}{:>8.2}{:>10.0}{:>10.0}",
            self.trace,
            self.policy,
            self.mean,
            self.p95,
            self.changes,
            self.loads,
            self.gib,
            self.steps,
            self.drained,
            self.diallo,
            self.nairobi
        )
    }
}

impl Costs {
    fn count_step(&mut self, map: &Map, truth: &Truth, share: &[f64]) {
        let ranks = Ranks {
            slowness: truth.slowness.clone(),
            share: share.to_vec(),
        };
        let skew = skew::predict(map, &truth.shares, &ranks);
        let slowest: f64 = skew.layers.iter().map(|layer| layer.slowest).sum();
        let even = f64::from(u32::try_from(map.layers.len()).unwrap_or(0)) / f64::from(map.ranks);
        self.skews.push(skew.overall());
        self.lost += (slowest - even) * truth.rate * TOKEN_SECONDS * TICK.as_secs_f64();
    }

    fn count_change(&mut self, old: &Map, new: &Map) {
        assert_eq!(new.check(), Ok(()));
        let mut ranks = vec![0.0; usize::from(old.ranks)];
        for (old_layer, new_layer) in old.layers.iter().zip(&new.layers) {
            for (place, (a, b)) in old_layer.0.iter().zip(&new_layer.0).enumerate() {
                if a != b {
                    ranks[place / old.places()] += 1.0;
                }
            }
        }
        self.changes += 1;
        self.loads += ranks.iter().sum::<f64>();
        self.steps +=
            DISRUPTED_STEPS.0 + DISRUPTED_STEPS.1 * ranks.iter().copied().fold(0.0, f64::max);
    }

    fn cost(&self, weights: &Rebalance) -> f64 {
        self.lost * weights.skew_weight
            + self.loads * EXPERT_BYTES / GIBIBYTE * weights.move_weight
            + self.steps * weights.disruption_weight
    }

    fn row(mut self, trace: &'static str, policy: &'static str) -> Row {
        self.skews.sort_by(f64::total_cmp);
        let count = self.skews.len();
        let mean = self.skews.iter().sum::<f64>() / f64::from(u32::try_from(count).unwrap_or(1));
        Row {
            trace,
            policy,
            mean,
            p95: self.skews[count * 95 / 100],
            changes: self.changes,
            loads: self.loads,
            gib: self.loads * EXPERT_BYTES / GIBIBYTE,
            steps: self.steps,
            drained: self.drained,
            diallo: self.cost(&DIALLO),
            nairobi: self.cost(&NAIROBI),
        }
    }
}

impl Run {
    fn new(name: &'static str, policy: Policy, map: &Map) -> Self {
        Run {
            name,
            policy,
            map: map.clone(),
            share: vec![1.0; usize::from(map.ranks)],
            pending: None,
            undelivered: Vec::new(),
            costs: Costs::default(),
        }
    }

    fn step(&mut self, now: Duration, truth: &Truth, sample: &Sample, sequence: u64) {
        self.costs.count_step(&self.map, truth, &self.share);
        if let Some(lag) = sample.lag {
            let counts = trace::report(sample, sequence, &self.map, &truth.slowness, &self.share);
            if sample.twice {
                self.undelivered.push((now + lag + TICK, counts.clone()));
            }
            self.undelivered.push((now + lag, counts));
        }
        self.deliver(now);
        self.take_pending(now);
        if self.pending.is_some() {
            return;
        }
        let request = self.policy.decide(now, &self.map);
        if let Some(share) = request.share {
            self.share = share;
        }
        if request.drain {
            self.costs.drained += TICK.as_secs_f64() / 3_600.0;
        }
        self.pending = request.map.map(|map| (now + CHANGE_DURATION, map));
    }

    fn deliver(&mut self, now: Duration) {
        let due = std::mem::take(&mut self.undelivered);
        for (at, mut counts) in due {
            if at <= now {
                counts.age += now.saturating_sub(at);
                self.policy.observe(now, &counts);
            } else {
                self.undelivered.push((at, counts));
            }
        }
    }

    fn take_pending(&mut self, now: Duration) {
        if let Some((at, map)) = self.pending.take() {
            if at <= now {
                self.costs.count_change(&self.map, &map);
                self.map = map;
            } else {
                self.pending = Some((at, map));
            }
        }
    }
}

/// Reference for the policies: the best map found for the true popularity at each tick, at no cost.
struct Bound {
    map: Map,
    tick: u32,
    costs: Costs,
}

impl Bound {
    fn step(&mut self, truth: &Truth) {
        let repack = self.tick.is_multiple_of(REPACK_TICKS);
        self.tick += 1;
        let ranks = Ranks {
            slowness: truth.slowness.clone(),
            share: vec![1.0; truth.slowness.len()],
        };
        let slow = truth.slowness.iter().any(|&slowness| slowness > 1.0);
        for (layer, shares) in self.map.layers.iter_mut().zip(&truth.shares) {
            let count = ranks.slowness.len();
            let path = search::improve(layer, count, Conditions::steady(shares), BOUND_CHANGES);
            let mut others = vec![path.apply(layer, path.changes.len())];
            if repack {
                others.extend(pack::refined(shares, count, PLACES));
            }
            if slow {
                others.extend(pack::layer(shares, &ranks.slowness, PLACES));
            }
            for other in others {
                if slowest(&other, shares, &ranks) < slowest(layer, shares, &ranks) {
                    *layer = other;
                }
            }
        }
        self.costs.count_step(&self.map, truth, &ranks.share);
    }
}

fn slowest(layer: &Layer, shares: &[f64], ranks: &Ranks) -> f64 {
    skew::summarize(&skew::times(layer, shares, ranks)).slowest
}

/// Simulates all policies over the trace of `kind`.
pub(crate) fn run(kind: Kind, shape: Shape, hours: u32, seed: u64) -> Vec<Row> {
    let mut trace = Trace::new(kind, shape, seed);
    let map = initial_map(&trace.truth(0.0), shape);
    let hour = Duration::from_hours(1);
    let mut runs = [
        Run::new("never", Policy::Never, &map),
        Run::new("repack 1 h", Policy::repack(shape, hour), &map),
        Run::new("repack 30 min", Policy::repack(shape, hour / 2), &map),
        Run::new("threshold", Policy::Threshold(None), &map),
        Run::new("planner Diallo", Policy::planner(shape, DIALLO), &map),
        Run::new("planner Nairobi", Policy::planner(shape, NAIROBI), &map),
    ];
    let mut bound = Bound {
        map,
        tick: 0,
        costs: Costs::default(),
    };
    for tick in 1..=hours * 120 {
        let now = TICK * tick;
        let truth = trace.truth(now.as_secs_f64() / 3_600.0);
        let sample = trace.sample(&truth);
        for run in &mut runs {
            run.step(now, &truth, &sample, u64::from(tick));
        }
        bound.step(&truth);
    }
    let mut rows = vec![bound.costs.row(kind.name(), "bound")];
    rows.extend(
        runs.into_iter()
            .map(|run| run.costs.row(kind.name(), run.name)),
    );
    rows
}

/// Returns a map packed and refined for the popularity at the start.
fn initial_map(truth: &Truth, shape: Shape) -> Map {
    let layers = truth.shares.iter().map(|shares| {
        pack::refined(shares, usize::from(shape.ranks), PLACES).expect("enough places")
    });
    Map {
        generation: 1,
        ranks: shape.ranks,
        experts: shape.experts,
        layers: layers.collect(),
    }
}
