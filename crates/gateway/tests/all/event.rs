//! Splitting of streams into whole events.

use auburnline_gateway::event::Splitter;
use googletest::prelude::*;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\ndata: b\r\n\r\nid: 3\ndata: c\n\n";

#[gtest]
fn however_bytes_come_only_whole_events_pass() {
    for size in 1..STREAM.len() {
        let mut splitter = Splitter::new();
        let mut passed = Vec::new();
        let mut count = 0;
        for part in STREAM.chunks(size) {
            let events = splitter.push(part);
            passed.extend(events.bytes);
            count += events.count;
        }
        assert_that!(passed, eq(STREAM));
        assert_that!(count, eq(3));
        assert_that!(splitter.last(), some(eq(3)));
        assert_that!(splitter.has_partial_event(), eq(false));
    }
}

#[gtest]
fn a_torn_event_is_kept_back() {
    let mut splitter = Splitter::new();
    let events = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_that!(events.count, eq(1));
    assert_that!(events.bytes, eq(b"id: 1\ndata: a\n\n"));
    assert_that!(splitter.last(), some(eq(1)));
    assert_that!(splitter.has_partial_event(), eq(true));
}

#[gtest]
fn a_run_that_goes_on_delivers_nothing_twice() {
    let mut splitter = Splitter::after(Some(2));
    let events = splitter.push(STREAM);
    assert_that!(events.bytes, eq(b"id: 3\ndata: c\n\n"));
    assert_that!(splitter.last(), some(eq(3)));
}

#[gtest]
fn events_without_a_number_pass() {
    let mut splitter = Splitter::after(Some(2));
    let events = splitter.push(b": note\n\n");
    assert_that!(events.count, eq(1));
    assert_that!(splitter.last(), some(eq(2)));
}

#[gtest]
fn what_is_left_at_the_end_is_not_lost() {
    let mut splitter = Splitter::new();
    let _ = splitter.push(b"id: 1\ndata: a\n\ndata: b");
    assert_that!(splitter.rest(), eq(b"data: b"));
    assert_that!(splitter.has_partial_event(), eq(false));
}
