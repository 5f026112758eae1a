//! Upstreams that announced their departure, on the list or in a response.

use auburnline_gateway::spread;
use auburnline_gateway::spread::Revision;
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
use crate::support::revision;
use crate::support::upstream;
use crate::support::upstreams;

fn started(born: u64, state: State) -> Upstream {
    Upstream {
        born: Some(born),
        ..upstream("u", "desk", state)
    }
}

/// Guards against first attempts, retries and moved streams at an upstream that announced its
/// departure in a response.
#[gtest]
fn an_upstream_that_said_it_leaves_gets_nothing_of_any_kind() {
    let mut gateway = gateway();
    for id in ["desk-0", "a-0"] {
        let leaving = find(&gateway, id);
        let change = gateway.pool.mark_draining(&leaving);
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

/// Guards against an entry that is older than the departure of its upstream, because it was written
/// late or restored from a backup, and makes the upstream ready again.
#[gtest]
fn a_start_that_leaves_never_takes_work_again() {
    for by_list in [true, false] {
        let mut pool = Pool::default();
        pool.insert(started(1, State::Ready));
        if by_list {
            pool.insert(started(1, State::Draining));
        } else {
            pool.mark_draining(&started(1, State::Ready));
        }
        expect_that!(pool.insert(started(1, State::Ready)), none());
        expect_that!(pool.ready("desk"), eq(0));
        pool.replace(vec![started(1, State::Ready)], revision(9));
        expect_that!(pool.ready("desk"), eq(0));
        pool.mark_missing("u", revision(9));
        pool.expire();
        pool.insert(started(1, State::Ready));
        expect_that!(pool.ready("desk"), eq(0));
        let without_start_time = upstream("u", "desk", State::Ready);
        pool.insert(without_start_time);
        expect_that!(pool.ready("desk"), eq(0));
        pool.insert(started(2, State::Ready));
        expect_that!(pool.ready("desk"), eq(1));
    }
}

/// Guards against a delayed announcement by an earlier incarnation that keeps requests from the
/// current one.
#[gtest]
fn a_departure_of_an_earlier_start_does_not_apply_to_a_later_one() {
    let mut pool = Pool::default();
    pool.insert(started(1, State::Ready));
    pool.insert(started(2, State::Ready));
    expect_that!(pool.mark_draining(&started(1, State::Ready)), none());
    expect_that!(pool.ready("desk"), eq(1));
    expect_that!(pool.is_ready(&started(2, State::Ready)), eq(true));
    expect_that!(pool.is_ready(&started(1, State::Ready)), eq(false));
}

/// Guards against a delayed announcement by an earlier incarnation that replaces that of a later
/// one, which would then get requests again.
#[gtest]
fn a_departure_of_an_earlier_start_does_not_replace_that_of_a_later_one() {
    for (earlier, later) in [(1, 2), (2, 1)] {
        let mut pool = Pool::default();
        pool.insert(started(earlier, State::Ready));
        pool.insert(started(later, State::Ready));
        pool.mark_draining(&started(later, State::Ready));
        pool.mark_draining(&started(earlier, State::Ready));
        pool.insert(started(later, State::Ready));
        expect_that!(pool.ready("desk"), eq(0));
    }
}

const TRUST_AFTER_MS: u64 = 4_800;

/// Guards against a removed upstream that gets requests again because its entry is in the backup
/// from which the store was restored.
#[gtest]
fn an_entry_that_a_copy_brought_back_is_doubted_until_it_lapses_or_is_written() {
    for is_written in [false, true] {
        let mut pool = Pool::default();
        pool.insert(started(1, State::Ready));
        pool.mark_missing("u", revision(9));
        pool.expire();
        pool.restore(
            vec![started(1, State::Ready)],
            revision(9),
            millis(TRUST_AFTER_MS),
        );
        expect_that!(pool.ready("desk"), eq(0));
        // Another full read, as after the store lost its history.
        pool.replace(vec![started(1, State::Ready)], revision(9));
        expect_that!(pool.take_trusted(millis(TRUST_AFTER_MS - 1)), is_empty());
        expect_that!(pool.ready("desk"), eq(0));
        if is_written {
            pool.insert(started(1, State::Ready));
            expect_that!(pool.ready("desk"), eq(1));
        } else {
            pool.mark_missing("u", revision(9));
            expect_that!(pool.take_trusted(millis(TRUST_AFTER_MS)), is_empty());
            expect_that!(pool.ready("desk"), eq(0));
        }
    }
}

/// Guards against a removed upstream that gets requests from a gateway that learns of its removal
/// alone, because the changes before it were replaced by the last one, and then finds it in the
/// backup from which the store was restored.
#[gtest]
fn an_upstream_that_left_before_it_was_known_is_doubted_in_a_copy() {
    let (mut reader, mut asker) = (gateway(), gateway());
    for one in [&mut reader, &mut asker] {
        let listed = upstreams(vec![upstream("desk-0", "desk", State::Ready)]);
        one.apply_full_read(listed, revision(10), revision(0), millis(10));
    }
    let added = spread::Change::Upstream(started(1, State::Ready));
    let removed = spread::Change::Removed("u".into());
    reader
        .spread
        .take(vec![(revision(11), added)], revision(11));
    reader
        .spread
        .take(vec![(revision(12), removed)], revision(12));
    let answer = reader.spread.changes_since(revision(10), millis(0));
    let (changes, _) = asker.spread.apply_answer(answer.expect("an answer"));
    asker.apply_changes(changes, millis(20));
    asker.expire(millis(20));
    let restored = Revision {
        generation: 1,
        number: 11,
    };
    let copy = ["desk-0", "u"].map(|id| upstream(id, "desk", State::Ready));
    asker.apply_full_read(upstreams(copy.into()), restored, revision(0), millis(30));
    expect_that!(asker.pool.is_ready(&started(1, State::Ready)), eq(false));
}

/// Guards against an entry that makes its upstream ready again at a gateway that learns of the last
/// write alone, because it replaced the announcement of the departure.
#[gtest]
fn a_departure_is_known_though_a_later_write_of_the_entry_replaced_it() {
    let (mut reader, mut asker) = (gateway(), gateway());
    for one in [&mut reader, &mut asker] {
        let listed = upstreams(vec![started(1, State::Ready)]);
        one.apply_full_read(listed, revision(10), revision(0), millis(10));
    }
    for (number, state) in [(11, State::Draining), (12, State::Ready)] {
        let change = spread::Change::Upstream(started(1, state));
        reader
            .spread
            .take(vec![(revision(number), change)], revision(number));
    }
    let answer = reader.spread.changes_since(revision(10), millis(0));
    let (changes, _) = asker.spread.apply_answer(answer.expect("an answer"));
    asker.apply_changes(changes, millis(20));
    expect_that!(asker.pool.is_ready(&started(1, State::Ready)), eq(false));
}

/// Guards against a live upstream that never gets requests again because it was once removed.
#[gtest]
fn an_entry_that_stays_listed_is_believed_in_the_end() {
    let mut pool = Pool::default();
    pool.insert(started(1, State::Ready));
    pool.mark_missing("u", revision(9));
    pool.expire();
    pool.restore(
        vec![started(1, State::Ready)],
        revision(9),
        millis(TRUST_AFTER_MS),
    );
    expect_that!(pool.take_trusted(millis(TRUST_AFTER_MS)), len(eq(1)));
    expect_that!(pool.ready("desk"), eq(1));
}

/// Guards against losing limits and backoffs of the current incarnation because the backup contains
/// the one before.
#[gtest]
fn an_earlier_start_in_a_copy_does_not_replace_the_present_one() {
    let mut pool = Pool::default();
    pool.insert(started(1, State::Ready));
    pool.insert(started(2, State::Ready));
    pool.restore(
        vec![started(1, State::Ready)],
        revision(9),
        millis(TRUST_AFTER_MS),
    );
    expect_that!(pool.is_ready(&started(2, State::Ready)), eq(true));
    expect_that!(pool.is_ready(&started(1, State::Ready)), eq(false));
    // Its entry is written again before the entries of the backup become trusted.
    pool.insert(started(2, State::Ready));
    expect_that!(pool.expire(), is_empty());
    expect_that!(pool.ready("desk"), eq(1));
}

/// Guards against removing upstreams immediately that joined after the backup was taken.
#[gtest]
fn upstreams_that_a_copy_lacks_have_time_to_be_written_again() {
    let mut gateway = gateway();
    let before = gateway.pool.ready("desk");
    let listed = vec![upstream("desk-0", "desk", State::Ready)];
    let now = millis(3_000);
    let restored = |number| Revision {
        generation: 1,
        number,
    };
    let all = gateway
        .pool
        .iter()
        .map(|one| Upstream::clone(one))
        .collect();
    gateway.apply_full_read(
        upstreams(all),
        Revision::default(),
        Revision::default(),
        now,
    );
    gateway.apply_full_read(upstreams(listed), restored(4), restored(2), now);
    expect_that!(gateway.freshness.may_lack_entries(millis(5_500)), eq(true));
    gateway.expire(millis(5_500));
    expect_that!(gateway.pool.ready("desk"), eq(before));
    gateway.expire(millis(5_700));
    expect_that!(gateway.pool.ready("desk"), eq(1));
}
