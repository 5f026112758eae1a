//! Streams at ranks that hang: they take requests and show nothing, while their group goes on.
//!
//! In a users' deployment five of 72 engines hang for seven seconds. Callers abandon a stream that
//! shows nothing for two seconds, and the streams that such engines took all failed.

use auburnline_admission::feature::Feature;
use auburnline_admission::feature::Features;
use auburnline_gateway::Gateway;
use auburnline_gateway::request::Plan;
use auburnline_gateway::upstream::Upstream;
use googletest::prelude::*;

use crate::gateway::ask;
use crate::load::digest;
use crate::load::gateway;
use crate::support::millis;

const SENT: u64 = 1_000;

/// Returns a gateway, a request that it sent to a rank, and that rank.
fn sent(features: Features) -> (Gateway, Plan, Upstream) {
    let mut gateway = gateway(1);
    gateway.set_features(features);
    gateway.apply_digest(&digest(0, 1), millis(SENT));
    let plan = ask(&mut gateway, "/draft/", Some("key-1"), SENT).expect("a plan");
    let (choice, _) = gateway
        .assign(&plan, &[], millis(SENT))
        .expect("an upstream");
    let upstream = Upstream::clone(&choice.upstream);
    (gateway, plan, upstream)
}

/// Records events of other streams of the group, every 100 ms from the send until `last`.
fn go_on(gateway: &mut Gateway, plan: &Plan, last: u64) {
    for at in (SENT + 100..=last).step_by(100) {
        gateway.apply_digest(&digest(0, 1), millis(at));
        gateway.observe(plan, &"g0".into(), millis(100), millis(at));
    }
}

fn enabled() -> Features {
    Features::from([Feature::SilenceDetection])
}

#[gtest]
fn a_stream_that_shows_nothing_while_its_group_goes_on_is_silent_in_time_to_be_resumed() {
    let (mut gateway, plan, upstream) = sent(enabled());
    let limit = gateway.silence_limit(&plan).expect("a limit");
    expect_that!(limit, eq(millis(1_000)));
    go_on(&mut gateway, &plan, 1_900);
    let is_silent = |now| gateway.is_silent(&plan, &upstream, millis(SENT), millis(now));
    expect_that!(is_silent(1_950), eq(false));
    expect_that!(is_silent(2_000), eq(true));
}

/// Guards against a move of all streams of a group that stands still as a whole, which would spend
/// the fleet's retry budget and read all prompts again.
#[gtest]
fn a_stream_of_a_group_that_stands_still_is_waited_for() {
    let (mut gateway, plan, upstream) = sent(enabled());
    go_on(&mut gateway, &plan, 1_300);
    let is_silent = |since, now| gateway.is_silent(&plan, &upstream, millis(since), millis(now));
    expect_that!(is_silent(SENT, 2_000), eq(false));
    expect_that!(is_silent(1_300, 2_500), eq(false));
}

#[gtest]
fn nothing_is_known_of_a_group_without_other_streams() {
    let (gateway, plan, upstream) = sent(enabled());
    expect_that!(
        gateway.is_silent(&plan, &upstream, millis(SENT), millis(2_500)),
        eq(false)
    );
}

#[gtest]
fn without_the_feature_no_stream_is_silent() {
    let (mut gateway, plan, upstream) = sent(Features::new());
    go_on(&mut gateway, &plan, 2_500);
    expect_that!(gateway.silence_limit(&plan), none());
    expect_that!(
        gateway.is_silent(&plan, &upstream, millis(SENT), millis(2_500)),
        eq(false)
    );
}
