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

/// Returns an event of a size that is passed on in parts.
fn oversized(id: u64) -> Vec<u8> {
    let mut event = format!("id: {id}\ndata: ").into_bytes();
    event.resize(MAX_EVENT_BYTES + 1_000, b'x');
    event.extend_from_slice(b"\n\n");
    event
}

/// Guards against an oversized event that a caller gets twice, since the stream is resumed after
/// the event before it.
#[gtest]
fn an_event_that_passes_in_parts_counts_as_delivered_once_it_is_whole() {
    for size in [1_000, MAX_EVENT_BYTES + 500, MAX_EVENT_BYTES + 1_018] {
        let stream = [b"id: 1\ndata: a\n\n".to_vec(), oversized(2)].concat();
        let mut splitter = Splitter::new();
        let mut passed = Vec::new();
        for part in stream.chunks(size) {
            passed.extend(splitter.push(part).bytes);
        }
        expect_that!(passed == stream, eq(true), "parts of {size}");
        expect_that!(splitter.last(), some(eq(2)), "parts of {size}");
    }
}

#[gtest]
fn a_run_that_goes_on_delivers_no_part_of_an_oversized_event_twice() {
    let stream = [oversized(2), b"id: 3\ndata: c\n\n".to_vec()].concat();
    for size in [1_000, MAX_EVENT_BYTES + 500] {
        let mut splitter = Splitter::after(Some(2));
        let mut passed = Vec::new();
        for part in stream.chunks(size) {
            passed.extend(splitter.push(part).bytes);
        }
        expect_that!(passed, eq(b"id: 3\ndata: c\n\n"), "parts of {size}");
        expect_that!(splitter.last(), some(eq(3)), "parts of {size}");
    }
}

/// Guards against a stream that is resumed while the caller has a part of an event.
#[gtest]
fn a_stream_is_within_an_event_until_its_last_part_has_passed() {
    let event = oversized(2);
    let mut splitter = Splitter::after(Some(1));
    let _ = splitter.push(&event[..1_000]);
    expect_that!(splitter.is_within_event(), eq(false));
    let _ = splitter.push(&event[1_000..MAX_EVENT_BYTES + 500]);
    expect_that!(splitter.is_within_event(), eq(true));
    let _ = splitter.push(&event[MAX_EVENT_BYTES + 500..]);
    expect_that!(splitter.is_within_event(), eq(false));
    // Nothing of an event that the caller has already reaches it.
    let mut splitter = Splitter::after(Some(2));
    let _ = splitter.push(&event[..MAX_EVENT_BYTES + 500]);
    expect_that!(splitter.is_within_event(), eq(false));
    expect_that!(splitter.rest(), is_empty());
}

#[gtest]
fn the_end_of_an_oversized_event_is_found_wherever_its_parts_divide() {
    let event = oversized(2);
    let after = b"id: 3\ndata: c\n\n";
    for cut in event.len() - 4..=event.len() {
        let mut splitter = Splitter::new();
        let stream = [&event[..], after].concat();
        let mut count = 0;
        for part in [&stream[..cut], &stream[cut..]] {
            count += splitter.push(part).count;
        }
        expect_that!(count, eq(2), "cut at {cut}");
        expect_that!(splitter.last(), some(eq(3)), "cut at {cut}");
    }
}
