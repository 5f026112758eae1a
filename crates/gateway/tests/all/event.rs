//! Splitting of streams into whole events.

use auburnline_gateway::event::MAX_EVENT_BYTES;
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

/// Returns an event of this size.
fn event(id: u64, size: usize) -> Vec<u8> {
    let mut event = format!("id: {id}\ndata: ").into_bytes();
    event.resize(size - 2, b'x');
    event.extend_from_slice(b"\n\n");
    event
}

/// Guards against an event of which a caller gets a part, since its upstream never ends it.
#[gtest]
fn nothing_of_what_is_longer_than_an_event_passes() {
    let first = event(1, 20);
    for size in [100, 1_000, MAX_EVENT_BYTES + 500, 2 * MAX_EVENT_BYTES] {
        for length in [MAX_EVENT_BYTES + 1, MAX_EVENT_BYTES + 5_000] {
            let stream = [first.clone(), event(2, length), event(3, 20)].concat();
            let mut splitter = Splitter::new();
            let mut passed = Vec::new();
            for part in stream.chunks(size) {
                passed.extend(splitter.push(part).bytes);
                if splitter.buffered() > MAX_EVENT_BYTES {
                    break;
                }
            }
            let what = format!("parts of {size}, event of {length}");
            expect_that!(splitter.buffered(), gt(MAX_EVENT_BYTES), "{what}");
            expect_that!(passed, eq(&first), "{what}");
            expect_that!(splitter.last(), some(eq(1)), "{what}");
        }
    }
}

/// Guards against an event that is refused though it is no longer than one may be, wherever its parts divide.
#[gtest]
fn an_event_of_the_maximum_size_passes_whole_and_once() {
    let stream = [event(1, 20), event(2, MAX_EVENT_BYTES), event(3, 20)].concat();
    for size in [
        1_000,
        MAX_EVENT_BYTES - 1,
        MAX_EVENT_BYTES + 21,
        stream.len(),
    ] {
        let mut splitter = Splitter::new();
        let mut passed = Vec::new();
        for part in stream.chunks(size) {
            passed.extend(splitter.push(part).bytes);
            expect_that!(splitter.buffered(), le(MAX_EVENT_BYTES), "parts of {size}");
        }
        expect_that!(passed == stream, eq(true), "parts of {size}");
        let mut splitter = Splitter::after(Some(2));
        let passed: Vec<u8> = stream
            .chunks(size)
            .flat_map(|part| splitter.push(part).bytes)
            .collect();
        expect_that!(passed, eq(&event(3, 20)), "parts of {size}");
    }
}
