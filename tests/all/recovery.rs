//! Recovery: all entries at once, a failure domain, slots that cannot be reached.

use std::time::Duration;
use std::time::Instant;

use auburnline_core::error::Fate;
use auburnline_harness::caller::Caller;
use auburnline_harness::caller::Reply;
use auburnline_harness::caller::Wish;
use auburnline_harness::deployment::Deployment;
use auburnline_harness::shape::Shape;
use auburnline_standin::relay::Mode;
use googletest::prelude::*;

use crate::support::WORKSPACE;
use crate::support::deploy;
use crate::support::never_back;
use crate::support::persist;
use crate::support::serves;
use crate::support::slot_of;

/// Tokens of a draft that outlives what is done to it: about two seconds.
const TOKENS: u32 = 400;
/// Time for which answers are kept where a caller comes back for one: longer than a test may take on a busy machine.
const KEPT: Duration = Duration::from_mins(10);

fn shape() -> Shape {
    Shape::default()
        .entries(3)
        .groups(3)
        .services(0)
        .step(Duration::from_millis(5))
}

#[gtest]
fn all_entries_restarted_at_once_lose_and_double_nothing() {
    let mut deployment = deploy(shape());
    let caller = Caller::default();
    let names: Vec<String> = deployment.entries().collect();
    for name in &names {
        let wish = Wish::draft("long", TOKENS).attempt(name, 1, Duration::ZERO);
        let cut = caller.send_until(deployment.entry(name), &wish, 50);
        assert_that!(cut, matches_pattern!(Reply::Lost { .. }));
    }
    for name in &names {
        deployment.kill(name);
    }
    for name in &names {
        deployment.spawn(name).expect("an entry");
    }
    deployment.settle();
    for (index, name) in names.iter().enumerate() {
        let through = deployment.entry(&names[(index + 1) % names.len()]);
        persist(&[through], name, "long", TOKENS);
        assert_that!(deployment.runs(WORKSPACE, name), eq(1));
        serves(deployment.entry(name), &format!("fresh-{name}"));
    }
}

#[gtest]
fn a_failure_domain_that_is_gone_leaves_the_others_serving_and_comes_back() {
    let mut deployment = deploy(shape());
    let gone: Vec<String> = deployment
        .entries()
        .chain(deployment.slots())
        .filter(|name| {
            let status = deployment.status(name).expect("a status");
            status.failure_domain == "domain-1"
        })
        .collect();
    assert_that!(gone, contains(eq("entry-1")));
    assert_that!(gone, contains(eq("draft-1-1")));
    for name in &gone {
        deployment.kill(name);
    }
    for name in ["entry-2", "entry-3"] {
        for round in 0..6 {
            let key = serves(deployment.entry(name), &format!("left-{name}-{round}"));
            assert_that!(slot_of(&deployment, &key), not(eq("draft-1-1")));
        }
    }
    for name in &gone {
        deployment.spawn(name).expect("a process");
    }
    deployment.settle();
    serves(deployment.entry("entry-1"), "back");
    let revision = deployment.publish("ordinary", &[]);
    deployment.in_force(revision);
}

#[gtest]
fn callers_are_served_by_the_slots_that_can_be_reached() {
    let mut deployment = deploy(shape().relays(true));
    for mode in [Mode::Silent { new: false }, Mode::Cut] {
        deployment.relay("draft-1-1", mode);
        deployment.relay("draft-2-1", mode);
        for name in deployment.entries() {
            let prefix = format!("apart-{name}-{mode:?}").replace([' ', '{', '}', ':'], "");
            let key = serves(deployment.entry(&name), &prefix);
            assert_that!(slot_of(&deployment, &key), eq("draft-3-1"));
        }
    }
    for name in ["draft-1-1", "draft-2-1"] {
        deployment.relay(name, Mode::Pass);
    }
    deployment.settle();
    let revision = deployment.publish("ordinary", &[]);
    deployment.in_force(revision);
    for name in deployment.entries() {
        serves(deployment.entry(&name), &format!("together-{name}"));
    }
}

/// Entries and slot of each half of a parted deployment.
///
/// Two other entries have to miss an entry before it counts as gone against the list's word; a half
/// with fewer can't take over the limits that the other half's entries lend.
const HALVES: [[&str; 4]; 2] = [
    ["entry-1", "entry-2", "entry-3", "draft-1-1"],
    ["entry-4", "entry-5", "entry-6", "draft-2-1"],
];
/// Drafts sent in each half.
const IN_EACH: usize = 6;

/// Serves through an entry until only the slot of its half is used.
fn serve_apart(deployment: &Deployment, entry: &str, slot: &str) {
    let through = |name: &str| {
        let key = serves(deployment.entry(entry), &format!("{name}-{entry}"));
        slot_of(deployment, &key)
    };
    let mut round = 0;
    while through(&format!("parting-{round}")) != slot {
        round += 1;
    }
    for round in 0..IN_EACH {
        assert_that!(through(&format!("apart-{round}")), eq(slot));
    }
}

#[gtest]
fn callers_in_each_half_of_a_partition_are_served_and_nothing_runs_twice() {
    let shape = shape().entries(6).groups(2).relays(true);
    let mut deployment = deploy(shape.answers(KEPT));
    let watch = deployment.watch(Instant::now());
    let caller = Caller::default();
    let first = Wish::draft("long", 20).attempt("across", 1, Duration::ZERO);
    let reply = caller.send(deployment.entry("entry-1"), &first);
    assert_that!(reply, matches_pattern!(Reply::Whole(_)));
    let ran = slot_of(&deployment, "across");
    for (half, [others @ .., _]) in HALVES.iter().zip([HALVES[1], HALVES[0]]) {
        for name in half {
            deployment.apart(name, &others.map(str::to_owned));
        }
    }
    for [entries @ .., slot] in HALVES {
        for entry in entries {
            serve_apart(&deployment, entry, slot);
        }
    }
    let far = HALVES.iter().find(|[.., slot]| *slot != ran);
    let [far, ..] = far.expect("a half without it");
    let later = Wish::draft("long", 20).attempt("across", 2, Duration::from_secs(1));
    let reply = caller.send(deployment.entry(far), &later);
    assert_that!(reply.fate(), eq(Fate::Unknown), "{reply:?}");
    let revision = deployment.publish("ordinary", &[]);
    deployment.in_force(revision);
    for name in HALVES.as_flattened() {
        deployment.apart(name, &[]);
    }
    deployment.settle();
    persist(&[deployment.entry(far)], "across", "long", 20);
    assert_that!(deployment.runs(WORKSPACE, "across"), eq(1));
    never_back(watch);
}
