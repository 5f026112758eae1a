//! Phases of one change.

use auburnline_lockstep::change::Change;
use auburnline_lockstep::change::Order;
use auburnline_lockstep::change::Phase;
use auburnline_lockstep::change::Progress;
use auburnline_lockstep::rank::State;
use auburnline_lockstep::rank::Switch;
use googletest::prelude::*;

use crate::support::Engine;

const SWITCH: Switch = Switch {
    version: 7,
    step: 12,
};

fn states(engines: &[Engine]) -> Vec<State> {
    let size = u16::try_from(engines.len()).expect("few ranks");
    let ranks = engines.iter().zip(0..);
    ranks
        .map(|(engine, rank)| engine.state(rank, size, 10))
        .collect()
}

fn prepared() -> Engine {
    Engine {
        prepared: Some(7),
        highest: 7,
        ..Engine::default()
    }
}

fn advance(change: &mut Change, engines: &[Engine]) -> Progress {
    let states = states(engines);
    change.advance(&states.iter().collect::<Vec<_>>(), 0, 2)
}

#[gtest]
fn only_ranks_without_the_weights_are_told_to_prepare() {
    let mut change = Change::new(1, 7, 0);
    let progress = advance(&mut change, &[prepared(), Engine::default()]);
    assert_that!(
        progress,
        eq(&Progress::Orders(vec![(1, Order::Prepare(7))]))
    );
}

#[gtest]
fn no_rank_is_armed_before_the_hold_was_seen() {
    let mut change = Change::new(1, 7, 0);
    let progress = advance(&mut change, &[prepared(), prepared()]);
    assert_that!(progress, eq(&Progress::Orders(vec![(0, Order::Hold(12))])));
    let progress = advance(&mut change, &[prepared(), prepared()]);
    assert_that!(progress, eq(&Progress::Orders(vec![(0, Order::Hold(12))])));
}

#[gtest]
fn the_hold_stands_until_all_are_armed() {
    let mut change = Change::new(1, 7, 0);
    let mut holder = prepared();
    let _ = advance(&mut change, &[holder.clone(), prepared()]);
    holder.held = Some(12);
    holder.armed = Some(SWITCH);
    let progress = advance(&mut change, &[holder.clone(), prepared()]);
    assert_that!(
        progress,
        eq(&Progress::Orders(vec![(1, Order::Arm(SWITCH))]))
    );
    let mut other = prepared();
    other.armed = Some(SWITCH);
    let progress = advance(&mut change, &[holder, other]);
    assert_that!(
        progress,
        eq(&Progress::Orders(vec![(0, Order::Release(12))]))
    );
}

/// Until the held rank is ordered to arm, its own sidecar may end the hold.
#[gtest]
fn others_are_armed_only_after_the_rank_that_holds() {
    let mut change = Change::new(1, 7, 0);
    let mut holder = prepared();
    let _ = advance(&mut change, &[holder.clone(), prepared()]);
    holder.held = Some(12);
    let progress = advance(&mut change, &[holder, prepared()]);
    assert_that!(
        progress,
        eq(&Progress::Orders(vec![(0, Order::Arm(SWITCH))]))
    );
}

/// A leader freezes right after it ordered the hold, and its standby ends the hold; then the leader wakes up.
#[gtest]
fn a_hold_that_was_ended_is_ordered_anew_for_a_later_pass() {
    let mut change = Change::new(1, 7, 0);
    let mut holder = prepared();
    let _ = advance(&mut change, &[holder.clone(), prepared()]);
    holder.held = Some(12);
    let _ = advance(&mut change, &[holder, prepared()]);
    let ranks = [prepared(), prepared()];
    let states: Vec<State> = ranks
        .iter()
        .zip(0..)
        .map(|(engine, rank)| engine.state(rank, 2, 40))
        .collect();
    let progress = change.advance(&states.iter().collect::<Vec<_>>(), 0, 2);
    assert_that!(progress, eq(&Progress::Orders(vec![(0, Order::Hold(42))])));
}

#[gtest]
fn a_new_epoch_voids_a_change() {
    let mut change = Change::new(1, 7, 0);
    let mut states = states(&[prepared(), prepared()]);
    states[1].epoch = 2;
    let progress = change.advance(&states.iter().collect::<Vec<_>>(), 0, 2);
    assert_that!(progress, eq(&Progress::Aborted));
}

#[gtest]
fn a_hold_found_after_a_start_is_taken_forward() {
    let mut holder = prepared();
    holder.held = Some(12);
    let states = states(&[holder, prepared()]);
    let found = Change::recover(&states.iter().collect::<Vec<_>>(), 0, 0);
    let found = found.expect("a change under way");
    assert_that!(found.phase(), eq(Phase::Arming(12)));
    assert_that!(found.version(), eq(7));
}

#[gtest]
fn nothing_is_found_where_nothing_is_under_way() {
    let states = states(&[prepared(), prepared()]);
    assert_that!(
        Change::recover(&states.iter().collect::<Vec<_>>(), 0, 0),
        none()
    );
}
