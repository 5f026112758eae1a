//! Randomised simulations of many processes under mixed faults, and tests of single exchanges.

use std::time::Duration;

use auburnline_configuration::checked::Checked;
use auburnline_configuration::head::Comparison;
use auburnline_configuration::head::Head;
use auburnline_configuration::head::MIN_DIGEST_CHARS;
use auburnline_configuration::parcel::Ask;
use auburnline_configuration::parcel::Content;
use auburnline_configuration::schedule::Member;
use auburnline_configuration::spread::Action;
use auburnline_configuration::spread::Event;
use auburnline_configuration::spread::Spread;
use auburnline_core::published::Section;
use auburnline_core::time::Monotonic;
use auburnline_membership::pause::TICK;
use googletest::prelude::*;
use rand::Rng;
use serde_json::json;

use crate::support::Draft;
use crate::support::simulation::Maker;
use crate::support::simulation::Process;
use crate::support::simulation::Service;
use crate::support::simulation::Simulation;
use crate::support::simulation::links;
use crate::support::simulation::make_spread;

/// First seed of the randomised runs, unless `AUBURNLINE_SEED` is set.
const SEED: u64 = 1;
/// Minimum number of events of the randomised runs, unless `AUBURNLINE_EVENTS` is set.
const EVENTS: u64 = 300_000;
/// Time within which all processes must have the highest revision after all faults end.
const SPREAD_BOUND: Duration = Duration::from_secs(8);

fn setting(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |text| text.parse().expect("a number"))
}

/// Publishes the next revision, an invalid one, or another configuration under the last revision.
fn publish(run: &mut Simulation) {
    let last = run
        .published
        .iter()
        .map(|published| published.head.revision);
    let last = last.max().unwrap_or(0);
    let rate = run.rng.random_range(1..1_000_000);
    let draft = Draft::default().set(
        Section::Workspaces,
        "/workspaces/w/tokens_per_second",
        json!(rate),
    );
    let draft = match run.rng.random_range(0..10) {
        0 => draft.revision(last + 1).preset("unknown"),
        1 | 2 => draft.revision(last),
        _ => draft.revision(last + 1),
    };
    run.publish(draft.source());
}

/// Publishes, causes a random fault, or ends some faults.
fn inject_fault(run: &mut Simulation) {
    let count = run.nodes.len();
    let index = run.rng.random_range(0..count);
    let old = run.rng.random_range(0..run.published.len());
    match run.rng.random_range(0..18) {
        0..=3 => publish(run),
        4 => run.set_service(Service::Down),
        5 => run.set_service(Service::Silent),
        6 => run.set_service(Service::Stale(old)),
        7 => run.set_service(Service::Flapping(old)),
        8 | 9 => run.set_service(Service::Up),
        10 => run.start(index),
        11 => {
            let length = run.rng.random_range(100..60_000);
            run.freeze(index, Duration::from_millis(length));
        }
        12 => {
            for index in 0..count {
                run.nodes[index].side = run.rng.random_range(0..2);
            }
        }
        13 => run.nodes.iter_mut().for_each(|node| node.side = 0),
        14 | 15 => run.deliver_wrong_live_list(index),
        16 => run.nodes[index].is_cut_from_service ^= true,
        _ => run.loss = run.rng.random_range(0.0..0.3),
    }
}

/// Ends all faults.
fn end_faults(run: &mut Simulation) {
    run.loss = 0.0;
    for node in &mut run.nodes {
        node.side = 0;
        node.is_cut_from_service = false;
    }
    run.set_service(Service::Up);
}

/// Runs one fleet through random faults, ends them, and checks that all processes converge.
fn run_with_faults(seed: u64, maker: Maker) -> Simulation {
    let mut run = fleet(seed, maker);
    for _ in 0..40 {
        inject_fault(&mut run);
        let length = run.rng.random_range(10..4_000);
        let end = run.now + Duration::from_millis(length);
        run.run(end, |_| false);
    }
    end_faults(&mut run);
    // The longest freeze ends before the bound starts.
    let end = run.now + Duration::from_mins(1) + SPREAD_BOUND;
    run.run(end, |_| false);
    run.check_spread(run.highest_accepted());
    let draft = Draft::default().revision(run.highest() + 10);
    run.publish(draft.source());
    run.run(end + SPREAD_BOUND, Simulation::is_spread);
    run.check_spread(run.highest());
    run
}

fn fleet(seed: u64, maker: Maker) -> Simulation {
    use rand::SeedableRng;
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let count = rng.random_range(3..14);
    let links = links(count, 2, &mut rng);
    Simulation::new(seed, 3, links, maker, Draft::default().source())
}

