//! Readers of the store, and distribution of its changes to other gateways.

use auburnline_gateway::spread::Change;
use auburnline_gateway::spread::FullRead;
use auburnline_gateway::spread::Need;
use auburnline_gateway::spread::Revision;
use auburnline_gateway::spread::Spread;
use auburnline_gateway::spread::Update;
use auburnline_gateway::upstream::State;
use googletest::prelude::*;

use crate::support::configuration;
use crate::support::millis;
use crate::support::revision as at;
use crate::support::upstream;

fn change(id: &str) -> Change {
    Change::Upstream(upstream(id, "desk", State::Ready))
}

/// Returns the state of a gateway that made a full read as of revision 10.
fn spread() -> Spread {
    let mut spread = Spread::default();
    spread.record_full_read(at(10), at(3));
    spread
}

#[gtest]
fn all_is_read_first_and_again_when_the_history_is_gone() {
    let mut spread = Spread::default();
    assert_that!(spread.need(false, millis(0)), eq(Need::All));
    spread.record_full_read(at(10), at(3));
    assert_that!(spread.need(false, millis(0)), eq(Need::Nothing));
    assert_that!(spread.need(true, millis(0)), eq(Need::Changes(at(10))));
    spread.require_full_read();
    assert_that!(spread.need(false, millis(0)), eq(Need::All));
}

#[gtest]
fn one_that_asks_gets_what_changed_since_and_knows_as_of_its_question() {
    let (mut reader, mut asker) = (spread(), spread());
    reader.take(vec![(at(11), change("a")), (at(12), change("b"))], at(12));
    let query = asker.query(millis(5_000)).expect("a query");
    let answer = reader.answer(query, millis(800)).expect("an answer");
    let (new, known_at) = asker.apply_answer(answer);
    assert_that!(new, len(eq(2)));
    assert_that!(known_at, some(eq(millis(4_200))));
    assert_that!(asker.revision(), some(eq(at(12))));
}

/// A message that is delayed for seconds must not make old knowledge look young.
#[gtest]
fn an_answer_to_another_question_confirms_nothing() {
    let (reader, mut asker) = (spread(), spread());
    let query = asker.query(millis(1_000)).expect("a query");
    let late = reader.answer(query, millis(0)).expect("an answer");
    asker.query(millis(9_000)).expect("a query");
    let (_, known_at) = asker.apply_answer(late);
    assert_that!(known_at, none());
}

#[gtest]
fn what_is_told_unasked_is_taken_but_confirms_nothing() {
    let (mut reader, mut asker) = (spread(), spread());
    reader.take(vec![(at(11), change("a"))], at(11));
    let answer = reader.changes_since(at(10), millis(0)).expect("an answer");
    let (new, known_at) = asker.apply_answer(answer);
    assert_that!(new, len(eq(1)));
    assert_that!(known_at, none());
}

#[gtest]
fn a_gap_is_not_passed_over() {
    let (mut reader, mut asker) = (spread(), spread());
    reader.take(vec![(at(11), change("a"))], at(11));
    reader.take(vec![(at(12), change("b"))], at(12));
    let answer = reader.changes_since(at(11), millis(0)).expect("an answer");
    let (new, _) = asker.apply_answer(answer);
    assert_that!(new, is_empty());
    assert_that!(asker.revision(), some(eq(at(10))));
}

/// Knowledge is not current before an announced configuration has been read. A configuration that
/// no reader sends is read after 0.9 s, so that it is in force well within 2 s, the shortest bound.
#[gtest]
fn nothing_is_confirmed_before_a_configuration_that_was_heard_of_is_read() {
    let (mut reader, mut asker) = (spread(), spread());
    reader.take(vec![(at(11), Change::Configuration)], at(11));
    let query = asker.query(millis(1_000)).expect("a query");
    let (_, known_at) = asker.apply_answer(reader.answer(query, millis(0)).expect("an answer"));
    assert_that!(known_at, none());
    assert_that!(asker.need(true, millis(1_000)), eq(Need::Configuration));
    assert_that!(asker.need(false, millis(1_899)), eq(Need::Nothing));
    assert_that!(asker.need(false, millis(1_900)), eq(Need::Configuration));
    asker.record_configuration(at(11));
    let query = asker.query(millis(2_000)).expect("a query");
    let (_, known_at) = asker.apply_answer(reader.answer(query, millis(0)).expect("an answer"));
    assert_that!(known_at, some(eq(millis(2_000))));
}

