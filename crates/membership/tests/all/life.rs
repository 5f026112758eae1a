//! Tests of the life cycle of a process and of pause detection.

use std::time::Duration;

use auburnline_membership::life::Cut;
use auburnline_membership::life::Drained;
use auburnline_membership::life::Life;
use auburnline_membership::life::Patience;
use auburnline_membership::life::Reason;
use auburnline_membership::pause::Pause;
use googletest::prelude::*;
use proptest::prelude::*;

const PATIENCE: Patience = Patience {
    linger: Duration::from_secs(5),
    deadline: Duration::from_secs(30),
};

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[gtest]
fn a_signal_stops_new_work_and_waits_for_the_rest() {
    let mut life = Life::default();
    assert_true!(life.admit());
    let mut life = life.signal(PATIENCE, at(10));
    expect_false!(life.admit());
    let mut life = life.tick(at(39));
    expect_that!(life, pat!(Life::Leaving(_)));
    life.finish();
    let life = life.tick(at(39));
    let took = at(29);
    let reason = Reason::Signal;
    expect_that!(life, eq(&Life::Drained(Drained { reason, took })));
}

#[gtest]
fn a_leaving_process_lingers_for_callers_that_hold_its_address() {
    let life = Life::default().signal(PATIENCE, at(10));
    let life = life.tick(at(14));
    expect_that!(life, pat!(Life::Leaving(_)));
    expect_that!(life.tick(at(15)), pat!(Life::Drained(_)));
}

#[gtest]
fn the_deadline_and_a_second_signal_say_what_they_cut() {
    let cut = |by_signal| {
        Life::Cut(Cut {
            reason: Reason::Signal,
            requests: 1,
            by_signal,
        })
    };
    let mut life = Life::default();
    assert_true!(life.admit());
    let life = life.signal(PATIENCE, at(10));
    expect_that!(life.signal(PATIENCE, at(11)), eq(&cut(true)));

    let mut life = Life::default();
    assert_true!(life.admit());
    let life = life.signal(PATIENCE, at(10));
    expect_that!(life.tick(at(40)), eq(&cut(false)));
}

#[gtest]
fn a_drain_by_preset_ends_with_a_newer_revision_only() -> googletest::Result<()> {
    let life = Life::default().leave(Reason::Preset(7), PATIENCE, at(10));
    let life = life.tick(at(100));
    let Life::Leaving(leaving) = life else {
        return fail!("a drain by preset ended the process");
    };
    expect_true!(leaving.is_drained());
    let Life::Leaving(leaving) = leaving.resume(7) else {
        return fail!("resumed by its own revision");
    };
    expect_that!(leaving.resume(8), pat!(Life::Serving(_)));

    let signalled = Life::default().signal(PATIENCE, at(10));
    let Life::Leaving(leaving) = signalled else {
        return fail!("not leaving");
    };
    expect_that!(leaving.resume(8), pat!(Life::Leaving(_)));
    Ok(())
}

#[gtest]
fn a_pause_is_a_gap_between_observations() {
    let mut pause = Pause::default();
    expect_that!(pause.observe(at(100)), none());
    expect_that!(pause.observe(at(102)), none());
    expect_that!(pause.gap(at(105)), some(eq(at(3))));
    expect_that!(pause.observe(at(105)), some(eq(at(3))));
    expect_that!(pause.observe(at(1)), none());
    expect_that!(pause.observe(at(106)), none());
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Admit,
    Finish,
    Signal,
    List,
    Preset,
    Tick,
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[gtest]
    fn what_was_admitted_is_finished_or_counted_as_cut(
        steps in prop::collection::vec(
            (prop::sample::select(vec![
                Step::Admit, Step::Admit, Step::Finish, Step::Signal,
                Step::List, Step::Preset, Step::Tick, Step::Tick,
            ]), 0u64..10),
            0..60,
        ),
    ) {
        let mut life = Life::default();
        let mut open = 0u64;
        let mut now = at(0);
        let mut has_left = false;
        for (step, seconds) in steps {
            now += at(seconds);
            match step {
                Step::Admit => {
                    let admitted = life.admit();
                    prop_assert!(!(admitted && has_left), "admitted after leaving");
                    open += u64::from(admitted);
                }
                Step::Finish if open > 0 => {
                    life.finish();
                    open -= 1;
                }
                Step::Finish => {}
                Step::Signal => life = life.signal(PATIENCE, now),
                Step::List => life = life.leave(Reason::List, PATIENCE, now),
                Step::Preset => life = life.leave(Reason::Preset(1), PATIENCE, now),
                Step::Tick => life = life.tick(now),
            }
            match &life {
                Life::Serving(serving) => prop_assert_eq!(serving.in_flight(), open),
                Life::Leaving(leaving) => prop_assert_eq!(leaving.in_flight(), open),
                Life::Drained(_) => prop_assert_eq!(open, 0),
                Life::Cut(cut) => {
                    prop_assert_eq!(cut.requests, open);
                    return Ok(());
                }
            }
            has_left |= !matches!(life, Life::Serving(_));
        }
    }
}
