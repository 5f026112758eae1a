//! Planned stops: by signal, list and preset, with real processes.

use std::time::Duration;

use auburnline_core::error::Fate;
use auburnline_core::error::Kind;
use auburnline_harness::caller::Caller;
use auburnline_harness::caller::Reply;
use auburnline_harness::caller::Wish;
use auburnline_harness::deployment::Deployment;
use auburnline_harness::deployment::LONG;
use auburnline_harness::process::Signal;
use auburnline_harness::shape::Shape;
use googletest::prelude::*;

use crate::support::deploy;
use crate::support::expected;

/// Tokens of a draft that outlives what is done to it: about two seconds.
const TOKENS: u32 = 400;

fn shape() -> Shape {
    Shape::default()
        .entries(2)
        .groups(2)
        .services(0)
        .step(Duration::from_millis(5))
}

/// Runs a long draft and does `then` once it streams; returns its reply.
fn during(deployment: &mut Deployment, key: &str, then: impl FnOnce(&mut Deployment)) -> Reply {
    let entry = deployment.entry("entry-1");
    let wish = Wish::draft("long", TOKENS).attempt(key, 1, Duration::ZERO);
    std::thread::scope(|scope| {
        let stream = scope.spawn(move || Caller::default().send(entry, &wish));
        deployment.until("the draft runs", || {
            let runs = deployment.runs(crate::support::WORKSPACE, key);
            (runs > 0).then_some(())
        });
        then(deployment);
        let reply = stream.join().expect("a reply");
        if !matches!(reply, Reply::Whole(_)) {
            deployment.print_logs();
        }
        reply
    })
}

/// Returns the slot that ran a request.
fn slot_of(deployment: &Deployment, key: &str) -> String {
    let effects = deployment.effects();
    let found = effects.iter().find(|(_, effect)| effect.id.ends_with(key));
    found.expect("an effect").0.clone()
}

#[gtest]
fn a_slot_told_to_stop_ends_its_streams_and_takes_no_new_work() {
    let mut deployment = deploy(shape());
    let reply = during(&mut deployment, "held", |deployment| {
        let slot = slot_of(deployment, "held");
        deployment.signal(&slot, Signal::Terminate);
        let status = |name: &str| deployment.status(name);
        deployment.until("the slot leaves", || status(&slot)?.leaving.then_some(()));
        let before = deployment.effects().len();
        let caller = Caller::default();
        for round in 0..10 {
            let key = format!("after-{round}");
            let wish = Wish::draft("short", 2).attempt(&key, 1, Duration::ZERO);
            let reply = caller.send(deployment.entry("entry-2"), &wish);
            assert_that!(reply, eq(&Reply::Whole(expected(&key, "short", 2))));
        }
        let effects = deployment.effects();
        let elsewhere = effects[before.min(effects.len())..].iter();
        let started = elsewhere.filter(|(_, effect)| effect.id.contains("after-"));
        for (upstream, _) in started {
            assert_that!(upstream, not(eq(&slot)));
        }
    });
    assert_that!(reply, eq(&Reply::Whole(expected("held", "long", TOKENS))));
    let slot = slot_of(&deployment, "held");
    let process = deployment.process(&slot).expect("a process");
    let ended = process.wait(LONG).expect("a wait");
    assert_that!(ended.map(|status| status.success()), some(eq(true)));
}

#[gtest]
fn an_entry_told_to_stop_ends_its_streams_and_turns_new_work_away() {
    let mut deployment = deploy(shape());
    let reply = during(&mut deployment, "held", |deployment| {
        deployment.signal("entry-1", Signal::Terminate);
        let caller = Caller::default();
        let entry = deployment.entry("entry-1");
        deployment.until("new work is turned away", || {
            let wish = Wish::draft("short", 2).attempt("away", 1, Duration::ZERO);
            let reply = caller.send(entry, &wish);
            (reply.kind() == Some(Kind::Leaving)).then(|| {
                assert_that!(reply.fate(), eq(Fate::NotRun));
            })
        });
        let offered = deployment.until("the other entry offers it no more", || {
            let wish = Wish::new(http::Method::GET, "/v1/entries");
            let found: serde_json::Value = caller.json(deployment.entry("entry-2"), &wish)?;
            let text = found.to_string();
            (!text.contains("entry-1")).then_some(text)
        });
        assert_that!(offered, contains_substring("entry-2"));
    });
    assert_that!(reply, eq(&Reply::Whole(expected("held", "long", TOKENS))));
    let process = deployment.process("entry-1").expect("a process");
    let ended = process.wait(LONG).expect("a wait");
    assert_that!(ended.map(|status| status.success()), some(eq(true)));
}

