//! Claims of later attempts against real ledgers.

use std::collections::BTreeMap;
use std::time::Duration;

use auburnline_attempt::attempt::Attempt;
use auburnline_attempt::attempt::Disposition;
use auburnline_attempt::claim::Claim;
use auburnline_attempt::claim::Input;
use auburnline_attempt::claim::Mode;
use auburnline_attempt::claim::Query;
use auburnline_attempt::claim::Step;
use auburnline_attempt::ledger::Ledger;
use auburnline_attempt::ledger::Refusal;
use auburnline_attempt::ledger::Verdict;
use auburnline_attempt::outcome::Cause;
use auburnline_attempt::outcome::Outcome;
use auburnline_core::error::Fate;
use auburnline_core::error::Kind;
use auburnline_core::id::InstanceId;
use googletest::prelude::*;

use crate::support::ledger;
use crate::support::request;
use crate::support::seconds;
use crate::support::submission;

type Slots = BTreeMap<InstanceId, Ledger>;

fn slots() -> Slots {
    ["s1", "s2", "s3"]
        .into_iter()
        .map(|name| (InstanceId::from(name), ledger()))
        .collect()
}

fn input(slots: &Slots, age: Option<Duration>) -> Input {
    let all: Vec<InstanceId> = slots.keys().cloned().collect();
    Input {
        id: "a".into(),
        fingerprint: 1,
        age,
        reachable_slots: all.clone(),
        admitting: all,
        known_for: seconds(100),
        revision: 0,
        mode: Mode::Run,
    }
}

/// Answers each query from the ledgers, one after the other, until the claim ends.
fn drive(slots: &mut Slots, claim: &mut Claim, mut step: Step) -> Step {
    while let Step::Ask(asks) = step {
        step = Step::Ask(Vec::new());
        for ask in asks {
            let ledger = slots.get_mut(&ask.slot).expect("a known slot");
            let finding = match &ask.query {
                Query::Locate { id, .. } => ledger.locate(seconds(100), id),
                Query::Fence(fence) => ledger.fence(seconds(100), fence),
            };
            step = claim.answer(seconds(100), &ask.slot, &finding);
            if !matches!(step, Step::Ask(_)) {
                return step;
            }
        }
    }
    step
}

fn run(slots: &mut Slots, input: Input) -> Step {
    let (mut claim, step) = Claim::begin(seconds(100), input);
    drive(slots, &mut claim, step)
}

#[gtest]
fn a_request_that_nobody_knows_runs_at_one_slot_and_is_fenced_at_the_others() {
    let mut slots = slots();
    let input = input(&slots, Some(seconds(5)));
    let Step::Run { slot, .. } = run(&mut slots, input) else {
        panic!("it does not run");
    };
    for (name, ledger) in &mut slots {
        let verdict = ledger.submit(seconds(100), &submission("a"));
        let admitted = verdict == Verdict::Admitted;
        expect_that!(admitted, eq(*name == slot));
    }
}

#[gtest]
fn a_request_that_a_slot_knows_is_served_from_there() {
    let mut slots = slots();
    let ledger = slots.get_mut("s3").expect("a slot");
    let _ = ledger.submit(seconds(99), &submission("a"));
    let input = input(&slots, Some(seconds(5)));
    let served = matches!(run(&mut slots, input), Step::Serve { slot, .. } if &*slot == "s3");
    expect_true!(served);
}

#[gtest]
fn a_slot_whose_upstream_did_not_take_it_does_not_hide_the_slot_that_runs_it() {
    let mut slots = slots();
    for (name, runs) in [("s1", false), ("s2", true)] {
        let ledger = slots.get_mut(name).expect("a slot");
        let verdict = ledger.submit(seconds(1), &submission("a"));
        assert_that!(verdict, eq(&Verdict::Admitted));
        assert_true!(ledger.start(seconds(1), &"a".into()));
        if !runs {
            ledger.fail(seconds(1), &"a".into(), Kind::Unreachable);
        }
    }
    let input = input(&slots, Some(seconds(20)));
    let step = run(&mut slots, input);
    assert_that!(
        step,
        matches_pattern!(Step::Serve {
            slot: eq(&"s2".into()),
            ..
        })
    );
}

#[gtest]
fn a_slot_that_cant_be_asked_or_is_younger_leaves_the_fate_unknown_and_fences_nothing() {
    let mut slots = slots();
    let older_than_slots = input(&slots, Some(seconds(101)));
    let unknown = run(&mut slots, older_than_slots);
    expect_true!(matches!(unknown, Step::Unknown(unknown) if unknown.cause == Cause::Restarted));
    let (mut claim, _) = Claim::begin(seconds(100), input(&slots, Some(seconds(5))));
    let waiting: Vec<InstanceId> = claim.awaited().cloned().collect();
    let mut last = Step::Ask(Vec::new());
    for slot in waiting {
        last = claim.unreachable(&slot);
    }
    expect_true!(matches!(last, Step::Unknown(unknown) if unknown.cause == Cause::Unreachable));
    expect_true!(slots.values().all(Ledger::is_empty));
}

#[gtest]
fn a_claim_without_a_witness_of_the_past_leaves_the_fate_unknown() {
    let mut slots = slots();
    let recently_started = Input {
        known_for: Duration::ZERO,
        ..input(&slots, Some(seconds(95)))
    };
    let step = run(&mut slots, recently_started);
    expect_true!(matches!(step, Step::Unknown(unknown) if unknown.cause == Cause::UnknownPool));
}

#[gtest]
fn a_claim_that_meets_fences_for_another_slot_ends_not_run() {
    let mut slots = slots();
    let first = input(&slots, Some(seconds(5)));
    let Step::Run { slot, .. } = run(&mut slots, first) else {
        panic!("it does not run");
    };
    let mut second = input(&slots, Some(seconds(6)));
    second.admitting.retain(|name| *name != slot);
    let step = run(&mut slots, second);
    expect_true!(matches!(step, Step::NotRun(not_run) if not_run.kind() == Kind::Fenced));
    let ledger = slots.get_mut(&slot).expect("a slot");
    let verdict = ledger.submit(seconds(100), &submission("a"));
    expect_true!(matches!(verdict, Verdict::Refused(_)));
}

#[gtest]
fn a_sent_attempt_is_not_run_only_by_the_refusal_of_its_own_slot() {
    let refusal = Refusal {
        incarnation: 7,
        id: "a".into(),
        attempt: 1,
        kind: Kind::Overloaded,
        revision: 0,
    };
    let sent = || Attempt::new(&request("a", Some(1))).send("s1".into(), 7);
    let unmatched = sent().refused(&"s2".into(), &refusal);
    expect_true!(matches!(unmatched, Disposition::Unmatched(_)));
    expect_that!(sent().lost(Cause::SessionLost).fate(), eq(Fate::Unknown));
    let Disposition::Resendable(fresh) = sent().refused(&"s1".into(), &refusal) else {
        panic!("the refusal is its own");
    };
    expect_that!(fresh.not_sent(Kind::Overloaded).fate(), eq(Fate::NotRun));
    let later = Attempt::new(&request("a", None));
    let outcome: Outcome = later.not_sent(Kind::Overloaded);
    expect_that!(outcome.fate(), eq(Fate::Unknown));
}
