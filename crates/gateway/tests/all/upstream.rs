//! The pool of upstreams that may get requests.

use auburnline_gateway::choice::Preference;
use auburnline_gateway::upstream::Change;
use auburnline_gateway::upstream::Outcome;
use auburnline_gateway::upstream::Pool;
use auburnline_gateway::upstream::State;
use auburnline_gateway::upstream::Upstream;
use auburnline_gateway::upstream::UpstreamId;
use auburnline_gateway::upstream::tag;
use googletest::prelude::*;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::support::millis;
use crate::support::revision;
use crate::support::upstream;

fn pool(count: usize) -> Pool {
    let mut pool = Pool::default();
    for number in 0..count {
        pool.insert(upstream(&format!("u{number}"), "desk", State::Ready));
    }
    pool
}

fn choose(pool: &Pool, preference: Preference, tried: &[UpstreamId], now: u64) -> Option<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let choice = pool.choose(
        "desk",
        preference,
        "south",
        |upstream| !tried.contains(&upstream.id),
        millis(now),
        &mut rng,
    );
    choice.map(|choice| choice.upstream.id.to_string())
}

#[gtest]
fn an_upstream_that_leaves_gets_nothing_new() {
    let mut pool = pool(2);
    let change = pool.insert(upstream("u0", "desk", State::Draining));
    assert_that!(change, some(matches_pattern!(Change::Leaving(anything()))));
    for _ in 0..20 {
        assert_that!(choose(&pool, Preference::EvenLoad, &[], 0), some(eq("u1")));
    }
    assert_that!(pool.ready("desk"), eq(1));
}

#[gtest]
fn the_neighbours_load_counts() {
    let mut pool = pool(2);
    pool.set_neighbour_counts(1, vec![(tag("u0"), 5)], millis(100));
    assert_that!(
        choose(&pool, Preference::EvenLoad, &[], 100),
        some(eq("u1"))
    );
    assert_that!(pool.in_flight("desk"), eq((0, 5)));
    // The counts of a neighbour that stopped sending them are dropped.
    pool.set_neighbour_counts(2, Vec::new(), millis(5_000));
    assert_that!(pool.in_flight("desk"), eq((0, 0)));
}

#[gtest]
fn what_was_tried_is_not_tried_again() {
    let pool = pool(2);
    let tried = [UpstreamId::from("u0")];
    assert_that!(
        choose(&pool, Preference::EvenLoad, &tried, 0),
        some(eq("u1"))
    );
    let tried = [UpstreamId::from("u0"), UpstreamId::from("u1")];
    assert_that!(choose(&pool, Preference::EvenLoad, &tried, 0), none());
}

/// An upstream fails a part of its requests while its health check passes.
#[gtest]
fn an_upstream_that_fails_is_left_out_for_seconds_and_then_tried_again() {
    let mut pool = pool(3);
    for _ in 0..3 {
        pool.begin("u0");
        pool.end("u0", Outcome::Failed, millis(1_000));
    }
    for other in ["u1", "u2"] {
        (0..4).for_each(|_| pool.begin(other));
    }
    assert_that!(
        choose(&pool, Preference::ShortestTime, &[], 1_000),
        some(not(eq("u0")))
    );
    assert_that!(
        choose(&pool, Preference::ShortestTime, &[], 12_000),
        some(eq("u0"))
    );
}

/// One upstream is several times slower than its peers.
#[gtest]
fn a_slow_upstream_of_a_plain_service_gets_less() {
    let mut pool = pool(2);
    for (id, took) in [("u0", 150), ("u1", 15)] {
        for _ in 0..5 {
            pool.begin(id);
            pool.end(id, Outcome::Answered(millis(took)), millis(1_000));
        }
    }
    pool.begin("u1");
    pool.begin("u1");
    assert_that!(
        choose(&pool, Preference::ShortestTime, &[], 1_000),
        some(eq("u1"))
    );
}

