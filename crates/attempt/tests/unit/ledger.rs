//! The slot's ledger: one run per id, fences, resume, limits and expiry.

use auburnline_attempt::ledger::Bounds;
use auburnline_attempt::ledger::Cancellation;
use auburnline_attempt::ledger::Chunk;
use auburnline_attempt::ledger::ID_RETENTION;
use auburnline_attempt::ledger::Ledger;
use auburnline_attempt::ledger::Presence;
use auburnline_attempt::ledger::Standing;
use auburnline_attempt::ledger::Submission;
use auburnline_attempt::ledger::Verdict;
use auburnline_core::error::Kind;
use googletest::prelude::*;

use crate::support::INCARNATION;
use crate::support::fence;
use crate::support::ledger;
use crate::support::seconds;
use crate::support::submission;

fn refusal(verdict: &Verdict) -> Option<Kind> {
    match verdict {
        Verdict::Refused(refusal) => Some(refusal.kind),
        _ => None,
    }
}

#[gtest]
fn a_duplicate_attaches_and_starts_nothing() {
    let mut ledger = ledger();
    let first = submission("a");
    expect_that!(ledger.submit(seconds(1), &first), eq(&Verdict::Admitted));
    expect_true!(ledger.start(seconds(1), &first.id));
    let again = ledger.submit(seconds(2), &first);
    expect_that!(again, eq(&Verdict::Attached(Standing::Running)));
    expect_false!(ledger.start(seconds(2), &first.id));
}

#[gtest]
fn a_fence_refuses_an_id_for_good_and_the_first_fence_stays() {
    let mut ledger = ledger();
    let favoured = Presence::Fenced {
        favoured: Some("x".into()),
    };
    let first = ledger.fence(seconds(1), &fence("a", Some("x")));
    expect_that!(first.presence, eq(&favoured));
    let second = ledger.fence(seconds(1), &fence("a", Some("y")));
    expect_that!(second.presence, eq(&favoured));
    let verdict = ledger.submit(seconds(2), &submission("a"));
    expect_that!(refusal(&verdict), some(eq(Kind::Fenced)));
}

#[gtest]
fn another_request_under_the_same_key_is_refused() {
    let mut ledger = ledger();
    expect_that!(
        ledger.submit(seconds(1), &submission("a")),
        eq(&Verdict::Admitted)
    );
    let other = Submission {
        fingerprint: 2,
        ..submission("a")
    };
    expect_that!(
        refusal(&ledger.submit(seconds(1), &other)),
        some(eq(Kind::KeyReused))
    );
}

#[gtest]
fn a_submission_older_than_the_slot_is_unsure_and_another_incarnations_is_dropped() {
    let mut ledger = ledger();
    let old = Submission {
        age: seconds(9),
        ..submission("a")
    };
    expect_that!(ledger.submit(seconds(8), &old), eq(&Verdict::Unsure));
    expect_that!(ledger.submit(seconds(9), &old), eq(&Verdict::Admitted));
    let foreign = Submission {
        incarnation: INCARNATION + 1,
        ..submission("b")
    };
    expect_that!(ledger.submit(seconds(9), &foreign), eq(&Verdict::Dropped));
}

#[gtest]
fn a_queued_request_that_is_cancelled_never_starts() {
    let mut ledger = ledger();
    let queued = submission("a");
    expect_that!(ledger.submit(seconds(1), &queued), eq(&Verdict::Admitted));
    expect_that!(
        ledger.cancel(seconds(1), &queued.id),
        eq(Cancellation::NotRun)
    );
    expect_false!(ledger.start(seconds(1), &queued.id));
    expect_that!(ledger.in_flight(), eq(0));
}

#[gtest]
fn an_answer_is_read_from_an_offset_until_it_is_acknowledged() {
    let mut ledger = ledger();
    let id = submission("a").id;
    let _ = ledger.submit(seconds(1), &submission("a"));
    expect_true!(ledger.start(seconds(1), &id));
    expect_true!(ledger.append(seconds(1), &id, b"hello "));
    expect_true!(ledger.append(seconds(1), &id, b"world"));
    ledger.finish(seconds(1), &id);
    let Chunk::Bytes { bytes, last } = ledger.read(&id, 6, 64) else {
        panic!("no bytes");
    };
    expect_that!(bytes, eq(b"world".as_slice()));
    expect_that!(last.map(|last| last.length), some(eq(11)));
    ledger.acknowledge(seconds(1), &id, 11);
    expect_that!(ledger.read(&id, 0, 64), eq(Chunk::Expired));
    expect_that!(ledger.bytes(), eq(0));
    let again = ledger.submit(seconds(2), &submission("a"));
    expect_that!(again, eq(&Verdict::Attached(Standing::Expired)));
}

#[gtest]
fn a_full_ledger_refuses_new_ids_and_forgets_none() {
    let bounds = Bounds {
        entries: 1,
        bytes: 8,
        ..Bounds::default()
    };
    let mut ledger = Ledger::new(seconds(0), INCARNATION, bounds);
    expect_that!(
        ledger.submit(seconds(1), &submission("a")),
        eq(&Verdict::Admitted)
    );
    let second = ledger.submit(seconds(1), &submission("b"));
    expect_that!(refusal(&second), some(eq(Kind::Overloaded)));
    let fenced = ledger.fence(seconds(1), &fence("c", None));
    expect_that!(fenced.presence, eq(&Presence::Full));
    let again = ledger.submit(seconds(1), &submission("a"));
    expect_that!(again, eq(&Verdict::Attached(Standing::Queued)));
}

#[gtest]
fn a_paused_slot_does_not_count_the_pause_towards_forgetting() {
    let mut ledger = ledger();
    let id = submission("a").id;
    let _ = ledger.submit(seconds(1), &submission("a"));
    expect_true!(ledger.start(seconds(1), &id));
    ledger.finish(seconds(1), &id);
    ledger.tick(seconds(1) + ID_RETENTION * 2);
    expect_that!(ledger.len(), eq(1));
    for second in 0..=ID_RETENTION.as_secs() + 1 {
        ledger.tick(seconds(2 + second) + ID_RETENTION * 2);
    }
    expect_that!(ledger.len(), eq(0));
}

/// Guards against a ledger that ignores `Bounds::answer`, the retention time that the settings
/// limit.
#[gtest]
fn an_answer_is_kept_for_as_long_as_the_bounds_say() {
    for (kept, at, is_kept) in [(2, 1, true), (2, 2, false), (600, 300, true)] {
        let bounds = Bounds {
            answer: seconds(kept),
            ..Bounds::default()
        };
        let mut ledger = Ledger::new(seconds(0), INCARNATION, bounds);
        let id = submission("a").id;
        let _ = ledger.submit(seconds(0), &submission("a"));
        expect_true!(ledger.start(seconds(0), &id));
        expect_true!(ledger.append(seconds(0), &id, b"hello"));
        ledger.finish(seconds(0), &id);
        for now in 1..=at {
            ledger.tick(seconds(now));
        }
        expect_that!(ledger.bytes() > 0, eq(is_kept), "{kept} s, after {at} s");
    }
}
