//! Randomised simulations of views under mixed faults.

use std::collections::BTreeSet;
use std::time::Duration;

use auburnline_core::id::Incarnation;
use auburnline_core::id::InstanceId;
use auburnline_core::time::Monotonic;
use auburnline_membership::list::List;
use auburnline_membership::list::Listed;
use auburnline_membership::view::Action;
use auburnline_membership::view::Event;
use auburnline_membership::view::View;
use googletest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::support::Factory;
use crate::support::Simulation;
use crate::support::State;
use crate::support::Subject;

/// First seed of the runs; `AUBURNLINE_SEED` overrides it.
const SEED: u64 = 1;
/// Minimum number of events over all runs; `AUBURNLINE_EVENTS` overrides it.
const EVENTS: u64 = 300_000;

/// Last seed of the runs with a planted fault; at least one of the runs must detect it.
const PLANTED_RUNS: u64 = 20;

fn setting(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |text| text.parse().expect("a number"))
}

fn faultless(me: InstanceId, seed: u64) -> Box<dyn Subject> {
    Box::new(View::new(me, seed))
}

/// Injects one random fault, or heals some.
fn inject_fault(run: &mut Simulation) {
    let names = run.instances();
    let name = names[run.rng.random_range(0..names.len())].clone();
    match run.rng.random_range(0..14) {
        0 | 1 => run.leave(&name),
        2 => run.crash(&name),
        3 | 4 => run.restart(&name),
        5 => run.silence_links(),
        6 => run.partition(2),
        7 => run.partition(1),
        8 => {
            let length = run.rng.random_range(100..60_000);
            run.freeze(&name, Duration::from_millis(length));
        }
        9 => run.publish_list(true),
        10 => run.publish_list(false),
        11 => run.list_lag = run.rng.random_range(0..6),
        12 => run.is_list_gone ^= true,
        _ => {
            let drains = names.into_iter().filter(|_| run.rng.random_bool(0.2));
            let drains: BTreeSet<InstanceId> = drains.collect();
            run.publish_preset(drains);
        }
    }
}

/// Simulates one fleet under faults and its recovery, and returns the simulation.
fn trial(seed: u64, factory: Factory) -> Simulation {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (entries, slots) = (rng.random_range(2..8), rng.random_range(2..6));
    let mut run = Simulation::new(seed, entries, slots, factory);
    for _ in 0..40 {
        inject_fault(&mut run);
        let length = run.rng.random_range(10..4_000);
        run.run(run.now + Duration::from_millis(length));
    }
    run.partition(1);
    run.list_lag = 0;
    run.is_list_gone = false;
    // Longer than the longest freeze and the longest drain.
    run.run(run.now + Duration::from_mins(1));
    for name in run.instances() {
        if matches!(run.state(&name), State::Gone(_)) {
            run.restart(&name);
        }
    }
    run.publish_list(false);
    run.run(run.now + Duration::from_secs(10));
    run.check_service();
    run
}

#[gtest]
fn random_faults_break_no_promise() {
    let first = setting("AUBURNLINE_SEED", SEED);
    let least = setting("AUBURNLINE_EVENTS", EVENTS);
    let mut events = 0;
    let mut last_work = Vec::new();
    let mut seed = first;
    while events < least {
        let run = trial(seed, faultless);
        events += run.events;
        last_work.extend(run.last_work.into_values());
        assert_that!(run.violations, is_empty(), "seed {seed}");
        seed += 1;
    }
    last_work.sort_unstable();
    let percentile = |permille: usize| last_work[(last_work.len() - 1) * permille / 1000];
    println!("seeds {first}..{seed}, {events} events, 0 violations");
    let left = last_work.len();
    println!(
        "{left} left; last new work after: p50 {:?}, p90 {:?}, p99 {:?}, worst {:?}",
        percentile(500),
        percentile(900),
        percentile(990),
        percentile(1000)
    );
}

/// A short partition drops the leaving notice of an instance, whose heartbeats continue.
const LOST_NOTICE_SEED: u64 = 5236;

#[gtest]
fn a_heartbeat_makes_up_for_a_lost_notice() {
    let run = trial(LOST_NOTICE_SEED, faultless);
    assert_that!(run.violations, is_empty());
}

/// Planted fault of a view.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    /// Ignores leaving notices and all rumours.
    IgnoresNotices,
    /// Keeps sending work to an instance whose session it closed.
    TrustsSilence,
    /// Applies an older preset as if it were newer.
    AcceptsOlderPreset,
    /// Lets the state live in the list override a leaving notice.
    ListOverridesNotice,
    /// Applies a mark by the list to the current incarnation, as a leaving notice.
    BindsListMark,
}

struct Faulty {
    inner: View,
    fault: Fault,
    revision: u64,
    list: List,
    trusted: BTreeSet<InstanceId>,
}

impl Faulty {
    fn bind(&mut self, list: &List, now: Monotonic) -> Vec<Action> {
        let mut actions = Vec::new();
        for name in &list.leaving {
            let is_step = self.list.listed(name) != Listed::Leaving;
            let incarnation = self.inner.incarnation(name).filter(|_| is_step);
            if let Some(incarnation) = incarnation {
                let event = Event::Notice(name.clone(), incarnation);
                actions.extend(self.inner.handle(event, now));
            }
        }
        actions
    }
}

