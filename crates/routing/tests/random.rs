//! Randomized tests of the router: after random events, only allowed units are candidates.
//!
//! `AUBURNLINE_SEED` and `AUBURNLINE_EVENTS` set the first seed and the number of events in a run.

use std::collections::BTreeMap;
use std::env;
use std::time::Duration;

use auburnline_core::id::GroupId;
use auburnline_core::load::Load;
use auburnline_core::load::Report;
use auburnline_core::request::Priority;
use auburnline_routing::Config;
use auburnline_routing::Event;
use auburnline_routing::MAX_GROUPS;
use auburnline_routing::Mark;
use auburnline_routing::Member;
use auburnline_routing::Prefix;
use auburnline_routing::Query;
use auburnline_routing::Router;
use auburnline_routing::Ticket;
use googletest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SEEDS: u64 = 8;
const EVENTS: u64 = 4_000;
const MARKS: [Mark; 3] = [Mark::Leaving, Mark::Fenced, Mark::Ejected];
/// Maximum number of outstanding requests; past it, the first in the list is finished.
const MAX_TICKETS: usize = 500;

fn env_or(name: &str, default: u64) -> u64 {
    let value = env::var(name).ok();
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

/// Expected state of a unit.
#[derive(Clone)]
struct Shadow {
    member: Member,
    up: bool,
    marks: [bool; 3],
}

impl Shadow {
    fn admits(&self, query: &Query) -> bool {
        let serves = self.member.pool == query.pool && self.member.model == query.model;
        serves && self.up && !self.marks.contains(&true)
    }
}

struct Run {
    router: Router,
    shadows: BTreeMap<GroupId, Shadow>,
    tickets: Vec<Ticket>,
    now: Duration,
    rng: ChaCha8Rng,
    log: Vec<String>,
}

impl Run {
    fn new(seed: u64) -> Self {
        Run {
            router: Router::new(Config::builder("nord".into()).build()),
            shadows: BTreeMap::new(),
            tickets: Vec::new(),
            now: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            log: Vec::new(),
        }
    }

    fn group(&mut self) -> GroupId {
        format!("group-{}", self.rng.random_range(0..40)).into()
    }

    fn member(&mut self) -> Member {
        let model = ["maize", "millet"][self.rng.random_range(0..2)];
        Member {
            pool: "drafts".into(),
            model: self.rng.random_bool(0.9).then(|| model.into()),
            failure_domain: ["nord", "sud"][self.rng.random_range(0..2)].into(),
        }
    }

    fn query(&mut self) -> Query {
        let owner = self.rng.random_range(0..30);
        let blocks: Vec<u64> = (0..self.rng.random_range(0..70))
            .map(|index| {
                if index < 4 {
                    index
                } else {
                    owner * 100 + index
                }
            })
            .collect();
        let excluded = (0..self.rng.random_range(0..3)).map(|_| self.group());
        Query {
            excluded: excluded.collect(),
            pool: "drafts".into(),
            model: self.member().model,
            prompt_tokens: blocks.len() as u64 * 128,
            prefix: Prefix::from_blocks(&blocks),
            max_tokens: self.rng.random_range(0..1000),
            priority: Priority::Normal,
            deadline: Duration::from_secs(10),
        }
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(self.rng.random_range(0..50));
        let group = self.group();
        match self.rng.random_range(0..100) {
            0..4 => self.insert(group),
            4 => {
                self.router.remove(&group);
                self.shadows.remove(&group);
            }
            5..12 => self.set_session_up(&group),
            12..16 => self.set_mark(&group),
            16..40 => self.report(&group),
            40..50 => self.cache_event(&group),
            50..60 => self.finish(),
            _ => self.route(),
        }
        self.router.assert_invariants();
    }

    fn insert(&mut self, group: GroupId) {
        let member = self.member();
        self.router.insert(group.clone(), member.clone());
        let shadow = self.shadows.entry(group).or_insert(Shadow {
            member: member.clone(),
            up: false,
            marks: [false; 3],
        });
        shadow.member = member;
    }

    fn set_session_up(&mut self, group: &GroupId) {
        let up = self.rng.random_bool(0.8);
        self.router.set_session_up(group, up);
        if let Some(shadow) = self.shadows.get_mut(group) {
            shadow.up = up;
        }
    }

    fn set_mark(&mut self, group: &GroupId) {
        let (number, on) = (self.rng.random_range(0..3), self.rng.random_bool(0.4));
        self.router.set_mark(group, MARKS[number], on);
        if let Some(shadow) = self.shadows.get_mut(group) {
            shadow.marks[number] = on;
        }
    }

    fn report(&mut self, group: &GroupId) {
        let load = Load {
            queued: 0,
            running: 3,
            backlog_tokens: self.rng.random_range(0..50_000),
            step_time: Duration::from_millis(self.rng.random_range(0..60)),
            skew: 1.0,
        };
        let age = Duration::from_millis(self.rng.random_range(0..20_000));
        self.router.report(group, Report { load, age }, self.now);
    }

    fn cache_event(&mut self, group: &GroupId) {
        let keys: Vec<u64> = self.query().prefix.keys().map(|(_, key)| key).collect();
        let key = keys.last().copied().unwrap_or(0);
        let event = match self.rng.random_range(0..10) {
            0 => Event::Cleared,
            1..4 => Event::Evicted(key),
            _ => Event::Stored(key),
        };
        let age = Duration::from_secs(self.rng.random_range(0..5));
        self.router.cache_event(group, event, age, self.now);
    }

    fn finish(&mut self) {
        if !self.tickets.is_empty() {
            let place = self.rng.random_range(0..self.tickets.len());
            self.router.record_finished(self.tickets.swap_remove(place));
        }
    }

    fn route(&mut self) {
        let query = self.query();
        let decision = self.router.route(&query, self.now, &mut self.rng);
        self.log.push(decision.to_string());
        let allowed = |(group, shadow): &(&GroupId, &Shadow)| {
            shadow.admits(&query) && !query.excluded.contains(group)
        };
        let Ok(group) = decision.group().cloned() else {
            let missed = self.shadows.iter().find(allowed).map(|(group, _)| group);
            assert_eq!(missed, None, "a unit was allowed but none was chosen");
            return;
        };
        let scored = decision.chosen.iter().chain(&decision.runners_up);
        for candidate in scored {
            let shadow = &self.shadows[&candidate.group];
            assert!(allowed(&(&candidate.group, shadow)), "{decision}");
        }
        let chosen = decision.chosen.as_ref().expect("a unit");
        let other = decision.runners_up.iter().any(|unit| unit.within_bound);
        assert!(chosen.within_bound || !other, "{decision}");
        if self.rng.random_bool(0.9) {
            let ticket = self.router.record_sent(&group, &query, self.now);
            self.tickets.extend(ticket);
        }
        if self.tickets.len() > MAX_TICKETS {
            self.router.record_finished(self.tickets.remove(0));
        }
    }
}

fn run(seed: u64, events: u64) -> Vec<String> {
    let mut run = Run::new(seed);
    for _ in 0..events {
        run.step();
    }
    run.log
}

#[gtest]
fn only_allowed_units_are_scored_and_the_state_stays_bounded() {
    let first = env_or("AUBURNLINE_SEED", 1);
    let events = env_or("AUBURNLINE_EVENTS", EVENTS);
    for seed in first..first + SEEDS {
        println!("seed {seed}, {events} events");
        let log = run(seed, events);
        let chosen = log.iter().filter(|line| !line.contains(" error="));
        expect_that!(
            chosen.count(),
            gt(log.len() / 4),
            "over a quarter of the decisions must choose a unit"
        );
    }
}

#[gtest]
fn equal_events_and_seeds_give_equal_decisions() {
    for seed in 1..4 {
        expect_that!(run(seed, 1000), eq(&run(seed, 1000)));
    }
}

#[gtest]
fn the_bound_holds_for_own_sends() {
    for seed in 1..5 {
        let mut run = Run::new(seed);
        for number in 0..90 {
            let group: GroupId = format!("group-{number}").into();
            let member = Member {
                pool: "drafts".into(),
                model: Some("maize".into()),
                failure_domain: "nord".into(),
            };
            run.router.insert(group.clone(), member);
            run.router.set_session_up(&group, true);
        }
        for _ in 0..2000 {
            let mut query = run.query();
            query.model = Some("maize".into());
            query.excluded.clear();
            let decision = run.router.route(&query, run.now, &mut run.rng);
            let chosen = decision.chosen.as_ref().expect("a unit");
            assert_that!(chosen.within_bound, eq(true), "seed {seed}: {decision}");
            let total = 90 * (decision.mean_load + 1) + query.tokens();
            assert_that!(chosen.load * 90, le(2 * total), "seed {seed}: {decision}");
            let group = chosen.group.clone();
            let _kept = run.router.record_sent(&group, &query, run.now);
        }
    }
}

#[gtest]
fn units_past_the_most_are_refused() {
    let mut run = Run::new(1);
    for number in 0..MAX_GROUPS + 5 {
        let member = run.member();
        let kept = run.router.insert(format!("unit-{number}").into(), member);
        expect_that!(kept, eq(number < MAX_GROUPS));
    }
    run.router.assert_invariants();
    expect_that!(run.router.groups().count(), eq(MAX_GROUPS));
    run.router.remove(&"unit-3".into());
    let member = run.member();
    expect_that!(run.router.insert("unit-new".into(), member), eq(true));
}