fn update(revision: u64) -> Update {
    Update {
        revision: at(revision),
        configuration: configuration(revision, Vec::new()),
    }
}

/// A configuration changes in a fleet of 98 gateways with ten readers. Calls to the store cost
/// money, and without distribution by gateways a few changes within seconds took thousands of
/// calls.
#[gtest]
fn a_configuration_is_told_by_a_gateway_that_has_it() {
    let (mut reader, mut asker) = (spread(), spread());
    reader.take(vec![(at(11), Change::Configuration)], at(11));
    reader.keep_configuration(update(11));
    reader.record_configuration(at(11));
    let query = asker.query(millis(1_000)).expect("a query");
    assert_that!(reader.requested_configuration(query), none());
    asker.apply_answer(reader.answer(query, millis(0)).expect("an answer"));
    let query = asker.query(millis(1_300)).expect("a query");
    assert_that!(reader.requested_configuration(query), some(eq(&update(11))));
    asker.record_configuration(at(11));
    assert_that!(asker.awaits_configuration(), eq(false));
    assert_that!(asker.need(false, millis(9_000)), eq(Need::Nothing));
}

/// Configurations in quick succession: each one that arrives restarts the wait for the next, and a
/// delayed older one does not replace a newer one.
#[gtest]
fn of_several_configurations_the_newest_is_kept_and_waited_for() {
    let mut asker = spread();
    asker.take(vec![(at(11), Change::Configuration)], at(11));
    assert_that!(asker.need(false, millis(1_000)), eq(Need::Nothing));
    asker.take(vec![(at(12), Change::Configuration)], at(12));
    asker.record_configuration(at(11));
    assert_that!(asker.need(false, millis(1_800)), eq(Need::Nothing));
    assert_that!(asker.need(false, millis(2_600)), eq(Need::Nothing));
    assert_that!(asker.need(false, millis(2_700)), eq(Need::Configuration));
    asker.keep_configuration(update(12));
    asker.keep_configuration(update(11));
    let mut late = spread();
    late.take(vec![(at(12), Change::Configuration)], at(12));
    let query = late.query(millis(0)).expect("a query");
    assert_that!(asker.requested_configuration(query), some(eq(&update(12))));
}

#[gtest]
fn a_reader_that_knows_less_confirms_nothing() {
    let (reader, mut asker) = (spread(), spread());
    asker.take(vec![(at(14), change("a"))], at(14));
    let query = asker.query(millis(1_000)).expect("a query");
    let answer = reader.answer(query, millis(0)).expect("an answer");
    let (new, known_at) = asker.apply_answer(answer);
    assert_that!(new, is_empty());
    assert_that!(known_at, none());
}

#[gtest]
fn many_changes_come_in_parts_and_none_is_lost() {
    let (mut reader, mut asker) = (spread(), spread());
    let changes: Vec<_> = (11..=210)
        .map(|revision| (at(revision), change(&revision.to_string())))
        .collect();
    reader.take(changes, at(210));
    let mut heard = 0;
    for _ in 0..10 {
        let query = asker.query(millis(1_000)).expect("a query");
        let answer = reader.answer(query, millis(0)).expect("an answer");
        heard += asker.apply_answer(answer).0.len();
    }
    assert_that!(heard, eq(200));
    assert_that!(asker.revision(), some(eq(at(210))));
}

/// The store answers no gateway for eight seconds. Readers keep trying, so that its recovery is
/// noticed immediately; the others, which the readers then inform, back off.
#[gtest]
fn a_store_that_answers_nobody_is_asked_by_its_readers_and_hardly_by_others() {
    let mut reader = spread();
    let pauses: Vec<_> = (0..4).map(|_| reader.record_failure(true)).collect();
    assert_that!(pauses, each(eq(&millis(250))));
    let mut other = spread();
    let pauses: Vec<_> = (0..6)
        .map(|_| other.record_failure(false).as_millis())
        .collect();
    assert_that!(pauses, eq(&vec![250, 500, 1_000, 2_000, 2_000, 2_000]));
    other.record_success();
    assert_that!(other.record_failure(false), eq(millis(250)));
}

