//! Seeded traces of popularity and of the ranks' slowness, with the reports drawn from them.

use std::f64::consts::TAU;
use std::time::Duration;

use auburnline_core::expert::Layer;
use auburnline_core::expert::Map;
use auburnline_rebalance::Counts;
use auburnline_rebalance::counts::Shape;
use auburnline_rebalance::counts::Work;
use auburnline_rebalance::skew;
use auburnline_rebalance::skew::Ranks;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Time between reports, and step of the simulation.
pub(crate) const TICK: Duration = Duration::from_secs(30);
/// Seconds that a rank of usual speed takes per token of one layer.
pub(crate) const TOKEN_SECONDS: f64 = 4e-6;
/// Tokens per second that each layer's experts process, averaged over a day.
const RATE: f64 = 140_000.0;
/// Standard deviation of the logarithm of popularity over the experts.
const SPREAD: f64 = 0.8;
/// Relative standard deviation of a report's counts in addition to sampling noise.
const NOISE: f64 = 0.05;
/// Number of tokens routed to an expert together, which raises sampling noise.
const CLUMP: f64 = 20.0;
/// Relative standard deviation of the ranks' measured times.
const TIMING_NOISE: f64 = 0.02;
/// Mean number of reports between bursts for one expert of each layer.
const BURST_EVERY: u32 = 200;
/// Factor by which a burst multiplies an expert's count.
const BURST: f64 = 3.0;
/// Slow rank in the traces with a straggler.
const SLOW_RANK: usize = 11;
/// Slowness of [`SLOW_RANK`] relative to the other ranks.
const SLOWNESS: f64 = 1.6;
/// Factor by which an expert's popularity rises at once in [`Kind::Hot`].
const HOT: f64 = 6.0;

/// Kind of trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Smooth change over many hours.
    Drift,
    /// Three mixes of workloads whose proportions follow the hour of the day.
    Hours,
    /// One mix of workloads is replaced by another within six hours.
    Season,
    /// In every fourth layer one expert becomes hot at once, three times a day.
    Hot,
    /// Constant popularity with noise.
    Noise,
    /// A slow rank for four hours, with constant popularity.
    Straggler,
    /// A slow rank for four hours, while popularity drifts.
    Both,
}

impl Kind {
    /// All kinds, in the order of the table.
    pub(crate) const ALL: [Kind; 7] = [
        Kind::Drift,
        Kind::Hours,
        Kind::Season,
        Kind::Hot,
        Kind::Noise,
        Kind::Straggler,
        Kind::Both,
    ];

    /// Returns the name in the table and on the command line.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Kind::Drift => "drift",
            Kind::Hours => "hours",
            Kind::Season => "season",
            Kind::Hot => "hot",
            Kind::Noise => "noise",
            Kind::Straggler => "straggler",
            Kind::Both => "straggler+drift",
        }
    }

    const fn has_straggler(self) -> bool {
        matches!(self, Kind::Straggler | Kind::Both)
    }
}

/// Sine wave in the logarithm of one expert's popularity.
#[derive(Clone, Copy)]
struct Wave {
    hours: f64,
    phase: f64,
    height: f64,
}

/// Parameters of the logarithm of one expert's popularity.
#[derive(Clone, Copy)]
struct Parameters {
    base: f64,
    mixes: [f64; 3],
    waves: [Wave; 2],
}

/// True state of the group at one time.
#[derive(Clone, Debug)]
pub(crate) struct Truth {
    /// Share of each layer's tokens, by layer and expert.
    pub(crate) shares: Vec<Vec<f64>>,
    /// Slowness of each rank.
    pub(crate) slowness: Vec<f64>,
    /// Tokens per second in each layer.
    pub(crate) rate: f64,
}

/// Generator of one trace.
pub(crate) struct Trace {
    kind: Kind,
    shape: Shape,
    experts: Vec<Vec<Parameters>>,
    rng: ChaCha8Rng,
}

/// Counts of one span, and the delivery of the report.
pub(crate) struct Sample {
    /// Number of tokens, by layer and expert.
    pub(crate) layers: Vec<Vec<u32>>,
    /// Factor of noise on each rank's time.
    pub(crate) timing: Vec<f64>,
    /// Time until delivery; `None` if the report is lost.
    pub(crate) lag: Option<Duration>,
    /// Whether the report is delivered twice.
    pub(crate) twice: bool,
}

impl Trace {
    /// Draws the parameters of all experts from `seed`.
    pub(crate) fn new(kind: Kind, shape: Shape, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let experts = (0..shape.layers)
            .map(|_| (0..shape.experts).map(|_| parameters(&mut rng)).collect())
            .collect();
        Trace {
            kind,
            shape,
            experts,
            rng,
        }
    }

    /// Returns the true state at `hour`.
    pub(crate) fn truth(&self, hour: f64) -> Truth {
        let shares = (0..).zip(&self.experts);
        let shares = shares.map(|(layer, experts)| self.layer(layer, experts, hour));
        let mut slowness = vec![1.0; usize::from(self.shape.ranks)];
        if self.kind.has_straggler() && (6.0..10.0).contains(&hour) {
            slowness[SLOW_RANK % usize::from(self.shape.ranks)] = SLOWNESS;
        }
        Truth {
            shares: shares.collect(),
            slowness,
            rate: RATE * (1.0 - 0.4 * (TAU * hour / 24.0).cos()),
        }
    }

