//! Agreement of gateways on missing upstreams.

use std::net::SocketAddr;

use auburnline_core::time::Monotonic;
use auburnline_gateway::Gateway;
use auburnline_gateway::settled::Query;
use auburnline_gateway::settled::Reply;
use auburnline_gateway::spread::Revision;
use auburnline_gateway::upstream::State;
use googletest::prelude::*;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::gateway::blank;
use crate::support::entry;
use crate::support::heartbeat;
use crate::support::millis;
use crate::support::revision;
use crate::support::upstream;
use crate::support::upstreams;

/// Other gateways that the one under test knows.
const OTHERS: u16 = 5;
/// When the store has been followed for long enough.
const SETTLED_MS: u64 = 9_000;

/// Returns a gateway that followed the store from its start up to revision 10, and knows others.
fn following() -> Gateway {
    let mut gateway = blank();
    let listed = vec![upstream("u", "desk", State::Ready)];
    gateway.apply_full_read(
        upstreams(listed),
        revision(10),
        revision(3),
        Monotonic::ZERO,
    );
    let _ = gateway
        .freshness
        .record_success(Monotonic::ZERO, Monotonic::ZERO);
    meet(&mut gateway, SETTLED_MS);
    gateway
}

fn meet(gateway: &mut Gateway, now: u64) {
    for number in 1..=OTHERS {
        let from = heartbeat(entry(number, 1, now));
        gateway.roster.receive(&from, millis(now));
    }
}

/// Returns a gateway that lost the store and then learned that the upstream was removed.
fn doubting() -> Gateway {
    let mut gateway = following();
    gateway.freshness.record_failure(millis(SETTLED_MS));
    gateway.pool.mark_missing("u", revision(12));
    expect_that!(gateway.expire(millis(SETTLED_MS)), is_empty());
    gateway
}

fn ask(gateway: &mut Gateway) -> Option<(Query, Vec<SocketAddr>)> {
    gateway.ask_settled(millis(SETTLED_MS), &mut ChaCha8Rng::seed_from_u64(1))
}

fn reply(query: Query, settled: Option<Revision>) -> Reply {
    Reply {
        number: query.number,
        settled,
    }
}

/// Guards against a gateway that believes a few others which did not notice that the store was
/// unavailable, and drops upstreams that are about to write their entries again.
#[gtest]
fn a_majority_of_those_asked_decides_that_missing_upstreams_are_gone() {
    let mut gateway = doubting();
    let (query, asked) = ask(&mut gateway).expect("a question");
    assert_that!(asked, len(eq(usize::from(OTHERS))));
    let stranger = SocketAddr::from(([10, 0, 9, 9], 1));
    let settled = reply(query, Some(revision(12)));
    for (number, from) in [stranger, asked[0], asked[0], asked[1]].iter().enumerate() {
        expect_that!(gateway.apply_settled(settled, *from), none(), "{number}");
    }
    gateway.apply_settled(reply(query, None), asked[2]);
    expect_that!(gateway.expire(millis(SETTLED_MS)), is_empty());
    // One that is behind counts for what it knows.
    let behind = reply(query, Some(revision(11)));
    expect_that!(
        gateway.apply_settled(behind, asked[3]),
        some(eq(revision(11)))
    );
    expect_that!(gateway.expire(millis(SETTLED_MS)), is_empty());
    expect_that!(
        gateway.apply_settled(settled, asked[4]),
        some(eq(revision(12)))
    );
    expect_that!(gateway.expire(millis(SETTLED_MS)), len(eq(1)));
    expect_that!(ask(&mut gateway), none());
}

/// Guards against counting replies to an earlier question.
#[gtest]
fn replies_to_an_earlier_question_do_not_count() {
    let mut gateway = doubting();
    let (query, asked) = ask(&mut gateway).expect("a question");
    ask(&mut gateway).expect("a question");
    for from in asked {
        let late = reply(query, Some(revision(12)));
        expect_that!(gateway.apply_settled(late, from), none());
    }
}

/// Guards against dropping upstreams that a restored store lacks, on the word of gateways that have
/// not noticed the restore.
#[gtest]
fn what_was_settled_before_a_restore_does_not_count_after_it() {
    let mut gateway = following();
    let restored = |number| Revision {
        generation: 1,
        number,
    };
    let now = millis(SETTLED_MS);
    gateway.apply_full_read(upstreams(Vec::new()), restored(4), restored(2), now);
    let (query, asked) = ask(&mut gateway).expect("a question");
    for from in asked {
        gateway.apply_settled(reply(query, Some(revision(99))), from);
    }
    expect_that!(gateway.expire(now), is_empty());
    expect_that!(gateway.pool.ready("desk"), eq(1));
}

/// Guards against gateways that vouch for a list they have not followed: they started, lost the
/// store or did not run.
#[gtest]
fn only_a_gateway_that_followed_the_store_vouches_for_its_list() {
    let settled = |gateway: &Gateway, now| gateway.reply_settled(Query { number: 1 }, now).settled;
    let gateway = following();
    expect_that!(settled(&gateway, millis(2_599)), none());
    expect_that!(settled(&gateway, millis(2_600)), some(eq(revision(10))));

    let mut lost = following();
    lost.freshness.record_failure(millis(SETTLED_MS));
    expect_that!(settled(&lost, millis(SETTLED_MS)), none());
    let _ = lost.freshness.record_success(millis(9_500), millis(9_500));
    expect_that!(settled(&lost, millis(12_099)), none());
    expect_that!(settled(&lost, millis(12_100)), some(anything()));

    let mut suspended = following();
    suspended.confirm(millis(100), millis(100));
    suspended.confirm(millis(6_000), millis(6_000));
    expect_that!(settled(&suspended, millis(6_100)), none());
}
