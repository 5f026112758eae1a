//! Answer frames: only the caller's own are accepted, in order and complete.

use auburnline_attempt::stream::Fault;
use auburnline_attempt::stream::Frame;
use auburnline_attempt::stream::Last;
use auburnline_attempt::stream::Progress;
use auburnline_attempt::stream::Receiver;
use auburnline_core::hash::Checksum;
use auburnline_core::id::RequestId;
use googletest::prelude::*;

fn frame<'a>(id: &'a RequestId, offset: u64, bytes: &'a [u8]) -> Frame<'a> {
    Frame {
        incarnation: 7,
        id,
        attempt: 1,
        offset,
        bytes,
        last: None,
    }
}

fn last(bytes: &[u8]) -> Last {
    let mut checksum = Checksum::new();
    checksum.update(bytes);
    Last {
        length: bytes.len() as u64,
        checksum: checksum.value(),
    }
}

#[gtest]
fn only_fitting_frames_are_taken_and_the_rest_is_counted() {
    let id = RequestId::from("a");
    let other = RequestId::from("b");
    let mut receiver = Receiver::new(7, id.clone(), 1);
    let old_incarnation = Frame {
        incarnation: 6,
        ..frame(&id, 0, b"x")
    };
    let other_attempt = Frame {
        attempt: 2,
        ..frame(&id, 0, b"x")
    };
    expect_that!(
        receiver.accept(&old_incarnation),
        err(eq(Fault::Incarnation))
    );
    expect_that!(receiver.accept(&frame(&other, 0, b"x")), err(eq(Fault::Id)));
    expect_that!(receiver.accept(&other_attempt), err(eq(Fault::Attempt)));
    expect_that!(receiver.accept(&frame(&id, 3, b"lo")), err(eq(Fault::Gap)));
    expect_that!(
        receiver.accept(&frame(&id, 0, b"hel")),
        ok(eq(Progress::More))
    );
    expect_that!(
        receiver.accept(&frame(&id, 0, b"hel")),
        err(eq(Fault::Duplicate))
    );
    let end = Frame {
        last: Some(last(b"hello")),
        ..frame(&id, 3, b"lo")
    };
    expect_that!(
        receiver.accept(&end),
        ok(matches_pattern!(Progress::Whole(_)))
    );
    expect_that!(receiver.accept(&end), err(eq(Fault::Late)));
    expect_that!(receiver.dropped().total(), eq(6));
}

#[gtest]
fn an_answer_without_its_right_end_is_not_whole() {
    let id = RequestId::from("a");
    let mut receiver = Receiver::new(7, id.clone(), 1);
    expect_that!(
        receiver.accept(&frame(&id, 0, b"hexlo")),
        ok(eq(Progress::More))
    );
    expect_true!(receiver.resumable(7));
    expect_false!(receiver.resumable(8));
    let end = Frame {
        last: Some(last(b"hello")),
        ..frame(&id, 5, b"")
    };
    expect_that!(receiver.accept(&end), err(eq(Fault::Damaged)));
    expect_that!(receiver.whole(), none());
    expect_false!(receiver.resumable(7));
}
