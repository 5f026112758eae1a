//! Tests of the life cycle of a process and of pause detection.

use std::time::Duration;

use auburnline_membership::lifecycle::Cut;
use auburnline_membership::lifecycle::Drained;
use auburnline_membership::lifecycle::Lifecycle;
use auburnline_membership::lifecycle::Limits;
use auburnline_membership::lifecycle::Reason;
use auburnline_membership::pause::Detector;
use googletest::prelude::*;
use proptest::prelude::*;

const LIMITS: Limits = Limits {
    linger: Duration::from_secs(5),
    deadline: Duration::from_secs(30),
};

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[gtest]
fn a_signal_stops_new_work_and_waits_for_the_rest() {
    let mut lifecycle = Lifecycle::default();
    assert_true!(lifecycle.admit());
    let mut lifecycle = lifecycle.signal(LIMITS, at(10));
    expect_false!(lifecycle.admit());
    let mut lifecycle = lifecycle.tick(at(39));
    expect_that!(lifecycle, pat!(Lifecycle::Leaving(_)));
    lifecycle.finish();
    let lifecycle = lifecycle.tick(at(39));
    let took = at(29);
    let reason = Reason::Signal;
    expect_that!(lifecycle, eq(&Lifecycle::Drained(Drained { reason, took })));
}

#[gtest]
fn a_leaving_process_lingers_for_callers_that_hold_its_address() {
    let lifecycle = Lifecycle::default().signal(LIMITS, at(10));
    let lifecycle = lifecycle.tick(at(14));
    expect_that!(lifecycle, pat!(Lifecycle::Leaving(_)));
    expect_that!(lifecycle.tick(at(15)), pat!(Lifecycle::Drained(_)));
}

#[gtest]
fn the_deadline_and_a_second_signal_say_what_they_cut() {
    let cut = |by_signal| {
        Lifecycle::Cut(Cut {
            reason: Reason::Signal,
            requests: 1,
            by_signal,
        })
    };
    let mut lifecycle = Lifecycle::default();
    assert_true!(lifecycle.admit());
    let lifecycle = lifecycle.signal(LIMITS, at(10));
    expect_that!(lifecycle.signal(LIMITS, at(11)), eq(&cut(true)));

    let mut lifecycle = Lifecycle::default();
    assert_true!(lifecycle.admit());
    let lifecycle = lifecycle.signal(LIMITS, at(10));
    expect_that!(lifecycle.tick(at(40)), eq(&cut(false)));
}

#[gtest]
fn a_drain_by_preset_ends_with_a_newer_revision_only() -> googletest::Result<()> {
    let lifecycle = Lifecycle::default().leave(Reason::Preset(7), LIMITS, at(10));
    let lifecycle = lifecycle.tick(at(100));
    let Lifecycle::Leaving(leaving) = lifecycle else {
        return fail!("a drain by preset ended the process");
    };
    expect_true!(leaving.is_drained());
    let Lifecycle::Leaving(leaving) = leaving.resume(7) else {
        return fail!("resumed by its own revision");
    };
    expect_that!(leaving.resume(8), pat!(Lifecycle::Serving(_)));

    let signalled = Lifecycle::default().signal(LIMITS, at(10));
    let Lifecycle::Leaving(leaving) = signalled else {
        return fail!("not leaving");
    };
    expect_that!(leaving.resume(8), pat!(Lifecycle::Leaving(_)));
    Ok(())
}

#[gtest]
fn a_pause_is_a_gap_between_observations() {
    let mut detector = Detector::default();
    expect_that!(detector.observe(at(100)), none());
    expect_that!(detector.observe(at(102)), none());
    expect_that!(detector.gap(at(105)), some(eq(at(3))));
    expect_that!(detector.observe(at(105)), some(eq(at(3))));
    expect_that!(detector.observe(at(1)), none());
    expect_that!(detector.observe(at(106)), none());
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
        let mut lifecycle = Lifecycle::default();
        let mut open = 0u64;
        let mut now = at(0);
        let mut has_left = false;
        for (step, seconds) in steps {
            now += at(seconds);
            match step {
                Step::Admit => {
                    let admitted = lifecycle.admit();
                    prop_assert!(!(admitted && has_left), "admitted after leaving");
                    open += u64::from(admitted);
                }
                Step::Finish if open > 0 => {
                    lifecycle.finish();
                    open -= 1;
                }
                Step::Finish => {}
                Step::Signal => lifecycle = lifecycle.signal(LIMITS, now),
                Step::List => lifecycle = lifecycle.leave(Reason::List, LIMITS, now),
                Step::Preset => lifecycle = lifecycle.leave(Reason::Preset(1), LIMITS, now),
                Step::Tick => lifecycle = lifecycle.tick(now),
            }
            match &lifecycle {
                Lifecycle::Serving(serving) => prop_assert_eq!(serving.in_flight(), open),
                Lifecycle::Leaving(leaving) => prop_assert_eq!(leaving.in_flight(), open),
                Lifecycle::Drained(_) => prop_assert_eq!(open, 0),
                Lifecycle::Cut(cut) => {
                    prop_assert_eq!(cut.requests, open);
                    return Ok(());
                }
            }
            has_left |= !matches!(lifecycle, Lifecycle::Serving(_));
        }
    }
}
