//! Single decisions of the router.

use std::collections::BTreeMap;
use std::time::Duration;

use auburnline_core::error::Kind;
use auburnline_core::id::GroupId;
use auburnline_core::load::Load;
use auburnline_core::load::Report;
use auburnline_core::request::Priority;
use auburnline_routing::Config;
use auburnline_routing::Decision;
use auburnline_routing::Mark;
use auburnline_routing::Member;
use auburnline_routing::Prefix;
use auburnline_routing::Query;
use auburnline_routing::Reason;
use auburnline_routing::Router;
use googletest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const DOMAINS: [&str; 3] = ["nord", "centre", "sud"];
/// Load bound of the default configuration.
const DEFAULT_BOUND: f64 = 2.0;
const NOW: Duration = Duration::from_secs(100);

fn name(number: usize) -> GroupId {
    format!("group-{number}").into()
}

fn fleet(size: usize) -> Router {
    bounded_fleet(size, DEFAULT_BOUND)
}

fn bounded_fleet(size: usize, bound: f64) -> Router {
    let builder = Config::builder("nord".into());
    let mut router = Router::new(builder.load_bound(bound).build());
    for number in 0..size {
        let member = Member {
            pool: "drafts".into(),
            model: Some("maize".into()),
            failure_domain: DOMAINS[number % DOMAINS.len()].into(),
        };
        router.insert(name(number), member);
        router.set_session_up(&name(number), true);
    }
    router
}

fn query(seed: u64) -> Query {
    let blocks: Vec<u64> = (0..20).map(|block| seed * 100 + block).collect();
    Query {
        pool: "drafts".into(),
        model: Some("maize".into()),
        prefix: Prefix::from_blocks(&blocks),
        prompt_tokens: 20 * 128,
        max_tokens: 200,
        priority: Priority::Normal,
        deadline: Duration::from_secs(30),
        excluded: Vec::new(),
    }
}

fn report(backlog: u64, step_ms: u64, age_ms: u64) -> Report {
    Report {
        load: Load {
            queued: 0,
            running: 10,
            backlog_tokens: backlog,
            step_time: Duration::from_millis(step_ms),
            skew: 1.0,
        },
        age: Duration::from_millis(age_ms),
    }
}

#[gtest]
fn refusals_have_their_kinds() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut router = fleet(3);
    let mut other = query(1);
    other.model = Some("millet".into());
    expect_that!(
        router.route(&other, NOW, &mut rng).group(),
        err(eq(Kind::UnknownModel))
    );
    other.model = None;
    expect_that!(
        router.route(&other, NOW, &mut rng).group(),
        err(eq(Kind::UnknownRoute))
    );
    let mut passed = query(1);
    passed.deadline = Duration::ZERO;
    expect_that!(
        router.route(&passed, NOW, &mut rng).group(),
        err(eq(Kind::DeadlinePassed))
    );
    let mut excluded = query(1);
    excluded.excluded = (0..3).map(name).collect();
    expect_that!(
        router.route(&excluded, NOW, &mut rng).group(),
        err(eq(Kind::Unreachable))
    );
    for number in 0..3 {
        router.set_session_up(&name(number), false);
    }
    expect_that!(
        router.route(&query(1), NOW, &mut rng).group(),
        err(eq(Kind::Unreachable))
    );
}

#[gtest]
fn the_only_admitting_unit_is_found() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let mut router = fleet(90);
    for number in 1..90 {
        let mark = [Mark::Leaving, Mark::Fenced, Mark::Ejected][number % 3];
        router.set_mark(&name(number), mark, true);
    }
    for seed in 0..100 {
        let decision = router.route(&query(seed), NOW, &mut rng);
        expect_that!(decision.group(), ok(eq(&name(0))));
    }
    router.set_mark(&name(7), Mark::Fenced, false);
    let mut query = query(1);
    query.excluded = vec![name(0)];
    expect_that!(
        router.route(&query, NOW, &mut rng).group(),
        ok(eq(&name(7)))
    );
}

#[gtest]
fn a_prefix_returns_to_the_unit_that_had_it() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut router = fleet(30);
    let first = router.route(&query(1), NOW, &mut rng);
    let group = first.group().expect("a unit").clone();
    let ticket = router
        .record_sent(&group, &query(1), NOW)
        .expect("a known unit");
    router.record_finished(ticket);
    let second = router.route(&query(1), NOW, &mut rng);
    expect_that!(second.group(), ok(eq(&group)));
    let chosen = second.chosen.expect("a unit");
    expect_that!(chosen.reason, eq(Reason::Cached));
    expect_that!(chosen.cached_tokens, eq(16 * 128));
}

#[gtest]
fn two_processes_agree_on_a_prefix() {
    let mut left = ChaCha8Rng::seed_from_u64(4);
    let mut right = ChaCha8Rng::seed_from_u64(5);
    for seed in 0..50 {
        let one = fleet(30).route(&query(seed), NOW, &mut left);
        let two = fleet(30).route(&query(seed), NOW, &mut right);
        expect_that!(one.group(), eq(two.group()));
    }
}

