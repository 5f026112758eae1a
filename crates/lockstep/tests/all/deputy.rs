//! The deputy of a lead.

use std::time::Duration;

use auburnline_core::time::Monotonic;
use auburnline_lockstep::change::Order;
use auburnline_lockstep::deputy::Deputy;
use auburnline_lockstep::deputy::Pledge;
use auburnline_lockstep::sight::Sight;
use auburnline_lockstep::sight::Switch;
use googletest::prelude::*;

use crate::support::Engine;

const SWITCH: Switch = Switch {
    version: 7,
    step: 12,
};

fn pledge() -> Pledge {
    Pledge {
        group: "g0".to_owned(),
        epoch: 1,
        switch: SWITCH,
        sidecars: vec![(1, ([10, 0, 0, 2], 1).into())],
        holder: ([10, 0, 0, 1], 1).into(),
    }
}

fn pledged() -> Deputy {
    let mut deputy = Deputy::default();
    deputy.pledge(pledge(), Monotonic::ZERO);
    deputy
}

fn sight(rank: u16, step: u64) -> Sight {
    let engine = Engine {
        prepared: Some(SWITCH.version),
        ..Engine::default()
    };
    engine.sight(rank, 2, step)
}

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// Pattern: the instance of a lead freezes right after it gave the order to hold (a group stood still for
/// 3.9 s, until it woke).
#[gtest]
fn a_deputy_acts_once_its_lead_is_silent_and_its_rank_stands_before_the_held_pass() {
    let mut deputy = pledged();
    assert_that!(deputy.due(&sight(1, 11), millis(300)), none());
    assert_that!(deputy.due(&sight(1, 11), millis(450)), some(eq(&pledge())));
    deputy.heard(millis(500));
    assert_that!(deputy.due(&sight(1, 11), millis(600)), none());
}

#[gtest]
fn a_pledge_ends_with_its_pass_and_its_epoch() {
    let mut deputy = pledged();
    assert_that!(deputy.due(&sight(1, 12), millis(450)), none());
    assert_that!(deputy.due(&sight(1, 11), millis(450)), none());
    let mut deputy = pledged();
    let mut anew = sight(1, 0);
    anew.epoch = 2;
    assert_that!(deputy.due(&anew, millis(450)), none());
}

#[gtest]
fn nobody_is_armed_without_the_hold_and_nothing_released_before_all_are_armed() {
    let mut deputy = pledged();
    assert_that!(deputy.orders(&sight(0, 10)), is_empty());
    let mut holder = sight(0, 10);
    holder.held = Some(SWITCH.step);
    let arm = Order::Arm(SWITCH);
    assert_that!(deputy.orders(&holder), eq(&vec![(0, arm), (1, arm)]));
    holder.armed = Some(SWITCH);
    assert_that!(deputy.orders(&holder), eq(&vec![(1, arm)]));
    let mut other = sight(1, 11);
    other.armed = Some(SWITCH);
    deputy.see(&other);
    let release = Order::Release(SWITCH.step);
    assert_that!(deputy.orders(&holder), eq(&vec![(0, release)]));
}

#[gtest]
fn a_hold_of_another_pass_is_left_alone() {
    let mut deputy = pledged();
    let mut holder = sight(0, 10);
    holder.held = Some(SWITCH.step + 1);
    assert_that!(deputy.orders(&holder), is_empty());
    assert_that!(Deputy::default().orders(&holder), is_empty());
}
