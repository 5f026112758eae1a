//! Random answers to the clients of plain services and the platform.

use std::time::Duration;

use auburnline_registry::Client as Platform;
use auburnline_service::Call;
use auburnline_service::Client as Service;
use auburnline_standin::scripted::Script;
use auburnline_standin::scripted::Scripted;
use auburnline_standin::scripted::Then;
use googletest::prelude::*;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::runtime::Builder;

/// Random answers in each run, unless `AUBURNLINE_EVENTS` says otherwise.
const CASES: u64 = 200;
/// Calls to each upstream.
const CALLS: usize = 4;
/// Longest random tail of an answer.
const MAX_TAIL: usize = 200;
/// Heads of answers.
const HEADS: [&str; 5] = [
    "",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nx-version: 1\r\ncontent-length: 40\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: 60\r\n\r\n{\"version\":1,\"live\":[",
];

fn number(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Makes every call; returns how many were answered whole.
async fn call_all(upstream: &Scripted) -> usize {
    let platform = Platform::new(upstream.address());
    let read = platform.read("manifest").await.is_ok();
    let watched = platform.watch("manifest", 1, Duration::ZERO).await.is_ok();
    let listed = platform.instances().await.is_ok();
    let call = Call {
        id: "a".into(),
        method: "GET".to_owned(),
        path: "/cases/7/summary".to_owned(),
        body: "".into(),
    };
    let called = Service::new(upstream.address()).call(&call).await.is_ok();
    [read, watched, listed, called]
        .map(usize::from)
        .iter()
        .sum()
}

#[gtest]
fn random_answers_never_panic_the_clients() {
    let seed = number("AUBURNLINE_SEED", 1);
    let cases = number("AUBURNLINE_EVENTS", CASES);
    println!("AUBURNLINE_SEED={seed} AUBURNLINE_EVENTS={cases}");
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    let mut whole = 0;
    for _ in 0..cases {
        let head = HEADS[rng.random_range(0..HEADS.len())];
        let mut tail = vec![0; rng.random_range(0..MAX_TAIL)];
        rng.fill(tail.as_mut_slice());
        let script = Script::new([head.as_bytes(), &tail].concat(), Then::Close);
        let upstream = Scripted::start(vec![script; CALLS]).expect("an upstream");
        whole += runtime.block_on(call_all(&upstream));
        assert_that!(upstream.requests(), len(eq(CALLS)));
    }
    println!("{whole} answers were whole");
}
