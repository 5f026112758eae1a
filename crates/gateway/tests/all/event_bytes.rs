//! Random checks of the splitter of event streams on arbitrary and mutated bytes.

use std::ops::Range;

use auburnline_gateway::event::MAX_EVENT_BYTES;
use auburnline_gateway::event::Splitter;
use googletest::prelude::*;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

const SEEDS: Range<u64> = 0..400;
/// Bytes of which arbitrary streams consist, so that lines, ends and ids are frequent.
const ALPHABET: &[u8] = b"\n\n\r\nid: 179data:x\xff\0";

/// What a splitter made of a stream.
#[derive(Debug, PartialEq)]
struct Split {
    passed: Vec<u8>,
    count: usize,
    last: Option<u64>,
}

/// Passes a stream through a splitter in random parts of at most `most` bytes.
fn split(mut splitter: Splitter, stream: &[u8], most: usize, rng: &mut ChaCha8Rng) -> Split {
    let (mut passed, mut count, mut at) = (Vec::new(), 0, 0);
    while at < stream.len() {
        let end = stream.len().min(at + rng.random_range(1..=most));
        let events = splitter.push(&stream[at..end]);
        passed.extend(events.bytes);
        count += events.count;
        at = end;
    }
    let last = splitter.last();
    passed.extend(splitter.rest());
    Split {
        passed,
        count,
        last,
    }
}

/// Returns numbered events, some of them nearly as long as one may be, each with its bytes.
fn events(rng: &mut ChaCha8Rng) -> Vec<Vec<u8>> {
    let mut made = Vec::new();
    for id in 1..=rng.random_range(1..8_u64) {
        let length = match rng.random_range(0..8) {
            0 => MAX_EVENT_BYTES - rng.random_range(100..2_000),
            _ => rng.random_range(0..100),
        };
        let end: &[u8] = if rng.random() { b"\n\n" } else { b"\r\n\r\n" };
        let mut event = format!("id: {id}\ndata: ").into_bytes();
        event.resize(event.len() + length, b'x');
        event.extend_from_slice(end);
        made.push(event);
    }
    made
}

#[gtest]
fn arbitrary_bytes_pass_unchanged_however_they_come() {
    for seed in SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let length = rng.random_range(0..600);
        let byte = |_| ALPHABET[rng.random_range(0..ALPHABET.len())];
        let stream: Vec<u8> = (0..length).map(byte).collect();
        let whole = split(Splitter::new(), &stream, usize::MAX >> 1, &mut rng);
        let parts = split(Splitter::new(), &stream, 9, &mut rng);
        assert_that!(whole.passed, eq(&stream), "seed {seed}");
        assert_that!(parts, eq(&whole), "seed {seed}");
        let _ = split(Splitter::after(Some(7)), &stream, 9, &mut rng);
    }
}

#[gtest]
fn mutated_events_pass_unchanged_however_they_come() {
    for seed in SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut stream = events(&mut rng).concat();
        for _ in 0..rng.random_range(1..20) {
            let at = rng.random_range(0..stream.len());
            stream[at] = ALPHABET[rng.random_range(0..ALPHABET.len())];
        }
        let passed = split(Splitter::new(), &stream, 100_000, &mut rng).passed;
        assert_that!(passed == stream, eq(true), "seed {seed}");
    }
}

/// Guards against a caller that misses an event or gets one twice when its stream is resumed.
#[gtest]
fn a_resumed_run_passes_just_the_events_after_the_last_one() {
    for seed in SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let events = events(&mut rng);
        let delivered = rng.random_range(0..=events.len());
        let after = (delivered > 0).then_some(delivered as u64);
        let stream = events.concat();
        let run = split(Splitter::after(after), &stream, 100_000, &mut rng);
        let left = &events[delivered..];
        assert_that!(run.passed == left.concat(), eq(true), "seed {seed}");
        assert_that!(run.count, eq(left.len()), "seed {seed}");
        assert_that!(run.last, some(eq(events.len() as u64)), "seed {seed}");
    }
}
