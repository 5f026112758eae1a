//! Limits learned from responses and from other gateways.

use std::net::SocketAddr;
use std::time::Duration;

use auburnline_quota::Rate;
use auburnline_quota::UpstreamTag;
use auburnline_quota::registry::MAX_NOTICES;
use auburnline_quota::registry::MIN_RATE;
use auburnline_quota::registry::RETENTION;
use auburnline_quota::registry::Registry;
use auburnline_quota::registry::Teller;
use googletest::prelude::*;

const UPSTREAM: UpstreamTag = 7;

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn other() -> SocketAddr {
    "10.0.0.2:7005".parse().expect("an address")
}

fn registry_with_limit(rate: Rate, at: u64) -> Registry {
    let mut registry = Registry::default();
    registry.answered(UPSTREAM, Some(rate), millis(at - 1), millis(at));
    registry
}

fn rate(registry: &Registry) -> Option<Rate> {
    registry.limit(UPSTREAM, millis(0)).map(|limit| limit.rate)
}

#[gtest]
fn a_limit_holds_from_the_answer_that_names_it_until_one_that_does_not() {
    let mut registry = registry_with_limit(2.5, 100);
    expect_that!(rate(&registry), some(eq(2.5)));
    registry.answered(UPSTREAM, None, millis(150), millis(200));
    expect_that!(rate(&registry), none());
}

/// Guards against a limit that is ended by a delayed response that the upstream sent before it set the limit.
#[gtest]
fn an_answer_to_a_request_sent_before_the_limit_was_named_does_not_end_it() {
    let mut registry = registry_with_limit(2.5, 100);
    registry.answered(UPSTREAM, None, millis(90), millis(200));
    expect_that!(rate(&registry), some(eq(2.5)));
}

#[gtest]
fn gateways_learn_of_limits_from_each_other_and_the_newest_word_wins() {
    let mut first = registry_with_limit(2.0, 100);
    let second = registry_with_limit(1.0, 300).notices(millis(300));
    let updates = first.merge(&second, other(), millis(350));
    expect_that!(updates, len(eq(1)));
    expect_that!(rate(&first), some(eq(1.0)));
    let limit = first.limit(UPSTREAM, millis(400)).expect("a limit");
    expect_that!(limit.teller, eq(Teller::Gateway(other())));
    expect_that!(limit.age, eq(millis(50)));
    let old = registry_with_limit(9.0, 100).notices(millis(400));
    expect_that!(first.merge(&old, other(), millis(400)), is_empty());
}

#[gtest]
fn an_ended_limit_is_not_brought_back_by_older_news() {
    let mut registry = registry_with_limit(2.0, 100);
    let older = registry_with_limit(2.0, 110).notices(millis(300));
    registry.answered(UPSTREAM, None, millis(150), millis(200));
    registry.merge(&older, other(), millis(300));
    expect_that!(rate(&registry), none());
    registry.forget(|_| true, millis(300));
    expect_that!(registry.is_empty(), eq(false));
    registry.forget(|_| true, millis(300) + RETENTION);
    expect_that!(registry.is_empty(), eq(true));
}

#[gtest]
fn a_gateway_that_just_started_takes_a_limit_older_than_itself() {
    let notices = registry_with_limit(2.0, 100).notices(millis(50_000));
    let mut registry = Registry::default();
    registry.merge(&notices, other(), millis(10));
    expect_that!(rate(&registry), some(eq(2.0)));
}

#[gtest]
fn a_limit_of_nothing_leaves_what_tells_that_it_ended() {
    expect_that!(rate(&registry_with_limit(0.0, 100)), some(eq(MIN_RATE)));
}

#[gtest]
fn all_limits_are_told_in_turn() {
    let mut registry = Registry::default();
    let count = 3 * u64::try_from(MAX_NOTICES).expect("a small number");
    for upstream in 0..count {
        registry.answered(upstream, Some(1.0), millis(1), millis(2));
    }
    let mut sent: Vec<_> = (0..4).flat_map(|_| registry.notices(millis(3))).collect();
    sent.sort_by_key(|notice| notice.upstream);
    sent.dedup_by_key(|notice| notice.upstream);
    expect_that!(sent, len(eq(3 * MAX_NOTICES)));
}

/// Guards against a limit that is lost while its upstream's entry is removed and written again, and
/// against limits of upstreams that never come back.
#[gtest]
fn limits_of_upstreams_that_are_gone_are_kept_for_a_while_and_forgotten() {
    let mut registry = registry_with_limit(2.0, 100);
    registry.forget(|_| false, millis(200));
    expect_that!(rate(&registry), some(eq(2.0)));
    registry.forget(|_| false, millis(200) + RETENTION);
    expect_that!(registry.is_empty(), eq(true));
}
