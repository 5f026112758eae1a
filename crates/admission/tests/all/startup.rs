//! Which requests a gateway that starts holds.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use auburnline_admission::startup::Cause;
use auburnline_admission::startup::MAX_BYTES;
use auburnline_admission::startup::MAX_HOLD;
use auburnline_admission::startup::MAX_REQUESTS;
use auburnline_admission::startup::Place;
use auburnline_admission::startup::REQUEST_BYTES;
use auburnline_admission::startup::Request;
use auburnline_admission::startup::Room;
use auburnline_admission::startup::STARTUP_TIME;
use googletest::prelude::*;

const fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

const fn request(tag: u64, arrived: u64, timeout: u64) -> Request {
    Request {
        arrived: millis(arrived),
        timeout: Some(millis(timeout)),
        body_bytes: 1_000,
        tag,
    }
}

#[gtest]
fn a_hold_ends_with_the_start_and_leaves_most_of_the_callers_deadline() {
    let until = |arrived, timeout| request(1, arrived, timeout).held_until();
    expect_that!(until(100, 8_000), eq(millis(100) + MAX_HOLD));
    expect_that!(until(100, 1_000), eq(millis(350)));
    expect_that!(until(1_000, 8_000), eq(STARTUP_TIME));
    let unknown = Request {
        timeout: None,
        ..request(1, 0, 0)
    };
    expect_that!(unknown.held_until(), eq(MAX_HOLD));
}

#[gtest]
fn the_number_of_held_requests_and_their_bytes_are_bounded() {
    let mut room = Room::default();
    let mut places = Vec::new();
    for tag in 0..10_000 {
        places.extend(room.enter(&request(tag, 0, 8_000), millis(1)));
    }
    expect_that!(places.len(), eq(MAX_REQUESTS));
    expect_that!(room.bytes(), le(MAX_BYTES));
    let more = room.enter(&request(0, 0, 8_000), millis(1));
    expect_that!(more, err(eq(&Cause::Full)));
    for place in places.drain(..) {
        room.leave(&place);
    }
    expect_that!((room.requests(), room.bytes()), eq((0, 0)));

    let large = Request {
        body_bytes: 1 << 20,
        ..request(1, 0, 8_000)
    };
    while let Ok(place) = room.enter(&large, millis(1)) {
        places.push(place);
    }
    expect_that!(room.requests(), all!(ge(10), lt(MAX_REQUESTS)));
    expect_that!(room.bytes(), le(MAX_BYTES));
    expect_that!(room.enter(&large, millis(1)), err(eq(&Cause::Full)));
    let huge = Request {
        body_bytes: usize::MAX,
        ..large
    };
    expect_that!(
        Room::default().enter(&huge, millis(1)),
        err(eq(&Cause::Full))
    );
    expect_that!(REQUEST_BYTES * MAX_REQUESTS, le(MAX_BYTES));
}

#[gtest]
fn a_gateway_that_leaves_or_should_serve_by_now_holds_nothing() {
    let mut room = Room::default();
    let late = room.enter(&request(1, 2_000, 8_000), STARTUP_TIME);
    expect_that!(late, err(eq(&Cause::Expired)));
    let spent = room.enter(&request(1, 0, 400), millis(100));
    expect_that!(spent, err(eq(&Cause::Expired)));
    room.close();
    let leaving = room.enter(&request(1, 0, 8_000), millis(1));
    expect_that!(leaving, err(eq(&Cause::Leaving)));
}

/// Callers of a gateway whose places are used up: each has one request.
#[derive(Default)]
struct Callers {
    room: Room,
    /// Requests that arrive and holds that end, by time.
    queue: BinaryHeap<Reverse<(Duration, u64, bool)>>,
    places: Vec<Option<Place>>,
    was_held: Vec<bool>,
    /// Whether each fourth caller repeats its request 20 ms after a refusal.
    some_hurry: bool,
}

impl Callers {
    /// Lets `count` callers arrive at once, who come back when they were told, except those who
    /// hurry.
    fn run(count: u64, some_hurry: bool) -> Callers {
        let mut callers = Callers {
            some_hurry,
            ..Callers::default()
        };
        for tag in 0..count {
            let at = Duration::from_micros(200_000 + tag * 20);
            callers.queue.push(Reverse((at, tag, true)));
            callers.places.push(None);
            callers.was_held.push(false);
        }
        while let Some(Reverse((now, tag, arrives))) = callers.queue.pop() {
            let number = usize::try_from(tag).expect("few");
            if arrives {
                callers.arrive(tag, number, now);
            } else if let Some(place) = callers.places[number].take() {
                callers.room.leave(&place);
            }
        }
        callers
    }

    fn arrive(&mut self, tag: u64, number: usize, now: Duration) {
        let request = Request {
            arrived: now,
            ..request(tag, 0, 2_000)
        };
        match self.room.enter(&request, now) {
            Ok(place) => {
                self.was_held[number] = true;
                self.queue.push(Reverse((place.until, tag, false)));
                self.places[number] = Some(place);
            }
            Err(Cause::Expired) => {}
            Err(_) => {
                let told = now + millis(500 + tag % 400);
                self.room.record_refusal(tag, told, now);
                let back = if self.some_hurry && tag.is_multiple_of(4) {
                    now + millis(20)
                } else {
                    told
                };
                self.queue.push(Reverse((back, tag, true)));
            }
        }
    }

    /// Returns how many of those who wait as told got a place.
    fn patient(&self) -> usize {
        let all = self.was_held.iter().enumerate();
        let patient = all.filter(|(number, _)| !number.is_multiple_of(4));
        patient.filter(|(_, was_held)| **was_held).count()
    }
}

/// Guards against callers that repeat at once and more often than told, and so find every place
/// first that gets free.
#[gtest]
fn callers_that_come_back_early_push_out_nobody_who_waits_as_told() {
    for count in [600, 1_200, 3_000] {
        let calm = Callers::run(count, false);
        let hurried = Callers::run(count, true);
        expect_that!(hurried.patient(), ge(calm.patient()), "{count} callers");
        expect_that!(hurried.room.requests(), eq(0));
    }
}