impl Subject for Faulty {
    fn handle(&mut self, event: Event, now: Monotonic) -> Vec<Action> {
        let mut event = event;
        let mut actions = Vec::new();
        match &mut event {
            Event::Notice(..) | Event::Rumours(..) if self.fault == Fault::IgnoresNotices => {
                return actions;
            }
            Event::Fleet { revision, .. } if self.fault == Fault::AcceptsOlderPreset => {
                self.revision += 1;
                *revision = self.revision;
            }
            Event::List(list) if list.version > self.list.version => {
                if self.fault == Fault::BindsListMark {
                    actions = self.bind(&list.clone(), now);
                }
                self.list = list.clone();
            }
            _ => {}
        }
        match &event {
            Event::SessionUp(instance, _) | Event::SessionDown(instance) => {
                self.trusted.remove(instance);
            }
            _ => {}
        }
        actions.extend(self.inner.handle(event, now));
        let closed = actions.iter().filter_map(|action| match action {
            Action::Close(instance) => Some(instance.clone()),
            _ => None,
        });
        self.trusted.extend(closed);
        actions
    }

    fn may_get_work(&self, instance: &str, now: Monotonic) -> bool {
        let status = self.inner.status(instance, now);
        let is_listed = self.list.listed(instance) == Listed::Live;
        match self.fault {
            Fault::TrustsSilence => {
                status.leaving.is_none() && (status.is_up || self.trusted.contains(instance))
            }
            Fault::ListOverridesNotice => status.is_up && (is_listed || status.leaving.is_none()),
            _ => self.inner.may_get_work(instance, now),
        }
    }

    fn incarnation(&self, instance: &str) -> Option<Incarnation> {
        self.inner.incarnation(instance)
    }
}

fn faulty(fault: Fault, me: InstanceId, seed: u64) -> Box<dyn Subject> {
    Box::new(Faulty {
        inner: View::new(me, seed),
        fault,
        revision: 0,
        list: List::default(),
        trusted: BTreeSet::new(),
    })
}

#[gtest]
fn each_planted_fault_is_caught() {
    let cases: [(Factory, &str); 5] = [
        (
            |me, seed| faulty(Fault::IgnoresNotices, me, seed),
            "Leaving",
        ),
        (|me, seed| faulty(Fault::TrustsSilence, me, seed), "Gone"),
        (
            |me, seed| faulty(Fault::AcceptsOlderPreset, me, seed),
            "which the preset drains",
        ),
        (
            |me, seed| faulty(Fault::ListOverridesNotice, me, seed),
            "after its notice",
        ),
        (
            |me, seed| faulty(Fault::BindsListMark, me, seed),
            "may get work: false",
        ),
    ];
    for (factory, violation) in cases {
        let mut runs = (SEED..=PLANTED_RUNS).map(|seed| trial(seed, factory).violations);
        let is_caught = |found: &Vec<String>| found.iter().any(|text| text.contains(violation));
        expect_true!(runs.any(|found| is_caught(&found)), "{violation}");
    }
}

/// Guards against new work for an incarnation that leaves: its mark is dropped for those of others
/// that were replaced long ago.
#[gtest]
fn of_many_leaving_marks_the_oldest_is_dropped() {
    let mut view = View::new("entry-1".into(), SEED);
    let instance = InstanceId::from("slot-1");
    view.handle(
        Event::Fleet {
            revision: 1,
            instances: BTreeSet::from([instance.clone()]),
            drains: BTreeSet::new(),
        },
        Duration::ZERO,
    );
    // Incarnations are random numbers, so the newest mark may be of the smallest.
    for incarnation in (1..=12).rev() {
        view.handle(Event::Notice(instance.clone(), incarnation), Duration::ZERO);
    }
    view.handle(Event::SessionUp(instance.clone(), 2), Duration::ZERO);
    expect_that!(view.may_get_work(&instance, Duration::ZERO), eq(false));
    view.handle(Event::SessionUp(instance.clone(), 20), Duration::ZERO);
    expect_that!(view.may_get_work(&instance, Duration::ZERO), eq(true));
}

/// Guards against instances that a full view never takes up, since it holds those of the
/// configuration before.
#[gtest]
fn instances_that_are_gone_make_room_in_a_full_view() {
    let mut view = View::new("entry-1".into(), SEED);
    let names = |first: usize, last: usize| {
        let names = (first..last).map(|number| InstanceId::from(format!("slot-{number}")));
        names.collect::<BTreeSet<_>>()
    };
    for (revision, instances) in [(1, names(0, 4_096)), (2, names(10, 4_106))] {
        let drains = BTreeSet::new();
        let fleet = Event::Fleet {
            revision,
            instances,
            drains,
        };
        view.handle(fleet, Duration::ZERO);
    }
    expect_that!(view.live(Duration::ZERO).count(), eq(4_096));
    expect_that!(view.status("slot-4105", Duration::ZERO).is_live, eq(true));
}