#[gtest]
fn random_faults_break_no_promise() {
    let first = setting("AUBURNLINE_SEED", SEED);
    let least = setting("AUBURNLINE_EVENTS", EVENTS);
    let mut events = 0;
    let mut seed = first;
    while events < least {
        let run = run_with_faults(seed, make_spread);
        events += run.events;
        assert_that!(run.violations, is_empty(), "seed {seed}");
        seed += 1;
    }
    println!("seeds {first}..{seed}, {events} events, 0 violations");
}

#[gtest]
fn a_new_process_with_stale_reads_only_takes_its_peers_word() {
    let mut run = fleet(SEED, make_spread);
    run.run(Duration::from_secs(5), |_| false);
    run.publish(Draft::default().revision(7).source());
    run.run(Duration::from_secs(10), |_| false);
    run.set_service(Service::Stale(0));
    run.start(0);
    run.run(Duration::from_secs(15), |_| false);
    expect_that!(run.nodes[0].process.head().expect("a head").revision, eq(7));
    expect_true!(run.nodes[0].process.may_send(run.now));
    expect_that!(run.violations, is_empty());
}

#[gtest]
fn a_new_process_with_neither_source_is_not_ready() {
    let mut run = fleet(SEED, make_spread);
    run.run(Duration::from_secs(5), |_| false);
    run.set_service(Service::Down);
    run.nodes[0].side = 1;
    run.start(0);
    run.run(Duration::from_mins(1), |_| false);
    expect_that!(run.nodes[0].process.head(), none());
    expect_false!(run.nodes[0].process.may_send(run.now));
}

#[gtest]
fn a_frozen_process_with_neither_source_stays_unready() {
    let mut run = fleet(SEED, make_spread);
    run.run(Duration::from_secs(5), |_| false);
    expect_true!(run.nodes[0].process.may_send(run.now));
    run.freeze(0, Duration::from_mins(1));
    run.run(Duration::from_secs(64), |_| false);
    run.set_service(Service::Down);
    run.nodes[0].side = 1;
    run.run(Duration::from_secs(90), |_| false);
    expect_false!(run.nodes[0].process.may_send(run.now));
    end_faults(&mut run);
    run.run(Duration::from_secs(95), |_| false);
    expect_true!(run.nodes[0].process.may_send(run.now));
    expect_that!(run.violations, is_empty());
}

#[gtest]
fn peers_alone_spread_a_revision() {
    let mut run = fleet(SEED, make_spread);
    run.run(Duration::from_secs(5), |_| false);
    for (index, node) in run.nodes.iter_mut().enumerate() {
        node.is_cut_from_service = index % 3 != 0;
    }
    run.publish(Draft::default().revision(2).source());
    run.run(Duration::from_secs(7), Simulation::is_spread);
    expect_true!(run.is_spread());
}

/// Deliberate fault of a process, which the invariants must detect.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    /// Accepts any manifest of the service as if it had none in force.
    Reverts,
    /// Sends new work whether or not it is ready.
    SendsAlways,
    /// Ignores peers and the service after its first configuration.
    IgnoresEvents,
    /// Installs a configuration that was not published.
    InstallsUnpublished,
}

struct Faulty {
    member: Member,
    inner: Box<dyn Process>,
    fault: Fault,
}

impl Process for Faulty {
    fn handle(&mut self, event: Event, now: Monotonic) -> Vec<Action> {
        let is_manifest = matches!(event, Event::Manifest(..));
        if self.fault == Fault::Reverts && is_manifest {
            self.inner = make_spread(&self.member, 1, now);
        }
        let is_set = self.inner.head().is_some();
        if self.fault == Fault::IgnoresEvents && is_set && !matches!(event, Event::Tick) {
            return Vec::new();
        }
        let mut actions = self.inner.handle(event, now);
        if self.fault == Fault::InstallsUnpublished && is_manifest {
            let unpublished = Draft::default().revision(1_000_000).source();
            actions.extend(Checked::parse(unpublished).map(Action::Install));
        }
        actions
    }

    fn may_send(&self, now: Monotonic) -> bool {
        self.fault == Fault::SendsAlways || self.inner.may_send(now)
    }

    fn head(&self) -> Option<Head> {
        self.inner.head()
    }
}

fn make_faulty(fault: Fault, member: &Member, seed: u64, now: Monotonic) -> Box<dyn Process> {
    let inner = make_spread(member, seed, now);
    if &*member.instance != "p0" {
        return inner;
    }
    let member = member.clone();
    Box::new(Faulty {
        member,
        inner,
        fault,
    })
}

