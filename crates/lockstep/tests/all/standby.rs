//! The standby of a leader.

use std::time::Duration;

use auburnline_core::time::Monotonic;
use auburnline_lockstep::change::Order;
use auburnline_lockstep::rank::State;
use auburnline_lockstep::rank::Switch;
use auburnline_lockstep::standby::Notice;
use auburnline_lockstep::standby::Standby;
use googletest::prelude::*;

use crate::support::Engine;

const SWITCH: Switch = Switch {
    version: 7,
    step: 12,
};

fn notice() -> Notice {
    Notice {
        group: "g0".to_owned(),
        epoch: 1,
        switch: SWITCH,
        sidecars: vec![(0, ([10, 0, 0, 1], 1).into())],
    }
}

fn notified() -> Standby {
    let mut standby = Standby::default();
    standby.announce_hold(notice(), Monotonic::ZERO);
    standby
}

fn state(rank: u16, step: u64) -> State {
    let engine = Engine {
        prepared: Some(SWITCH.version),
        ..Engine::default()
    };
    engine.state(rank, 2, step)
}

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// The instance of a leader freezes right after it ordered the hold. Without a standby a group stopped for 3.9 s, until the
/// instance woke up.
#[gtest]
fn a_standby_acts_once_its_leader_is_silent_and_its_rank_stands_before_the_held_pass() {
    let mut standby = notified();
    assert_that!(standby.due_hold(&state(1, 11), millis(300)), none());
    assert_that!(
        standby.due_hold(&state(1, 11), millis(450)),
        some(eq(&notice()))
    );
    standby.record_heartbeat(millis(500));
    assert_that!(standby.due_hold(&state(1, 11), millis(600)), none());
}

#[gtest]
fn a_notice_ends_with_its_pass_and_its_epoch() {
    let mut standby = notified();
    assert_that!(standby.due_hold(&state(1, 12), millis(450)), none());
    assert_that!(standby.due_hold(&state(1, 11), millis(450)), none());
    let mut standby = notified();
    let mut anew = state(1, 0);
    anew.epoch = 2;
    assert_that!(standby.due_hold(&anew, millis(450)), none());
}

/// The leader freezes right after the hold. A group runs on while the instances of its ranks are frozen; only the hold
/// stops it.
#[gtest]
fn a_hold_whose_lead_fell_silent_is_ended_while_nobody_can_be_armed() {
    let mut standby = notified();
    let mut own = state(1, 11);
    assert_that!(standby.end_hold(&own), none());
    own.held = Some(SWITCH.step);
    assert_that!(standby.end_hold(&own), some(eq(SWITCH.step)));
    // The leader wakes up and tries to continue the change.
    assert_that!(standby.may_arm(1, SWITCH), eq(false));
    assert_that!(standby.orders(&own), is_empty());
    let later = Switch { step: 20, ..SWITCH };
    assert_that!(standby.may_arm(1, later), eq(true));
}

#[gtest]
fn a_hold_is_not_ended_once_an_order_to_arm_was_passed_on() {
    let mut standby = notified();
    let mut own = state(1, 11);
    own.held = Some(SWITCH.step);
    assert_that!(standby.may_arm(1, SWITCH), eq(true));
    assert_that!(standby.end_hold(&own), none());
    // A late or duplicate notice of the same hold changes nothing.
    standby.announce_hold(notice(), millis(10));
    assert_that!(standby.end_hold(&own), none());
}

#[gtest]
fn a_new_epoch_begins_with_no_hold_ended() {
    let mut standby = notified();
    let mut own = state(1, 11);
    own.held = Some(SWITCH.step);
    let _ = standby.end_hold(&own);
    assert_that!(standby.may_arm(2, SWITCH), eq(true));
}

/// The leader freezes right after the hold, and a notice of an earlier epoch arrives late.
#[gtest]
fn a_late_word_of_an_earlier_epoch_does_not_bring_an_ended_hold_back() {
    let anew = Notice {
        epoch: 2,
        ..notice()
    };
    let mut standby = Standby::default();
    standby.announce_hold(anew, Monotonic::ZERO);
    let mut own = state(1, 11);
    own.epoch = 2;
    own.held = Some(SWITCH.step);
    assert_that!(standby.end_hold(&own), some(eq(SWITCH.step)));
    assert_that!(standby.announce_hold(notice(), millis(10)), eq(false));
    assert_that!(standby.may_arm(1, SWITCH), eq(false));
    assert_that!(standby.may_arm(2, SWITCH), eq(false));
}

/// The process of the standby is killed after it forwarded an order to arm, and restarts.
#[gtest]
fn a_hold_is_not_ended_while_the_own_rank_is_armed() {
    let mut standby = notified();
    let mut own = state(1, 11);
    own.held = Some(SWITCH.step);
    own.armed = Some(SWITCH);
    assert_that!(standby.end_hold(&own), none());
    assert_that!(standby.orders(&own), eq(&vec![(0, Order::Arm(SWITCH))]));
}

#[gtest]
fn nobody_is_armed_without_the_hold_and_nothing_released_before_all_are_armed() {
    let mut standby = notified();
    let mut holder = state(1, 10);
    assert_that!(standby.orders(&holder), is_empty());
    holder.held = Some(SWITCH.step);
    assert_that!(standby.may_arm(1, SWITCH), eq(true));
    let arm = Order::Arm(SWITCH);
    assert_that!(standby.orders(&holder), eq(&vec![(0, arm), (1, arm)]));
    holder.armed = Some(SWITCH);
    assert_that!(standby.orders(&holder), eq(&vec![(0, arm)]));
    let mut other = state(0, 11);
    other.armed = Some(SWITCH);
    standby.observe(&other);
    let release = Order::Release(SWITCH.step);
    assert_that!(standby.orders(&holder), eq(&vec![(1, release)]));
}

#[gtest]
fn a_hold_of_another_pass_is_left_alone() {
    let mut standby = notified();
    assert_that!(standby.may_arm(1, SWITCH), eq(true));
    let mut holder = state(1, 10);
    holder.held = Some(SWITCH.step + 1);
    assert_that!(standby.orders(&holder), is_empty());
    assert_that!(standby.end_hold(&holder), none());
    assert_that!(Standby::default().orders(&holder), is_empty());
    assert_that!(Standby::default().end_hold(&holder), none());
}
