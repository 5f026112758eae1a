//! Tests of the planner's decisions over seeded runs.

mod support;

use std::time::Duration;

use auburnline_core::expert::Defect;
use auburnline_core::expert::Map;
use auburnline_core::time::Monotonic;
use auburnline_rebalance::Config;
use auburnline_rebalance::Counts;
use auburnline_rebalance::Decision;
use auburnline_rebalance::Planner;
use auburnline_rebalance::counts::Intake;
use auburnline_rebalance::counts::Shape;
use auburnline_rebalance::counts::Work;
use auburnline_rebalance::decision::Choice;
use auburnline_rebalance::decision::Reason;
use auburnline_rebalance::straggler::Answer;
use googletest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Planner with a simulated group and clock.
struct Simulation {
    rng: ChaCha8Rng,
    planner: Planner,
    now: Monotonic,
    sequence: u64,
    map: Map,
    slowness: Vec<f64>,
}

impl Simulation {
    fn new(seed: u64, map: Map) -> Self {
        Simulation {
            rng: ChaCha8Rng::seed_from_u64(seed),
            planner: Planner::new(support::config(), support::SHAPE),
            now: Duration::ZERO,
            sequence: 0,
            map,
            slowness: vec![1.0; usize::from(support::SHAPE.ranks)],
        }
    }

    fn report(&mut self, shares: &[Vec<f64>]) -> Counts {
        self.sequence += 1;
        support::report(
            &mut self.rng,
            self.sequence,
            shares,
            &self.map,
            &self.slowness,
        )
    }

    /// Sends one report, takes a decision, and applies the change of map if there is one.
    fn step(&mut self, shares: &[Vec<f64>]) -> Decision {
        self.now += support::SPAN;
        let counts = self.report(shares);
        self.planner.observe(self.now, &counts);
        let decision = self.planner.decide(self.now, &self.map, &support::CHEAP);
        if let Choice::Change(map) = &decision.choice {
            assert_that!(Map::check(map).is_ok(), eq(true));
            assert_that!(map.generation, eq(self.map.generation + 1));
            assert_that!(map.places(), eq(self.map.places()));
            self.map = map.as_ref().clone();
        }
        decision
    }
}

fn changes_map(decision: &Decision) -> bool {
    decision.choice != Choice::Stay
}

fn initial_map() -> Map {
    Map::initial(
        support::SHAPE.ranks,
        support::SHAPE.experts,
        support::SHAPE.layers,
        support::PLACES,
    )
}

#[gtest]
fn an_uneven_map_is_mended_once_and_then_kept() {
    let seed = support::seed();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let shares = support::shares(&mut rng);
    let mut simulation = Simulation::new(seed, initial_map());
    let changes = (0..support::events(200)).filter(|_| changes_map(&simulation.step(&shares)));
    let changes = changes.count();
    expect_that!(changes, all![ge(1), le(3)]);
    let last = simulation.step(&shares);
    expect_that!(last.reason, eq(Reason::NoGain));
    expect_that!(last.chosen.skew, lt(1.1));
}

#[gtest]
fn noise_without_drift_moves_nothing() {
    for seed in (0..8).map(|offset| support::seed() + offset) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let shares = support::shares(&mut rng);
        let mut simulation = Simulation::new(seed, support::packed(&shares));
        for _ in 0..support::events(300) {
            let decision = simulation.step(&shares);
            expect_that!(changes_map(&decision), eq(false), "seed {seed}: {decision}");
        }
    }
}

#[gtest]
fn a_slow_rank_is_relieved_then_drained_and_never_moves_an_expert() {
    let seed = support::seed();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let shares = support::shares(&mut rng);
    let mut simulation = Simulation::new(seed, support::packed(&shares));
    simulation.slowness[3] = 3.0;
    let mut answers = Vec::new();
    for _ in 0..60 {
        let decision = simulation.step(&shares);
        expect_that!(changes_map(&decision), eq(false), "{decision}");
        answers.push(decision.answer);
    }
    let relieved = |answer: &Answer| matches!(answer, Answer::Relieve { ranks, .. } if ranks[0].rank == 3 && ranks[0].share < 1.0);
    expect_that!(answers.iter().any(relieved), eq(true));
    expect_that!(
        answers.last(),
        some(matches_pattern!(Answer::Drain { rank: eq(&3), .. }))
    );
    simulation.slowness[3] = 1.0;
    let last = (0..20).map(|_| simulation.step(&shares).answer).last();
    expect_that!(last, some(eq(&Answer::None)));
}

#[gtest]
fn slowness_does_not_change_what_is_decided_on_the_map() {
    let seed = support::seed();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let shares = support::shares(&mut rng);
    let mut even = Simulation::new(seed, initial_map());
    let mut slow = Simulation::new(seed, initial_map());
    slow.slowness[5] = 1.4;
    let mut relieved = 0;
    for _ in 0..support::events(200) {
        let usual = even.step(&shares);
        let decision = slow.step(&shares);
        expect_that!(decision.choice == usual.choice, eq(true), "{decision}");
        if let Answer::Relieve { ranks, .. } = &decision.answer {
            expect_that!(ranks.iter().all(|relief| relief.rank == 5), eq(true));
            relieved += 1;
        }
        let drains = matches!(decision.answer, Answer::Drain { .. });
        expect_that!(drains, eq(false));
    }
    expect_that!(relieved, gt(100));
}