#[gtest]
fn the_maintenance_preset_cuts_nothing_and_can_be_taken_back() {
    let mut deployment = deploy(shape());
    let reply = during(&mut deployment, "held", |deployment| {
        let slot = slot_of(deployment, "held");
        let drain = vec![slot.clone(), "entry-1".to_owned()];
        let revision = deployment.publish("maintenance", &drain);
        deployment.in_force(revision);
        let caller = Caller::default();
        let wish = Wish::draft("short", 2).attempt("away", 1, Duration::ZERO);
        let reply = caller.send(deployment.entry("entry-1"), &wish);
        assert_that!(reply.kind(), some(eq(Kind::Leaving)));
        let wish = Wish::draft("short", 2).attempt("other", 1, Duration::ZERO);
        let reply = caller.send(deployment.entry("entry-2"), &wish);
        assert_that!(reply, eq(&Reply::Whole(expected("other", "short", 2))));
        assert_that!(slot_of(deployment, "other"), not(eq(&slot)));
    });
    assert_that!(reply, eq(&Reply::Whole(expected("held", "long", TOKENS))));
    let revision = deployment.publish("ordinary", &[]);
    deployment.in_force(revision);
    let caller = Caller::default();
    let wish = Wish::draft("short", 2).attempt("back", 1, Duration::ZERO);
    let reply = caller.send(deployment.entry("entry-1"), &wish);
    assert_that!(reply, eq(&Reply::Whole(expected("back", "short", 2))));
}

#[gtest]
fn an_instance_that_the_list_calls_leaving_gets_no_new_work_and_ends() {
    let mut deployment = deploy(shape());
    let reply = during(&mut deployment, "held", |deployment| {
        let slot = slot_of(deployment, "held");
        deployment.list(std::slice::from_ref(&slot));
        deployment.until("the slot leaves", || {
            deployment.status(&slot)?.leaving.then_some(())
        });
        let caller = Caller::default();
        for round in 0..6 {
            let key = format!("after-{round}");
            let wish = Wish::draft("short", 2).attempt(&key, 1, Duration::ZERO);
            let reply = caller.send(deployment.entry("entry-1"), &wish);
            assert_that!(reply, eq(&Reply::Whole(expected(&key, "short", 2))));
            assert_that!(slot_of(deployment, &key), not(eq(&slot)));
        }
    });
    assert_that!(reply, eq(&Reply::Whole(expected("held", "long", TOKENS))));
}

#[gtest]
fn a_second_signal_ends_at_once_and_is_honest_about_what_it_cut() {
    let mut deployment = deploy(shape());
    let reply = during(&mut deployment, "cut", |deployment| {
        let slot = slot_of(deployment, "cut");
        deployment.signal(&slot, Signal::Terminate);
        deployment.until("the slot leaves", || {
            deployment.status(&slot)?.leaving.then_some(())
        });
        deployment.signal(&slot, Signal::Terminate);
        let process = deployment.process(&slot).expect("a process");
        let ended = process.wait(LONG).expect("a wait");
        assert_that!(ended.is_some(), eq(true));
        let log = deployment.log(&slot);
        assert_that!(log, contains_substring("requests: 1"));
    });
    assert_that!(reply.fate(), eq(Fate::Unknown), "{reply:?}");
    assert_that!(deployment.runs(crate::support::WORKSPACE, "cut"), eq(1));
}

/// Tokens of a draft that outlasts the drain deadline: about eight seconds.
const LASTING_TOKENS: u32 = 1_600;
/// Time that a process has to drain.
const DRAIN: Duration = Duration::from_secs(2);