#[gtest]
fn a_report_of_an_older_moment_changes_nothing() {
    let mut rng = ChaCha8Rng::seed_from_u64(6);
    let mut router = fleet(1);
    router.report(&name(0), report(500, 20, 10), NOW);
    router.report(&name(0), report(9000, 20, 900), NOW);
    let chosen = router.route(&query(1), NOW, &mut rng).chosen;
    expect_that!(chosen.map(|unit| unit.load), ok(eq(500)));
}

#[gtest]
fn own_sends_are_added_to_a_stale_report_until_it_covers_them() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut router = fleet(1);
    let mut load = |router: &mut Router, now| {
        let decision = router.route(&query(1), now, &mut rng);
        decision.chosen.expect("a unit").load
    };
    let later = NOW + Duration::from_millis(500);
    router.report(&name(0), report(1000, 20, 0), NOW);
    let kept = router.record_sent(&name(0), &query(1), later);
    let ended = router
        .record_sent(&name(0), &query(2), later)
        .expect("a known unit");
    let tokens = query(1).tokens();
    expect_that!(load(&mut router, later), eq(1000 + 2 * tokens));
    router.record_finished(ended);
    expect_that!(load(&mut router, later), eq(1000 + tokens));
    router.report(
        &name(0),
        report(1800, 20, 100),
        later + Duration::from_millis(200),
    );
    expect_that!(load(&mut router, later), eq(1800));
    expect_that!(kept.is_some(), eq(true));
}

#[gtest]
fn a_slow_unit_loses_to_an_even_one() {
    let mut rng = ChaCha8Rng::seed_from_u64(8);
    let mut router = fleet(2);
    router.report(&name(0), report(1000, 60, 0), NOW);
    router.report(&name(1), report(1000, 20, 0), NOW);
    for seed in 0..50 {
        let decision = router.route(&query(seed), NOW, &mut rng);
        expect_that!(decision.group(), ok(eq(&name(1))));
    }
}

/// Returns the largest number of 2,000 requests on one of 20 units after the loss of 10 others.
fn worst_after_a_loss(bound: f64) -> u64 {
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    let mut router = bounded_fleet(30, bound);
    for number in (0..30).filter(|number| number % 3 == 0) {
        router.set_session_up(&name(number), false);
    }
    let mut counts: BTreeMap<GroupId, u64> = BTreeMap::new();
    for seed in 0..2000 {
        let query = query(seed);
        let decision = router.route(&query, NOW, &mut rng);
        let group = decision.group().expect("a unit").clone();
        let _kept = router.record_sent(&group, &query, NOW);
        *counts.entry(group).or_default() += 1;
    }
    expect_that!(counts, len(eq(20)));
    counts.values().max().copied().unwrap_or(0)
}

#[gtest]
fn a_lost_failure_domain_spreads_evenly() {
    expect_that!(
        worst_after_a_loss(1.25),
        le(126),
        "the bound of 1.25 times the mean of 100, plus one request"
    );
    expect_that!(
        worst_after_a_loss(DEFAULT_BOUND),
        le(126),
        "requests spread as evenly under the default bound, which is not reached"
    );
}

#[gtest]
fn a_decision_is_one_line_of_pairs() {
    let mut rng = ChaCha8Rng::seed_from_u64(10);
    let mut router = fleet(5);
    router.report(&name(0), report(1000, 20, 40), NOW);
    let line = router.route(&query(1), NOW, &mut rng).to_string();
    expect_that!(line, not(contains_substring("\n")));
    for word in line.split(' ') {
        expect_that!(word, contains_substring("="));
    }
    expect_that!(
        line,
        starts_with("decision=route pool=drafts model=maize group=group-")
    );
}

#[gtest]
fn an_old_report_counts_less_than_a_new_one() {
    let gap = |age_ms| {
        let mut rng = ChaCha8Rng::seed_from_u64(11);
        let mut router = fleet(1);
        router.report(&name(0), report(0, 20, age_ms), NOW);
        let low = router.route(&query(1), NOW, &mut rng);
        let mut router = fleet(4);
        router.report(&name(0), report(0, 20, age_ms), NOW);
        router.report(&name(3), report(200_000, 20, age_ms), NOW);
        let mut other = query(1);
        other.excluded = vec![name(1), name(2), name(3)];
        let high = router.route(&other, NOW, &mut rng);
        let cost = |decision: Decision| decision.chosen.expect("a unit").cost;
        cost(high).saturating_sub(cost(low))
    };
    expect_that!(
        gap(0),
        eq(Duration::ZERO),
        "a new report of a low load counts fully"
    );
    expect_that!(
        gap(1000),
        gt(Duration::from_millis(10)),
        "an old report of a low load does not"
    );
}