/// Guards against a healthy upstream that gets no requests because its first response was slow.
#[gtest]
fn an_upstream_with_one_late_answer_is_tried_again_within_seconds_and_then_counts_as_fast() {
    for late in [20, 100, 1_000, 3_000] {
        let mut pool = pool(2);
        pool.end("u0", Outcome::Answered(millis(late)), millis(0));
        let again = (0..20_000).step_by(20).find(|now| {
            pool.end("u1", Outcome::Answered(millis(1)), millis(*now));
            let chosen = choose(&pool, Preference::ShortestTime, &[], *now);
            chosen.as_deref() == Some("u0")
        });
        let again = again.expect("another try");
        expect_that!(again, all![gt(1_000), le(10_000)], "{late} ms late");
        pool.end("u0", Outcome::Answered(millis(1)), millis(again));
        let taken = (0..50).filter(|seed| {
            let mut rng = ChaCha8Rng::seed_from_u64(*seed);
            let choice = pool.choose(
                "desk",
                Preference::ShortestTime,
                "south",
                |_| true,
                millis(again),
                &mut rng,
            );
            *choice.expect("an upstream").upstream.id == *"u0"
        });
        expect_that!(taken.count(), ge(10), "{late} ms late");
    }
}

/// Live upstreams write their entries again within about two seconds of the store's recovery.
#[gtest]
fn entries_that_lapsed_while_the_store_was_away_may_come_back() {
    let mut pool = pool(2);
    pool.mark_missing("u0", revision(9));
    assert_that!(pool.expire_until(None), is_empty());
    assert_that!(pool.ready("desk"), eq(2));
    pool.insert(upstream("u0", "desk", State::Ready));
    assert_that!(pool.expire(), is_empty());
    pool.mark_missing("u1", revision(9));
    assert_that!(pool.expire(), len(eq(1)));
    assert_that!(pool.ready("desk"), eq(1));
}

#[gtest]
fn a_whole_list_tells_what_is_missing() {
    let mut pool = pool(3);
    let changes = pool.replace(vec![upstream("u1", "desk", State::Ready)], revision(9));
    let missing = || matches_pattern!(Change::Missing(anything()));
    assert_that!(changes, elements_are![missing(), missing()]);
    assert_that!(pool.expire(), len(eq(2)));
}

/// All instances lose power and restart, and the list contains the entries of the old processes for
/// another second (incident inc-0f39: half of the requests of that second went to them).
#[gtest]
fn of_two_upstreams_at_one_address_only_the_one_that_appeared_last_gets_work() {
    let at = |id: &str, appeared| Upstream {
        appeared: revision(appeared),
        ..upstream(id, "desk", State::Ready)
    };
    for order in [["old", "new"], ["new", "old"]] {
        let mut pool = Pool::default();
        for id in order {
            pool.insert(at(id, if id == "new" { 90 } else { 5 }));
        }
        assert_that!(pool.ready("desk"), eq(1));
        let chosen = choose(&pool, Preference::EvenLoad, &[], 0);
        assert_that!(chosen, some(eq("new")));
        pool.mark_missing("old", revision(9));
        assert_that!(pool.expire(), len(eq(1)));
        assert_that!(pool.ready("desk"), eq(1));
    }
}

/// Guards against an entry of another writer that hides the upstream at its address for good, though the process there says that it
/// is another one.
#[gtest]
fn an_upstream_is_used_again_once_the_process_at_its_address_refuses_to_be_another_one() {
    let mut pool = Pool::default();
    pool.insert(upstream("u0", "desk", State::Ready));
    let ghost = |number: u64| Upstream {
        appeared: revision(number),
        ..upstream(&format!("ghost-{number}"), "desk", State::Ready)
    };
    for number in 7..10 {
        pool.insert(ghost(number));
    }
    for number in (7..10).rev() {
        let chosen = choose(&pool, Preference::EvenLoad, &[], 0);
        assert_that!(chosen, some(eq(&*format!("ghost-{number}"))));
        assert_that!(pool.mark_misplaced(&ghost(number)), eq(true));
        assert_that!(pool.mark_misplaced(&ghost(number)), eq(false));
    }
    assert_that!(choose(&pool, Preference::EvenLoad, &[], 0), some(eq("u0")));
    // Written again under the same key, it is another one.
    let mut again = ghost(9);
    again.appeared = revision(20);
    pool.insert(again);
    assert_that!(
        choose(&pool, Preference::EvenLoad, &[], 0),
        some(eq("ghost-9"))
    );
    // One that is alone at its address stays, whatever it refused.
    let mut alone = Pool::default();
    alone.insert(ghost(7));
    assert_that!(alone.mark_misplaced(&ghost(7)), eq(false));
    assert_that!(alone.ready("desk"), eq(1));
}