#[gtest]
fn random_drift_keeps_every_map_whole_and_decisions_repeat() {
    for seed in (0..4).map(|offset| support::seed() + offset) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut shares = support::shares(&mut rng);
        let mut one = Simulation::new(seed, initial_map());
        let mut two = Simulation::new(seed, initial_map());
        for _ in 0..support::events(200) {
            for share in shares.iter_mut().flatten() {
                *share *= rng.random_range(0.95..1.05);
            }
            expect_that!(one.step(&shares), eq(&two.step(&shares)), "seed {seed}");
        }
        expect_that!(one.map.generation, gt(1));
    }
}

#[gtest]
fn popularity_that_swings_about_the_threshold_does_not_flip_the_map() {
    let seed = support::seed();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let base = support::shares(&mut rng);
    let mut shifted = base.clone();
    for layer in &mut shifted {
        layer[0] *= 1.1;
    }
    let mut simulation = Simulation::new(seed, support::packed(&base));
    let mut seen = vec![simulation.map.layers.clone()];
    for index in 0..support::events(400) {
        let shares = if index / 20 % 2 == 0 { &base } else { &shifted };
        if changes_map(&simulation.step(shares)) {
            expect_that!(
                seen.contains(&simulation.map.layers),
                eq(false),
                "a previous map returned"
            );
            seen.push(simulation.map.layers.clone());
        }
    }
    expect_that!(seen.len(), le(3));
}

#[gtest]
fn reports_that_cannot_be_used_are_told_apart() {
    let mut rng = ChaCha8Rng::seed_from_u64(support::seed());
    let shares = support::shares(&mut rng);
    let mut simulation = Simulation::new(1, support::packed(&shares));
    let counts = simulation.report(&shares);
    let now = Duration::from_hours(1);
    expect_that!(simulation.planner.observe(now, &counts), eq(Intake::Taken));
    expect_that!(
        simulation.planner.observe(now, &counts),
        eq(Intake::Repeated)
    );
    let old = Counts {
        sequence: 2,
        age: Duration::from_mins(30),
        ..counts.clone()
    };
    expect_that!(simulation.planner.observe(now, &old), eq(Intake::Stale));
    let short = Counts {
        sequence: 3,
        layers: Vec::new(),
        ..counts
    };
    expect_that!(
        simulation.planner.observe(now, &short),
        eq(Intake::Malformed)
    );
}

#[gtest]
fn a_restarted_series_of_reports_is_taken_in() {
    let mut rng = ChaCha8Rng::seed_from_u64(support::seed());
    let shares = support::shares(&mut rng);
    let mut simulation = Simulation::new(1, support::packed(&shares));
    let now = Duration::from_hours(1);
    let mut counts = simulation.report(&shares);
    for (sequence, intake) in [
        (100, Intake::Taken),
        (98, Intake::Taken),
        (98, Intake::Repeated),
        (1, Intake::Taken),
        (2, Intake::Taken),
        (2, Intake::Repeated),
    ] {
        counts.sequence = sequence;
        expect_that!(simulation.planner.observe(now, &counts), eq(intake));
    }
}

#[gtest]
fn nothing_moves_without_fresh_reports_or_a_usable_map() {
    let mut rng = ChaCha8Rng::seed_from_u64(support::seed());
    let shares = support::shares(&mut rng);
    let mut simulation = Simulation::new(1, initial_map());
    let first = simulation.step(&shares);
    expect_that!(first.reason, eq(Reason::FewReports));
    for _ in 0..20 {
        simulation.step(&shares);
    }
    let later = simulation.now + Duration::from_hours(1);
    let stale = simulation
        .planner
        .decide(later, &simulation.map, &support::CHEAP);
    expect_that!(stale.reason, eq(Reason::StaleReports));
    let mut broken = simulation.map.clone();
    broken.layers[0].0.fill(0);
    let refused = simulation
        .planner
        .decide(simulation.now, &broken, &support::CHEAP);
    expect_that!(refused.reason, eq(Reason::Unusable(Defect::MissingExpert)));
}

#[gtest]
fn a_map_that_no_small_change_helps_is_laid_out_anew() {
    // Two of the ranks share the hot expert and the other two have no spare place, so after any single
    // change one of the ranks that share it is still the slowest.
    let shape = Shape {
        layers: 2,
        experts: 16,
        ranks: 4,
    };
    let mut planner = Planner::new(Config::default(), shape);
    let map = Map::initial(shape.ranks, shape.experts, shape.layers, 5);
    let mut tokens = vec![1_000_u32; 16];
    tokens[3] = 40_000;
    let mut changes_map = false;
    for sequence in 1..=20 {
        let now = Duration::from_secs(sequence);
        let counts = Counts {
            sequence,
            age: Duration::ZERO,
            span: Duration::from_secs(1),
            layers: vec![tokens.clone(); shape.layers],
            ranks: vec![
                Work {
                    tokens: 27_500,
                    busy: Duration::from_millis(400),
                };
                4
            ],
        };
        assert_that!(planner.observe(now, &counts), eq(Intake::Taken));
        changes_map |= planner.decide(now, &map, &support::CHEAP).choice != Choice::Stay;
    }
    assert_that!(changes_map, eq(true));
}