    fn layer(&self, layer: usize, experts: &[Parameters], hour: f64) -> Vec<f64> {
        let mut raw: Vec<f64> = experts
            .iter()
            .map(|parameters| popularity(self.kind, parameters, hour))
            .collect();
        if self.kind == Kind::Hot && layer.is_multiple_of(4) {
            let third = [4.0, 10.0, 17.0]
                .iter()
                .position(|start| (*start..start + 3.0).contains(&hour));
            if let Some(third) = third {
                raw[(layer + 37 * third) % experts.len()] *= HOT;
            }
        }
        let total: f64 = raw.iter().sum();
        raw.iter().map(|share| share / total).collect()
    }

    /// Draws the counts of the next span under `truth`.
    pub(crate) fn sample(&mut self, truth: &Truth) -> Sample {
        let volume = truth.rate * TICK.as_secs_f64() * self.rng.random_range(0.8..1.2);
        let burst = self.rng.random_ratio(1, BURST_EVERY);
        let mut layers = Vec::with_capacity(truth.shares.len());
        for shares in &truth.shares {
            let mut counts = Vec::with_capacity(shares.len());
            for share in shares {
                let expected = share * volume;
                let spread = (NOISE * NOISE + CLUMP / expected.max(CLUMP)).sqrt();
                counts.push(expected * (spread * normal(&mut self.rng)).exp());
            }
            if burst {
                let expert = self.rng.random_range(0..counts.len());
                counts[expert] *= BURST;
            }
            layers.push(counts.into_iter().map(rounded).collect());
        }
        let timing = (0..self.shape.ranks)
            .map(|_| 1.0 + TIMING_NOISE * normal(&mut self.rng))
            .collect();
        let lost = self.rng.random_ratio(1, 20);
        let lag = Duration::from_millis(self.rng.random_range(2_000..70_000));
        Sample {
            layers,
            timing,
            lag: (!lost).then_some(lag),
            twice: self.rng.random_ratio(1, 50),
        }
    }
}

fn parameters(rng: &mut ChaCha8Rng) -> Parameters {
    let wave = |rng: &mut ChaCha8Rng| Wave {
        hours: rng.random_range(10.0..40.0),
        phase: rng.random_range(0.0..TAU),
        height: rng.random_range(0.1..0.5),
    };
    Parameters {
        base: SPREAD * normal(rng),
        mixes: [(); 3].map(|()| 0.5 * normal(rng)),
        waves: [wave(rng), wave(rng)],
    }
}

fn popularity(kind: Kind, parameters: &Parameters, hour: f64) -> f64 {
    match kind {
        Kind::Hot | Kind::Noise | Kind::Straggler => parameters.base.exp(),
        Kind::Drift | Kind::Both => {
            let waves = parameters.waves.iter();
            let sum: f64 = waves
                .map(|wave| wave.height * (TAU * hour / wave.hours + wave.phase).sin())
                .sum();
            (parameters.base + sum).exp()
        }
        Kind::Hours => {
            let mix = (0..3).zip(&parameters.mixes).map(|(index, mix)| {
                let phase = f64::from(index) / 3.0;
                let weight = 1.0 + (TAU * (hour / 24.0 - phase)).cos();
                weight * (parameters.base + mix).exp()
            });
            mix.sum()
        }
        Kind::Season => {
            let part = ((hour - 8.0) / 6.0).clamp(0.0, 1.0);
            let mix = parameters.mixes[0] * (1.0 - part) + parameters.mixes[1] * part;
            (parameters.base + mix).exp()
        }
    }
}

/// Returns the report of `sample` under the map and shares of one policy.
pub(crate) fn report(
    sample: &Sample,
    sequence: u64,
    map: &Map,
    slowness: &[f64],
    share: &[f64],
) -> Counts {
    let even = Ranks {
        slowness: vec![1.0; slowness.len()],
        share: share.to_vec(),
    };
    let mut tokens = vec![0.0; slowness.len()];
    for (layer, counts) in map.layers.iter().zip(&sample.layers) {
        let counts: Vec<f64> = counts.iter().map(|&count| f64::from(count)).collect();
        add(&mut tokens, layer, &counts, &even);
    }
    let ranks = tokens.iter().zip(slowness).zip(&sample.timing);
    let ranks = ranks.map(|((tokens, slowness), timing)| Work {
        tokens: u64::from(rounded(*tokens)),
        busy: Duration::from_secs_f64(tokens * slowness * timing * TOKEN_SECONDS),
    });
    Counts {
        sequence,
        age: sample.lag.unwrap_or_default(),
        span: TICK,
        ranks: ranks.collect(),
        layers: sample.layers.clone(),
    }
}

fn add(tokens: &mut [f64], layer: &Layer, counts: &[f64], even: &Ranks) {
    for (sum, time) in tokens.iter_mut().zip(skew::times(layer, counts, even)) {
        *sum += time;
    }
}

/// Draws from the standard normal distribution.
fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * rng.random_range(f64::MIN_POSITIVE..1.0).ln()).sqrt();
    radius * (TAU * rng.random_range(0.0..1.0)).cos()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts are positive and below the limit"
)]
fn rounded(value: f64) -> u32 {
    value.round() as u32
}