/// Returns a revision of the store's second generation.
fn restored(number: u64) -> Revision {
    Revision {
        generation: 1,
        ..at(number)
    }
}

/// Guards against treating the lower revisions of a restored store as old, and against withholding
/// a configuration from gateways that request it because its revision is lower.
#[gtest]
fn a_configuration_of_a_restored_store_is_told_though_its_revision_is_lower() {
    let (mut reader, mut asker) = (spread(), spread());
    reader.keep_configuration(update(9));
    for one in [&mut reader, &mut asker] {
        one.take(vec![(at(90), Change::Configuration)], at(90));
        one.record_configuration(at(90));
        expect_that!(one.note_generation(1), eq(true));
        expect_that!(one.note_generation(1), eq(false));
        expect_that!(one.need(false, millis(0)), eq(Need::All));
        let reading = one.record_full_read(restored(10), restored(3));
        expect_that!(reading, eq(FullRead::Restored));
    }
    reader.take(vec![(restored(11), Change::Configuration)], restored(11));
    let newer = Update {
        revision: restored(11),
        configuration: configuration(91, Vec::new()),
    };
    reader.keep_configuration(newer.clone());
    let query = asker.query(millis(1_000)).expect("a query");
    let (_, known_at) = asker.apply_answer(reader.answer(query, millis(0)).expect("an answer"));
    expect_that!(known_at, none());
    let query = asker.query(millis(1_300)).expect("a query");
    expect_that!(reader.requested_configuration(query), some(eq(&newer)));
}

/// Guards against applying changes of one generation of the store to the state of another.
#[gtest]
fn what_is_told_of_another_generation_changes_nothing() {
    let (mut old, mut new) = (spread(), spread());
    new.note_generation(1);
    new.record_full_read(restored(8), restored(3));
    old.take(vec![(at(11), change("a"))], at(11));
    // The reader only knows the earlier generation.
    let query = new.query(millis(1_000)).expect("a query");
    let (changes, known_at) = new.apply_answer(old.answer(query, millis(0)).expect("an answer"));
    expect_that!(changes, is_empty());
    expect_that!(known_at, none());
    expect_that!(new.take(vec![(at(12), change("b"))], at(12)), is_empty());
    expect_that!(new.revision(), some(eq(restored(8))));
    // A reader of the later generation only announces it.
    new.take(vec![(restored(12), change("c"))], restored(12));
    let query = old.query(millis(1_000)).expect("a query");
    let answer = new.answer(query, millis(0)).expect("an answer");
    expect_that!(answer.changes, is_empty());
    expect_that!(answer.until, eq(restored(12)));
    expect_that!(old.apply_answer(answer.clone()).1, none());
    old.note_generation(answer.until.generation);
    expect_that!(old.need(false, millis(1_000)), eq(Need::All));
}

/// Guards against an older version, written again after a restore, replacing the newest one for
/// gateways that request it.
#[gtest]
fn the_newest_version_is_kept_through_a_restore() {
    let mut spread = spread();
    spread.keep_configuration(update(20));
    spread.note_generation(1);
    spread.keep_configuration(Update {
        revision: restored(5),
        configuration: configuration(15, Vec::new()),
    });
    let mut late = Spread::default();
    late.record_full_read(at(4), at(4));
    late.take(vec![(at(5), Change::Configuration)], at(5));
    let query = late.query(millis(0)).expect("a query");
    expect_that!(spread.requested_configuration(query), some(eq(&update(20))));
}

/// Guards against a wrong report of a generation by another gateway, which would block everything
/// that the store says from then on.
#[gtest]
fn a_generation_that_the_store_does_not_confirm_costs_one_reading_and_keeps_nothing_out() {
    let (mut reader, mut asker) = (spread(), spread());
    expect_that!(asker.note_generation(9), eq(true));
    expect_that!(asker.need(false, millis(0)), eq(Need::All));
    expect_that!(
        asker.record_full_read(at(10), at(3)),
        eq(FullRead::Complete)
    );
    expect_that!(asker.note_generation(9), eq(false));
    expect_that!(asker.need(false, millis(0)), eq(Need::Nothing));
    reader.take(vec![(at(11), change("a"))], at(11));
    let query = asker.query(millis(1_000)).expect("a query");
    let (new, known_at) = asker.apply_answer(reader.answer(query, millis(0)).expect("an answer"));
    expect_that!(new, len(eq(1)));
    expect_that!(known_at, some(eq(millis(1_000))));
    // The store itself reports the next generation.
    expect_that!(asker.set_generation(1), eq(true));
    expect_that!(
        asker.record_full_read(restored(4), restored(3)),
        eq(FullRead::Restored)
    );
}

