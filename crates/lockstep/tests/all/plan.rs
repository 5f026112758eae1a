//! Which maps are planned.

use std::time::Duration;

use auburnline_lockstep::layout::Layout;
use auburnline_lockstep::layout::Shape;
use auburnline_lockstep::plan::plan;
use googletest::prelude::*;

/// Twelve ranks with eight of eleven places filled, as the users' groups form.
const SHAPE: Shape = Shape {
    layers: 3,
    experts: 96,
    places: 11,
    most_new: 4,
    copy: Duration::from_millis(142),
};

/// Shares that fall with the rank of liking: the most liked expert draws a quarter of all choices.
fn skewed(first: usize) -> Vec<f64> {
    let weights = (0..SHAPE.experts).map(|expert| {
        let place = (expert + SHAPE.experts - first) % SHAPE.experts;
        let place = u32::try_from(place).expect("a small number");
        (f64::from(place) + 1.0).powf(-1.3)
    });
    let weights: Vec<f64> = weights.collect();
    let sum: f64 = weights.iter().sum();
    weights.iter().map(|weight| weight / sum).collect()
}

fn shares() -> Vec<Vec<f64>> {
    vec![skewed(26), skewed(3), skewed(70)]
}

fn initial() -> Layout {
    Layout::initial(&SHAPE, 12)
}

/// Pattern: a few experts draw most choices, and on the map that a group forms with each of them lies
/// on one rank (measured: 3.15 times the mean on the most loaded one).
#[gtest]
fn hot_experts_get_copies_until_the_most_loaded_rank_is_near_the_mean() {
    let plan = plan(&initial(), &shares(), &SHAPE).expect("a plan");
    assert_that!(plan.skew_before, gt(3.0));
    assert_that!(plan.skew_after, lt(1.5));
    assert_that!(plan.layout.skew(&shares()), near(plan.skew_after, 1e-9));
}

#[gtest]
fn a_plan_keeps_to_places_new_experts_and_all_experts() {
    let before = initial();
    let plan = plan(&before, &shares(), &SHAPE).expect("a plan");
    for (layer, old) in plan.layout.0.iter().zip(&before.0) {
        let mut found = vec![false; SHAPE.experts];
        for (held, had) in layer.iter().zip(old) {
            assert_that!(held.len(), le(SHAPE.places));
            let new = held.iter().filter(|expert| !had.contains(expert)).count();
            assert_that!(new, le(SHAPE.most_new));
            for expert in held {
                found[usize::from(*expert)] = true;
            }
        }
        assert_that!(found, not(contains(eq(&false))));
    }
}

#[gtest]
fn even_demand_moves_nothing() {
    let even = vec![vec![1.0 / 96.0; 96]; 3];
    assert_that!(plan(&initial(), &even, &SHAPE), none());
}

#[gtest]
fn a_plan_in_force_is_not_planned_again() {
    let mut layout = initial();
    // A change copies for a bounded time only; the next goes on where it ended.
    for _ in 0..8 {
        let Some(plan) = plan(&layout, &shares(), &SHAPE) else {
            return;
        };
        layout = plan.layout;
    }
    assert_that!(plan(&layout, &shares(), &SHAPE), none());
}

/// Pattern: demand shifts within seconds, so a plan whose copies take long is over before it pays.
#[gtest]
fn no_rank_copies_for_long() {
    let before = initial();
    let plan = plan(&before, &shares(), &SHAPE).expect("a plan");
    let copies = plan.layout.new_by_rank(&before).into_iter().max();
    let copies = u32::try_from(copies.unwrap_or(0)).expect("a small number");
    assert_that!(SHAPE.copy * copies, le(Duration::from_millis(450)));
}
