//! Compares the latency of calls over a new connection each with calls over a kept-alive one.
//!
//! `cargo run --release -p auburnline-service --example connections -- [CALLS]` prints the median and
//! 99th percentile latency of calls to the stand-in over loopback.

use std::env;
use std::time::Duration;
use std::time::Instant;

use auburnline_http::Client;
use auburnline_http::Connection;
use auburnline_http::Timeouts;
use auburnline_standin::service::Config;
use auburnline_standin::service::Service;
use bytes::Bytes;
use http::Request;
use tokio::runtime::Builder;

/// Default number of calls in each measurement.
const DEFAULT_CALLS: usize = 20_000;
const MAX_ANSWER_BYTES: usize = 1 << 16;

async fn call(client: &Client, connection: Connection) -> Duration {
    let start = Instant::now();
    let request = Request::get(client.uri("/cases/7/summary").expect("a path"))
        .body(Bytes::new().into())
        .expect("a request");
    let reply = client.send(request, connection).await.expect("an answer");
    reply
        .body
        .whole(MAX_ANSWER_BYTES)
        .await
        .expect("a whole body");
    start.elapsed()
}

async fn measure(client: &Client, connection: Connection, calls: usize) {
    let mut times = Vec::with_capacity(calls);
    for _ in 0..calls {
        times.push(call(client, connection).await);
    }
    times.sort_unstable();
    let at = |permille: usize| times[(calls - 1) * permille / 1000];
    println!(
        "{:<10} {calls:>7} {:>8} {:>8}",
        format!("{connection:?}"),
        at(500).as_micros(),
        at(990).as_micros()
    );
}

fn main() {
    let calls = env::args()
        .nth(1)
        .and_then(|calls| calls.parse().ok())
        .unwrap_or(DEFAULT_CALLS);
    let service = Service::start(Config::default()).expect("a service");
    let client = Client::new(service.address(), Timeouts::default());
    let runtime = Builder::new_current_thread().enable_all().build();
    println!("connection   calls   p50 us   p99 us");
    runtime.expect("a runtime").block_on(async {
        for connection in [Connection::Kept, Connection::Fresh].repeat(2) {
            measure(&client, connection, calls).await;
        }
    });
}
