//! Further sends and ejection, with real processes.

use std::time::Duration;
use std::time::Instant;

use auburnline_core::error::Fate;
use auburnline_core::error::Kind;
use auburnline_harness::caller::Caller;
use auburnline_harness::caller::Reply;
use auburnline_harness::caller::Wish;
use auburnline_harness::deployment::Deployment;
use auburnline_harness::process::Signal;
use auburnline_harness::shape::Shape;
use auburnline_standin::engine::Fault;
use googletest::prelude::*;

use crate::support::WORKSPACE;
use crate::support::deploy;
use crate::support::expected;

/// First sends of the test of the budget.
const FIRSTS: usize = 200;

fn shape(groups: usize) -> Shape {
    Shape::default().entries(1).groups(groups).services(0)
}

fn refuse() -> Fault {
    Fault {
        refuse: Some(503),
        ..Fault::default()
    }
}

fn slots(deployment: &Deployment) -> Vec<String> {
    deployment.slots().collect()
}

/// Sends one short draft.
fn send(deployment: &Deployment, key: &str) -> Reply {
    let wish = Wish::draft("short", 2).attempt(key, 1, Duration::ZERO);
    Caller::default().send(deployment.entry("entry-1"), &wish)
}

/// Returns how often the request of a decision was sent.
fn sends(line: &str) -> Option<usize> {
    let (_, rest) = line.split_once(" sends=")?;
    rest.split(' ').next()?.parse().ok()
}

/// Returns the entry's decisions with a message, in their order.
fn decisions(deployment: &Deployment, messages: &[&str]) -> Vec<String> {
    let log = deployment.log("entry-1");
    let is = |line: &&str| {
        let told = messages
            .iter()
            .any(|msg| line.contains(&format!(" msg={msg} ")));
        told && line.contains("target=decision")
    };
    log.lines().filter(is).map(str::to_owned).collect()
}

#[gtest]
fn upstreams_that_refuse_everything_get_the_budgets_share_of_further_sends() {
    let deployment = deploy(shape(4));
    for slot in slots(&deployment) {
        deployment.upstream_fault(&slot, &refuse());
    }
    let started = Instant::now();
    for number in 0..FIRSTS {
        let reply = send(&deployment, &format!("refused-{number}"));
        assert_that!(reply.fate(), eq(Fate::NotRun), "{reply:?}");
        if let Reply::Failed { retry, .. } = &reply {
            expect_that!(*retry, some(ge(Duration::from_secs(1))));
        }
    }
    // What an entry logs comes in order, so all before the last answer is there with it.
    deployment.until("all answers are logged", || {
        (decisions(&deployment, &["answer"]).len() == FIRSTS).then_some(())
    });
    // A tenth of the first sends, the reserve of ten, and one in each ten seconds.
    let refilled = started.elapsed().as_secs() / 10 + 1;
    let most = FIRSTS / 10 + 10 + usize::try_from(refilled).expect("a small number");
    let again = decisions(&deployment, &["retry"]).len();
    let ended = decisions(&deployment, &["answer"]);
    let sends: usize = ended.iter().filter_map(|line| sends(line)).sum();
    println!("{FIRSTS} requests, {sends} sends");
    expect_that!(sends, eq(FIRSTS + again));
    expect_that!(again, all![ge(10), le(most)]);
    let abandoned = decisions(&deployment, &["abandon"]);
    let budget = abandoned.iter().filter(|line| line.contains("_budget"));
    expect_that!(budget.count(), ge(FIRSTS - most));
    expect_that!(decisions(&deployment, &["eject"]), is_empty());
    expect_that!(deployment.effects(), is_empty());
}

#[gtest]
fn a_group_that_refuses_is_left_out_until_its_time_is_over() {
    let deployment = deploy(shape(4));
    let slot = slots(&deployment).remove(0);
    let group = "group=drafts-1 ";
    deployment.upstream_fault(&slot, &refuse());
    let mut sent = 0;
    let mut some = |deployment: &Deployment| {
        for _ in 0..10 {
            sent += 1;
            let reply = send(deployment, &format!("one-{sent}"));
            let whole = Reply::Whole(expected(&format!("one-{sent}"), "short", 2));
            let refused = reply.fate() == Fate::NotRun;
            expect_that!(reply == whole || refused, eq(true), "{reply:?}");
        }
    };
    let mut rounds = 0;
    while decisions(&deployment, &["eject"]).is_empty() {
        rounds += 1;
        assert_that!(rounds, le(200), "no ejection");
        some(&deployment);
    }
    some(&deployment);
    deployment.upstream_fault(&slot, &Fault::default());
    while deployment.effects().iter().all(|(name, _)| *name != slot) {
        rounds += 1;
        assert_that!(rounds, le(10_000), "no return");
        some(&deployment);
    }
    deployment.until("the return is logged", || {
        (!decisions(&deployment, &["return"]).is_empty()).then_some(())
    });
    let told = decisions(&deployment, &["eject", "return", "route"]);
    let place = |msg: &str| {
        let found = told.iter().position(|line| line.contains(msg));
        found.expect("a decision")
    };
    let (ejected, back) = (place(" msg=eject "), place(" msg=return "));
    expect_that!(told[ejected], contains_substring(group));
    expect_that!(told[back], contains_substring(group));
    let between = told[ejected + 1..back].iter();
    let routed: Vec<_> = between
        .filter(|line| line.contains(" msg=route "))
        .collect();
    expect_that!(routed.len(), ge(10));
    for line in routed {
        expect_that!(line, not(contains_substring(group)));
    }
}

