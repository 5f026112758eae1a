//! Reads and watches of a platform that works, fails or sends malformed replies.

use std::net::SocketAddr;
use std::time::Duration;

use auburnline_core::published::MAX_VALUE_BYTES;
use auburnline_registry::Client;
use auburnline_registry::Failure;
use auburnline_registry::Instances;
use auburnline_registry::Timeouts;
use auburnline_registry::Value;
use auburnline_standin::control;
use auburnline_standin::platform::Fault;
use auburnline_standin::platform::Platform;
use auburnline_standin::scripted::Script;
use auburnline_standin::scripted::Scripted;
use auburnline_standin::scripted::Then;
use bytes::Bytes;
use error_stack::Report;
use googletest::prelude::*;
use tokio::runtime::Builder;

/// Timeout of calls that are expected to be answered.
const LONG: Duration = Duration::from_secs(30);
/// Timeout of calls that are expected to get no answer.
const SHORT: Duration = Duration::from_millis(200);
/// Contains a slash, so that reads cover keys with several path segments.
const KEY: &str = "section/fleet";

type Outcome = std::result::Result<Option<Value>, Failure>;

fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(future)
}

fn client(address: SocketAddr, bound: Duration) -> Client {
    let timeouts = Timeouts::new().head(bound).silence(bound).whole(bound);
    Client::with_timeouts(address, timeouts)
}

fn outcome(result: std::result::Result<Option<Value>, Report<Failure>>) -> Outcome {
    result.map_err(|report| *report.current_context())
}

fn version(outcome: Outcome) -> Option<u64> {
    Some(outcome.expect("an answer")?.version)
}

async fn set(address: SocketAddr, text: &'static str) {
    let set = control::set_value(address, KEY, text).await;
    set.expect("a value set");
}

#[gtest]
fn a_value_has_a_version_that_grows() {
    let platform = Platform::start_anywhere().expect("a platform");
    let address = platform.address();
    let client = client(address, LONG);
    run(async {
        expect_that!(outcome(client.read(KEY).await), ok(none()));
        set(address, "a").await;
        set(address, "b").await;
        let value = Value {
            version: 2,
            bytes: Bytes::from("b"),
        };
        expect_that!(outcome(client.read(KEY).await), ok(some(eq(&value))));
    });
}

#[gtest]
fn a_watch_waits_for_a_newer_version_and_is_counted() {
    let platform = Platform::start_anywhere().expect("a platform");
    let address = platform.address();
    let client = client(address, LONG);
    run(async {
        set(address, "a").await;
        let unchanged = client.watch(KEY, 1, Duration::from_millis(1)).await;
        expect_that!(outcome(unchanged), ok(none()));
        let change = async {
            while control::calls(address).await.expect("calls").waiting == 0 {}
            set(address, "b").await;
        };
        let (found, ()) = tokio::join!(client.watch(KEY, 1, LONG), change);
        expect_that!(version(outcome(found)), some(eq(2)));
        let calls = control::calls(address).await.expect("calls");
        expect_that!(calls.total, eq(2));
        expect_that!(calls.waiting, eq(0));
        expect_that!(calls.per_second.iter().sum::<u64>(), eq(2));
    });
}

#[gtest]
fn a_stale_platform_tells_old_values_and_a_flapping_one_both() {
    let platform = Platform::start_anywhere().expect("a platform");
    let address = platform.address();
    let client = client(address, LONG);
    run(async {
        set(address, "a").await;
        control::set_fault(address, &Fault::Stale)
            .await
            .expect("a fault");
        set(address, "b").await;
        expect_that!(version(outcome(client.read(KEY).await)), some(eq(1)));
        control::set_fault(address, &Fault::None)
            .await
            .expect("a fault");
        expect_that!(version(outcome(client.read(KEY).await)), some(eq(2)));
        control::set_fault(address, &Fault::Flapping)
            .await
            .expect("a fault");
        set(address, "c").await;
        let mut versions = Vec::new();
        for _ in 0..4 {
            versions.push(version(outcome(client.read(KEY).await)));
        }
        let alternating = [2, 3, 2, 3].map(Some);
        expect_that!(
            versions,
            any!(eq(&alternating), eq(&[3, 2, 3, 2].map(Some)))
        );
    });
}

#[gtest]
fn a_platform_that_is_down_or_silent_ends_the_read() {
    for fault in [Fault::Down, Fault::Silent] {
        let platform = Platform::start_anywhere().expect("a platform");
        let client = client(platform.address(), SHORT);
        let (read, watched, listed) = run(async {
            let set = control::set_fault(platform.address(), &fault).await;
            set.expect("a fault");
            let read = client.read(KEY).await;
            let watched = client.watch(KEY, 0, SHORT).await;
            (read, watched, client.instances().await)
        });
        expect_that!(outcome(read), err(eq(&Failure::Lost)));
        expect_that!(outcome(watched), err(eq(&Failure::Lost)));
        let listed = listed.map_err(|report| *report.current_context());
        expect_that!(listed, err(eq(&Failure::Lost)));
    }
}

#[gtest]
fn the_list_of_instances_is_read_as_set() {
    let platform = Platform::start_anywhere().expect("a platform");
    let instances = Instances {
        version: 3,
        live: vec!["entry-1".into(), "slot-1".into()],
        leaving: vec!["entry-2".into()],
    };
    let read = run(async {
        let set = control::set_instances(platform.address(), &instances).await;
        set.expect("a list set");
        client(platform.address(), LONG).instances().await
    });
    assert_that!(read.expect("a list"), eq(&instances));
}

#[gtest]
fn a_value_up_to_the_limit_is_read_and_a_larger_one_is_malformed() {
    let platform = Platform::start_anywhere().expect("a platform");
    let client = client(platform.address(), LONG);
    run(async {
        for (length, fits) in [(MAX_VALUE_BYTES, true), (MAX_VALUE_BYTES + 1, false)] {
            let set = control::set_value(platform.address(), KEY, vec![b'x'; length]).await;
            set.expect("a value set");
            let read = outcome(client.read(KEY).await);
            match read {
                Ok(value) => expect_that!(
                    (fits, value.map(|v| v.bytes.len())),
                    eq((true, Some(length)))
                ),
                Err(failure) => expect_that!((fits, failure), eq((false, Failure::Malformed))),
            }
        }
    });
}

#[gtest]
fn an_answer_without_a_version_is_malformed() {
    let heads = [
        "",
        "x-version: -1\r\n",
        "x-version: 99999999999999999999\r\n",
    ];
    for head in heads {
        let answer = format!("HTTP/1.1 200 OK\r\n{head}content-length: 1\r\n\r\na");
        let script = Script::new(answer, Then::Hold);
        let upstream = Scripted::start(vec![script]).expect("an upstream");
        let read = run(client(upstream.address(), LONG).read(KEY));
        expect_that!(outcome(read), err(eq(&Failure::Malformed)), "{head}");
    }
}

#[gtest]
fn a_key_that_can_not_stand_in_a_path_is_not_sent() {
    let platform = Platform::start_anywhere().expect("a platform");
    let client = client(platform.address(), LONG);
    for key in [
        "",
        "a b",
        "a?after=1",
        "a#b",
        "a%2f",
        "../instances",
        "a/../b",
        "\u{e9}",
    ] {
        let read = run(client.read(key));
        expect_that!(outcome(read), err(eq(&Failure::NotSent)), "{key}");
    }
}