/// Guards against a gateway that waits for readers which died, or which no longer keep the changes
/// since the revision it knows.
#[gtest]
fn a_gateway_whose_queries_get_no_answer_reads_the_store_itself() {
    let (reader, mut asker) = (spread(), spread());
    let first = asker.query(millis(1_000)).expect("a query");
    expect_that!(asker.is_unanswered(millis(1_699)), eq(false));
    asker.query(millis(1_600)).expect("a query");
    expect_that!(asker.is_unanswered(millis(1_700)), eq(true));
    let late = reader.answer(first, millis(0)).expect("an answer");
    asker.apply_answer(late);
    expect_that!(asker.is_unanswered(millis(1_700)), eq(true));
    let query = asker.query(millis(2_200)).expect("a query");
    let answer = reader.answer(query, millis(0)).expect("an answer");
    asker.apply_answer(answer);
    expect_that!(asker.is_unanswered(millis(9_000)), eq(false));
}

/// Applies the answers to queries of `asker` until one is complete; returns their number.
fn catch_up(asker: &mut Spread, reader: &Spread) -> usize {
    for answers in 1.. {
        let query = asker.query(millis(1_000)).expect("a query");
        let answer = reader.answer(query, millis(0)).expect("an answer");
        let is_last = !answer.is_truncated();
        let (_, known_at) = asker.apply_answer(answer);
        assert_that!(known_at.is_some(), eq(is_last));
        if is_last {
            return answers;
        }
    }
    0
}

/// Guards against gateways that read everything again, or trust an incomplete answer, because
/// thousands of upstreams restarted at once and no answer holds all of that.
#[gtest]
fn a_restart_of_all_upstreams_is_caught_up_with_by_queries() {
    const UPSTREAMS: u64 = 2_000;
    let (mut reader, mut asker) = (spread(), spread());
    for number in 0..UPSTREAMS {
        let removed = Change::Removed(format!("old-{number}").as_str().into());
        let added = change(&format!("new-{number}"));
        let first = 11 + 2 * number;
        let changes = vec![(at(first), removed), (at(first + 1), added)];
        reader.take(changes, at(first + 1));
    }
    let answers = catch_up(&mut asker, &reader);
    assert_that!(asker.revision(), eq(reader.revision()));
    expect_that!(answers, le(70));
}

/// Guards against a history that gives out because a few entries change over and over.
#[gtest]
fn of_an_entry_that_changes_often_only_the_last_change_is_kept() {
    let (mut reader, mut asker) = (spread(), spread());
    for number in 11..20_000 {
        reader.take(vec![(at(number), change("a"))], at(number));
    }
    assert_that!(catch_up(&mut asker, &reader), eq(1));
    assert_that!(asker.revision(), eq(reader.revision()));
}

/// Guards against queries that double with each round because all relays answer each of them.
#[gtest]
fn of_several_full_answers_to_a_query_only_the_first_asks_for_more() {
    let (mut reader, mut asker) = (spread(), spread());
    for number in 0..1_000 {
        reader.take(
            vec![(at(11 + number), change(&format!("u-{number}")))],
            at(11 + number),
        );
    }
    let query = asker.query(millis(1_000)).expect("a query");
    let answer = reader.answer(query, millis(0)).expect("an answer");
    expect_that!(asker.has_more(&answer), eq(true));
    asker.apply_answer(answer.clone());
    asker.query(millis(1_001)).expect("a query");
    expect_that!(asker.has_more(&answer), eq(false));
    let unsolicited = reader.changes_since(at(10), millis(0)).expect("an answer");
    expect_that!(asker.has_more(&unsolicited), eq(false));
}