/// Runs a draft that outlasts the drain deadline, and tells the process of this name to stop once it streams; returns its reply.
fn outlast(stop: impl FnOnce(&Deployment) -> String) -> Reply {
    let mut deployment = deploy(shape().drain(DRAIN));
    let entry = deployment.entry("entry-1");
    let wish = Wish::draft("long", LASTING_TOKENS).attempt("held", 1, Duration::ZERO);
    let (reply, name) = std::thread::scope(|scope| {
        let stream = scope.spawn(move || Caller::default().send(entry, &wish));
        deployment.until("the draft runs", || {
            let runs = deployment.runs(crate::support::WORKSPACE, "held");
            (runs > 0).then_some(())
        });
        let name = stop(&deployment);
        deployment.signal(&name, Signal::Terminate);
        (stream.join().expect("a reply"), name)
    });
    let process = deployment.process(&name).expect("a process");
    process.wait(LONG).expect("a wait");
    reply
}

/// Guards against a request that is cut without a word as its entry ends, though its caller could be told.
#[gtest]
fn a_draft_that_outlasts_the_drain_deadline_of_its_entry_is_answered() {
    let reply = outlast(|_| "entry-1".to_owned());
    expect_that!(reply.kind(), some(eq(Kind::OutcomeUnknown)));
    expect_that!(reply.fate(), eq(Fate::Unknown));
}

/// Guards against the same as its slot ends, whose callers are at an entry that does not.
#[gtest]
fn a_draft_that_outlasts_the_drain_deadline_of_its_slot_is_answered() {
    let reply = outlast(|deployment| slot_of(deployment, "held"));
    let is_whole = reply == Reply::Whole(expected("held", "long", LASTING_TOKENS));
    expect_that!(is_whole || reply.kind().is_some(), eq(true));
}

/// Time that a process has to drain while requests come, and the number of parts of it at whose starts they do.
const LONG_DRAIN: Duration = Duration::from_secs(6);
const TENTHS: u32 = 10;

/// Tells a process to stop while a draft keeps it, and sends a short draft to an entry at each tenth of its time to drain; returns the
/// replies.
fn at_each_tenth(to: &str, stop: impl Fn(&Deployment) -> String) -> Vec<Reply> {
    let deployment = deploy(shape().drain(LONG_DRAIN));
    let held = deployment.entry("entry-1");
    let entry = deployment.entry(to);
    let wish = Wish::draft("long", LASTING_TOKENS).attempt("held", 1, Duration::ZERO);
    std::thread::scope(|scope| {
        scope.spawn(move || Caller::default().send(held, &wish));
        deployment.until("the draft runs", || {
            let runs = deployment.runs(crate::support::WORKSPACE, "held");
            (runs > 0).then_some(())
        });
        deployment.signal(&stop(&deployment), Signal::Terminate);
        let stopped = std::time::Instant::now();
        let replies = (0..TENTHS).map(|tenth| {
            let at = LONG_DRAIN * tenth / TENTHS;
            std::thread::sleep(at.saturating_sub(stopped.elapsed()));
            let key = format!("tenth-{tenth}");
            let wish = Wish::draft("short", 2).attempt(&key, 1, Duration::ZERO);
            Caller::default().send(entry, &wish)
        });
        replies.collect()
    })
}

/// Guards against an entry that takes on what comes at any tenth of its time to drain, and cuts it at the end.
#[gtest]
fn what_comes_at_each_tenth_of_the_drain_of_an_entry_is_served_or_told_not_to_have_run() {
    let replies = at_each_tenth("entry-1", |_| "entry-1".to_owned());
    let of = |tenth: usize| expected(&format!("tenth-{tenth}"), "short", 2);
    for (tenth, reply) in replies.iter().enumerate() {
        let is_whole = *reply == Reply::Whole(of(tenth));
        println!(
            "entry, tenth {tenth}: {:?} {:?}",
            reply.kind(),
            reply.fate()
        );
        expect_that!(is_whole || reply.fate() == Fate::NotRun, eq(true));
    }
}

/// Guards against the same at a slot, beside which another one can take what comes.
#[gtest]
fn what_comes_at_each_tenth_of_the_drain_of_a_slot_is_served() {
    let replies = at_each_tenth("entry-2", |deployment| slot_of(deployment, "held"));
    for (tenth, reply) in replies.iter().enumerate() {
        println!("slot, tenth {tenth}: {:?} {:?}", reply.kind(), reply.fate());
        let whole = Reply::Whole(expected(&format!("tenth-{tenth}"), "short", 2));
        expect_that!(*reply == whole, eq(true));
    }
}