#[gtest]
fn a_group_that_is_left_out_serves_when_the_others_are_lost() {
    let mut deployment = deploy(shape(4));
    let slots = slots(&deployment);
    deployment.upstream_fault(&slots[0], &refuse());
    let mut sent = 0;
    while decisions(&deployment, &["eject"]).is_empty() {
        sent += 1;
        assert_that!(sent, le(2_000), "no ejection");
        let _ = send(&deployment, &format!("one-{sent}"));
    }
    deployment.upstream_fault(&slots[0], &Fault::default());
    for slot in &slots[1..] {
        deployment.kill(slot);
    }
    let back = deployment.until("the group returns", || {
        decisions(&deployment, &["return"]).pop()
    });
    expect_that!(back, contains_substring("group=drafts-1 "));
    expect_that!(back, contains_substring("reason=members_changed"));
    // The entry may not have seen the others go when it is asked first.
    let asked = std::cell::Cell::new(0);
    deployment.until("the group serves", || {
        asked.set(asked.get() + 1);
        let key = format!("last-{}", asked.get());
        (send(&deployment, &key) == Reply::Whole(expected(&key, "short", 2))).then_some(())
    });
}

/// Starts a draft at a silent upstream, kills its slot, and returns its key's reply.
fn cut(wish: Wish, key: &str) -> (Reply, usize) {
    cut_beside(wish, key, Duration::ZERO)
}

/// Does the same, and freezes the other slot for some time after that.
fn cut_beside(wish: Wish, key: &str, frozen: Duration) -> (Reply, usize) {
    let mut deployment = deploy(shape(2));
    let silent = Fault {
        silent: true,
        ..Fault::default()
    };
    for slot in slots(&deployment) {
        deployment.upstream_fault(&slot, &silent);
    }
    let wish = wish.attempt(key, 1, Duration::ZERO);
    let entry = deployment.entry("entry-1");
    let reply = std::thread::scope(|scope| {
        let reply = scope.spawn(move || Caller::default().send(entry, &wish));
        let slot = deployment.until("the draft runs", || {
            let effects = deployment.effects();
            let found = effects.iter().find(|(_, effect)| effect.id.ends_with(key));
            found.map(|(slot, _)| slot.clone())
        });
        for other in slots(&deployment) {
            deployment.upstream_fault(&other, &Fault::default());
        }
        deployment.kill(&slot);
        if frozen > Duration::ZERO {
            let others: Vec<_> = slots(&deployment)
                .into_iter()
                .filter(|it| *it != slot)
                .collect();
            for other in &others {
                deployment.signal(other, Signal::Stop);
            }
            std::thread::sleep(frozen);
            for other in &others {
                deployment.signal(other, Signal::Continue);
            }
        }
        reply.join().expect("a reply")
    });
    if !matches!(reply, Reply::Whole(_)) {
        // The entry's log says why there was no further send; it goes with the deployment.
        deployment.print_logs();
    }
    (reply, deployment.runs(WORKSPACE, key))
}

#[gtest]
fn an_idempotent_draft_whose_slot_is_killed_is_answered_by_another_group() {
    let (reply, runs) = cut(Wish::idempotent_draft("words", 20), "may");
    expect_that!(reply, eq(&Reply::Whole(expected("may", "words", 20))));
    expect_that!(runs, eq(2));
}

/// Guards against an answer given up while the other group's session is away for a moment, as on a
/// machine that is too busy to send heartbeats.
#[gtest]
fn an_idempotent_draft_whose_slot_is_killed_waits_for_another_group_to_be_reached() {
    let wish = Wish::idempotent_draft("words", 20);
    let (reply, runs) = cut_beside(wish, "june", Duration::from_millis(3_500));
    expect_that!(reply, eq(&Reply::Whole(expected("june", "words", 20))));
    expect_that!(runs, eq(2));
}

#[gtest]
fn a_draft_that_is_not_idempotent_is_never_sent_again_after_its_slot_is_killed() {
    let (reply, runs) = cut(Wish::draft("words", 20), "once");
    expect_that!(reply.fate(), eq(Fate::Unknown), "{reply:?}");
    expect_that!(runs, eq(1));
}

#[gtest]
fn an_idempotent_draft_that_the_caller_has_begun_to_read_is_not_started_over() {
    let deployment = deploy(shape(2));
    let fault = Fault {
        kill_stream_after: Some(5),
        ..Fault::default()
    };
    for slot in slots(&deployment) {
        deployment.upstream_fault(&slot, &fault);
    }
    let wish = Wish::idempotent_draft("words", 20).attempt("begun", 1, Duration::ZERO);
    let reply = Caller::default().send(deployment.entry("entry-1"), &wish);
    expect_that!(reply.kind(), some(eq(Kind::OutcomeUnknown)), "{reply:?}");
    expect_that!(deployment.runs(WORKSPACE, "begun"), eq(1));
}

#[gtest]
fn the_page_on_operating_has_each_decision_on_further_sends() {
    let page = include_str!("../../docs/OPERATIONS.md");
    for message in ["retry", "abandon", "eject", "return"] {
        expect_that!(page, contains_substring(format!("| `{message}` | entry |")));
    }
}