#[gtest]
fn each_planted_fault_is_caught() {
    let cases: [(Maker, &str); 4] = [
        (|m, s, n| make_faulty(Fault::Reverts, m, s, n), "goes back"),
        (
            |m, s, n| make_faulty(Fault::SendsAlways, m, s, n),
            "sends before its refresh",
        ),
        (
            |m, s, n| make_faulty(Fault::IgnoresEvents, m, s, n),
            "lacks",
        ),
        (
            |m, s, n| make_faulty(Fault::InstallsUnpublished, m, s, n),
            "installs unsound",
        ),
    ];
    for (maker, violation) in cases {
        let run = run_with_faults(SEED, maker);
        expect_that!(run.violations, contains(contains_substring(violation)));
    }
}

/// Returns the sections that `actions` request from the service.
fn reads(actions: &[Action]) -> Vec<Section> {
    let read = |action: &Action| match action {
        Action::ReadSection(section, _) => Some(*section),
        _ => None,
    };
    actions.iter().filter_map(read).collect()
}

#[gtest]
fn a_section_whose_read_failed_is_read_again_alone() {
    let mut now = Duration::from_secs(1);
    let mut spread = Spread::new("p".into(), "d".into(), SEED, now);
    let source = Draft::default().source();
    let manifest = Event::Manifest(1, source.manifest.clone());
    assert_that!(reads(&spread.handle(manifest, now)), len(eq(4)));
    for (&section, bytes) in &source.sections {
        let event = match section {
            Section::Fleet => Event::SectionFailed(section),
            _ => Event::Section(section, bytes.clone()),
        };
        assert_that!(reads(&spread.handle(event, now)), is_empty());
    }
    let mut again = Vec::new();
    for _ in 0..20 {
        now += TICK;
        again.extend(reads(&spread.handle(Event::Tick, now)));
    }
    assert_that!(again, elements_are![eq(&Section::Fleet)]);
    let bytes = source.sections[&Section::Fleet].clone();
    spread.handle(Event::Section(Section::Fleet, bytes), now);
    assert_that!(spread.acceptance().in_force(), some(anything()));
}

#[gtest]
fn a_head_with_a_short_digest_stands_for_the_whole() {
    let whole = Head::of(&Draft::default().checked());
    let short = whole.short();
    expect_that!(short.compare(Some(&whole)), eq(Comparison::Same));
    let mut other = short.clone();
    other.digest = "0".repeat(MIN_DIGEST_CHARS);
    expect_that!(other.compare(Some(&whole)), eq(Comparison::Conflict));
    other.digest.clear();
    expect_that!(other.compare(Some(&whole)), eq(Comparison::Conflict));
}

/// Returns a process that has a configuration of nearly 1 MB in force.
fn with_large_configuration(now: Monotonic) -> Spread {
    let limits = json!({"tokens_per_second": 1, "burst_tokens": 1, "weight": 1});
    let all = (0..13_000).map(|index| (format!("workspace-{index:06}"), limits.clone()));
    let all: serde_json::Map<String, serde_json::Value> = all.collect();
    let source = Draft::default()
        .set(Section::Workspaces, "/workspaces", json!(all))
        .source();
    let mut spread = Spread::new("p".into(), "d".into(), SEED, now);
    spread.handle(Event::Manifest(1, source.manifest.clone()), now);
    for (section, bytes) in source.sections {
        spread.handle(Event::Section(section, bytes), now);
    }
    spread
}

#[gtest]
fn a_peer_that_has_sent_enough_is_busy_and_is_asked_again_later() {
    let mut now = Duration::from_secs(1);
    let mut answerer = with_large_configuration(now);
    let mut asker = Spread::new("q".into(), "d".into(), SEED, now);
    let mut answer = |now: Monotonic, ask: &Ask| {
        let actions = answerer.handle(Event::Asked("q".into(), ask.clone()), now);
        let parcel = actions.into_iter().find_map(|action| match action {
            Action::Answer(_, parcel) => Some(parcel),
            _ => None,
        });
        parcel.expect("an answer")
    };
    let asks = |actions: Vec<Action>| {
        let ask = |action| match action {
            Action::Ask(_, ask) => Some(ask),
            _ => None,
        };
        actions.into_iter().find_map(ask)
    };
    asker.handle(Event::SessionUp("p".into()), now);
    let ask = asks(asker.handle(Event::Tick, now)).expect("a question at the start");
    let whole = (0..20).take_while(|_| matches!(answer(now, &ask).content, Content::Newer { .. }));
    expect_that!(whole.count(), all![ge(8), le(12)]);

    let busy = answer(now, &ask);
    expect_that!(busy.content, eq(&Content::Busy));
    let again = asks(asker.handle(Event::Answered("p".into(), busy), now));
    expect_that!(again, none());
    for _ in 0..5 {
        now += TICK;
        if let Some(ask) = asks(asker.handle(Event::Tick, now)) {
            let parcel = answer(now, &ask);
            asker.handle(Event::Answered("p".into(), parcel), now);
        }
    }
    expect_that!(asker.acceptance().in_force(), some(anything()));
}