/// Another writer adds an entry, of a service that no configuration defines, at the address of an
/// upstream.
#[gtest]
fn an_entry_of_a_service_that_nobody_named_hides_no_upstream() {
    let mut pool = Pool::default();
    pool.set_services(["desk".into()]);
    pool.insert(upstream("u0", "desk", State::Ready));
    let mut foreign = upstream("u9", "nowhere", State::Ready);
    foreign.appeared = revision(7);
    pool.insert(foreign);
    assert_that!(pool.ready("desk"), eq(1));
    assert_that!(choose(&pool, Preference::EvenLoad, &[], 0), some(eq("u0")));
    // Once a configuration defines the service, its newer entry takes precedence at the address.
    pool.set_services(["desk".into(), "nowhere".into()]);
    assert_that!(pool.ready("desk"), eq(0));
}

#[gtest]
fn an_upstream_that_starts_again_under_its_id_has_nothing_held_against_it() {
    let mut pool = pool(2);
    let mut first = upstream("u0", "desk", State::Ready);
    first.born = Some(1_000);
    pool.insert(first.clone());
    for _ in 0..6 {
        pool.begin("u0");
    }
    pool.end("u0", Outcome::Failed, millis(1));
    assert_that!(pool.in_flight("desk").0, eq(5));
    first.born = Some(2_000);
    let change = pool.insert(first);
    assert_that!(change, some(matches_pattern!(Change::Joined(anything()))));
    assert_that!(pool.in_flight("desk").0, eq(0));
    // The end of a request at the previous incarnation does not count for this one.
    pool.end("u0", Outcome::Failed, millis(2));
    assert_that!(pool.in_flight("desk").0, eq(0));
}

#[gtest]
fn an_entry_without_a_start_time_is_no_new_start() {
    let mut pool = pool(1);
    pool.begin("u0");
    let mut told = upstream("u0", "desk", State::Ready);
    told.born = Some(1_000);
    assert_that!(pool.insert(told), none());
    assert_that!(pool.insert(upstream("u0", "desk", State::Ready)), none());
    assert_that!(pool.in_flight("desk").0, eq(1));
}

/// The list is read before the first configuration and contains an entry of another writer.
#[gtest]
fn an_entry_of_another_writer_that_was_read_first_hides_no_upstream() {
    let mut pool = Pool::default();
    pool.insert(upstream("u0", "desk", State::Ready));
    let mut foreign = upstream("u9", "nowhere", State::Ready);
    foreign.appeared = revision(7);
    pool.insert(foreign);
    pool.set_services(["desk".into()]);
    assert_that!(pool.ready("desk"), eq(1));
}

/// An entry is written once without a start time, between two incarnations under one id.
#[gtest]
fn a_restart_is_recognised_despite_an_entry_without_a_start_time_in_between() {
    let mut pool = Pool::default();
    let started = |born| {
        let mut upstream = upstream("u0", "desk", State::Ready);
        upstream.born = born;
        upstream
    };
    pool.insert(started(Some(1_000)));
    pool.begin("u0");
    assert_that!(pool.insert(started(None)), none());
    assert_that!(pool.in_flight("desk").0, eq(1));
    assert_that!(pool.insert(started(Some(2_000))), some(anything()));
    assert_that!(pool.in_flight("desk").0, eq(0));
}

/// The store's order decides, so that a machine whose clock was set back can leave; gateways that
/// start later know only the entry that was written last.
#[gtest]
fn the_entry_that_was_written_last_counts_even_if_it_tells_an_earlier_start() {
    let mut pool = Pool::default();
    let mut told = upstream("u0", "desk", State::Ready);
    told.born = Some(2_000);
    pool.insert(told.clone());
    told.born = Some(1_000);
    pool.insert(told.clone());
    expect_that!(pool.ready("desk"), eq(1));
    told.state = State::Draining;
    expect_that!(
        pool.insert(told),
        some(matches_pattern!(Change::Leaving(anything())))
    );
    expect_that!(pool.ready("desk"), eq(0));
}
