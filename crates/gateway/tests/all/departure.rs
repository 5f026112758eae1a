//! Upstreams that said that they leave, on the list or in an answer.

use auburnline_gateway::upstream::Change;
use auburnline_gateway::upstream::Pool;
use auburnline_gateway::upstream::State;
use auburnline_gateway::upstream::Upstream;
use googletest::prelude::*;

use crate::gateway::ask;
use crate::limit::count;
use crate::limit::find;
use crate::limit::gateway;
use crate::limit::press;
use crate::support::millis;
use crate::support::upstream;

fn started(born: u64, state: State) -> Upstream {
    Upstream {
        born: Some(born),
        ..upstream("u", "desk", state)
    }
}

/// Guards against first sends, retries and moved streams to an upstream that said in an answer that it leaves.
#[gtest]
fn an_upstream_that_said_it_leaves_gets_nothing_of_any_kind() {
    let mut gateway = gateway();
    for id in ["desk-0", "a-0"] {
        let leaving = find(&gateway, id);
        let change = gateway.pool.leave(&leaving);
        expect_that!(change, some(matches_pattern!(Change::Leaving(anything()))));
    }
    let sent = press(&mut gateway, "/desk/a", 2_210, 4_200);
    expect_that!(count(&sent, "desk-0"), eq(0));
    expect_that!(sent.len(), eq(199));
    let sent = press(&mut gateway, "/draft/a", 4_210, 6_200);
    expect_that!(count(&sent, "a-0"), eq(0));
    expect_that!(sent.len(), eq(199));
    let plan = ask(&mut gateway, "/desk/a", Some("key-1"), 6_210).expect("a plan");
    let retry = gateway.assign(&plan, &["desk-1".into()], millis(6_210));
    expect_that!(retry.is_err(), eq(true));
    let plan = ask(&mut gateway, "/draft/a", Some("key-1"), 6_210).expect("a plan");
    let moved = gateway.assign_within(Some(&"a".into()), &plan, &["a-1".into()], millis(6_210));
    expect_that!(moved.is_err(), eq(true));
}

/// Guards against an entry that is older than the upstream's word, written late or from a copy of the store, and takes it back.
#[gtest]
fn a_start_that_leaves_never_takes_work_again() {
    for by_list in [true, false] {
        let mut pool = Pool::default();
        pool.insert(started(1, State::Ready));
        if by_list {
            pool.insert(started(1, State::Draining));
        } else {
            pool.leave(&started(1, State::Ready));
        }
        expect_that!(pool.insert(started(1, State::Ready)), none());
        expect_that!(pool.ready("desk"), eq(0));
        pool.replace(vec![started(1, State::Ready)]);
        expect_that!(pool.ready("desk"), eq(0));
        pool.miss("u");
        pool.expire(false);
        pool.insert(started(1, State::Ready));
        expect_that!(pool.ready("desk"), eq(0));
        let untold = upstream("u", "desk", State::Ready);
        pool.insert(untold);
        expect_that!(pool.ready("desk"), eq(0));
        pool.insert(started(2, State::Ready));
        expect_that!(pool.ready("desk"), eq(1));
    }
}

/// Guards against the late word of an earlier start that keeps work from the one that runs now.
#[gtest]
fn the_word_of_an_earlier_start_does_not_bind_a_later_one() {
    let mut pool = Pool::default();
    pool.insert(started(1, State::Ready));
    pool.insert(started(2, State::Ready));
    expect_that!(pool.leave(&started(1, State::Ready)), none());
    expect_that!(pool.ready("desk"), eq(1));
    expect_that!(pool.takes_work(&started(2, State::Ready)), eq(true));
    expect_that!(pool.takes_work(&started(1, State::Ready)), eq(false));
}
