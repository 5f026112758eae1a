//! Calls to a plain service that are answered, refused, cut off or followed by a surplus response.

use std::net::SocketAddr;
use std::time::Duration;

use auburnline_service::Answer;
use auburnline_service::Call;
use auburnline_service::Client;
use auburnline_service::Failure;
use auburnline_service::Timeouts;
use auburnline_standin::control;
use auburnline_standin::scripted::Script;
use auburnline_standin::scripted::Scripted;
use auburnline_standin::scripted::Then;
use auburnline_standin::server::Handle;
use auburnline_standin::service::Config;
use auburnline_standin::service::Fault;
use auburnline_standin::service::Record;
use auburnline_standin::service::Service;
use googletest::prelude::*;
use tokio::runtime::Builder;

/// Timeout of calls that are expected to be answered.
const LONG: Duration = Duration::from_secs(30);
/// Timeout of calls that are expected to get no answer.
const SHORT: Duration = Duration::from_millis(200);

type Outcome = std::result::Result<Answer, Failure>;

fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(future)
}

fn client(address: SocketAddr, bound: Duration) -> Client {
    let timeouts = Timeouts::new().head(bound).silence(bound).whole(bound);
    Client::with_timeouts(address, timeouts)
}

fn request(method: &str, path: &str, id: &str) -> Call {
    Call {
        id: id.into(),
        method: method.to_owned(),
        path: path.to_owned(),
        body: "{}".into(),
    }
}

async fn call(client: &Client, call: &Call) -> Outcome {
    let answer = client.call(call).await;
    answer.map_err(|report| *report.current_context())
}

fn record(answer: &Answer) -> Record {
    serde_json::from_slice(&answer.body).expect("a record")
}

fn service() -> Handle {
    Service::start(Config::default()).expect("a service")
}

/// Makes one call with `fault` injected; returns its outcome and the number of effects.
fn call_with_fault(fault: &Fault, method: &str, bound: Duration) -> (Outcome, usize) {
    let service = service();
    let address = service.address();
    run(async {
        control::set_fault(address, fault).await.expect("a fault");
        let request = request(method, "/dispatches", "a");
        let outcome = call(&client(address, bound), &request).await;
        let effects = control::effects(address).await.expect("the effects");
        (outcome, effects.len())
    })
}

#[gtest]
fn a_call_gets_its_own_record() {
    let service = service();
    let client = client(service.address(), LONG);
    let posted = run(call(&client, &request("POST", "/dispatches", "a"))).expect("an answer");
    let read = run(call(&client, &request("GET", "/cases/7/summary?x=1", "b"))).expect("an answer");
    expect_that!(posted.status, eq(200));
    expect_that!(&*record(&posted).key, eq("a"));
    expect_that!(record(&posted).effect, eq(1));
    expect_that!(&*record(&read).key, eq("b"));
    expect_that!(record(&read).path, eq("/cases/7/summary?x=1"));
    expect_that!(record(&read).effect, eq(0));
    let missing = run(call(&client, &request("GET", "/nothing", "c"))).expect("an answer");
    expect_that!(missing.status, eq(404));
}

#[gtest]
fn each_post_has_an_effect_of_its_own() {
    let service = service();
    let client = client(service.address(), LONG);
    let effects = run(async {
        for _ in 0..2 {
            let outcome = call(&client, &request("POST", "/dispatches", "a")).await;
            expect_that!(outcome, ok(anything()));
        }
        control::effects(service.address()).await
    });
    assert_that!(effects.expect("the effects"), len(eq(2)));
}

#[gtest]
fn a_fault_tells_its_fate() {
    let refuse = Fault {
        refuse: Some(503),
        ..Fault::default()
    };
    let cut = Fault {
        kill_after_effect: true,
        ..Fault::default()
    };
    let fail = Fault {
        fail_after_effect: true,
        ..Fault::default()
    };
    let silent = Fault {
        silent: true,
        ..Fault::default()
    };
    let refused = call_with_fault(&refuse, "POST", LONG);
    expect_that!(refused.0, err(eq(&Failure::Refused(503))));
    expect_that!(refused.1, eq(0));
    let cases = [
        (cut, LONG, Failure::Lost),
        (fail, LONG, Failure::Failed),
        (silent, SHORT, Failure::Lost),
    ];
    for (fault, bound, failure) in cases {
        let (outcome, effects) = call_with_fault(&fault, "POST", bound);
        expect_that!(outcome, err(eq(&failure)), "{fault:?}");
        expect_that!(effects, eq(1), "{fault:?}");
    }
}

#[gtest]
fn what_can_not_be_a_request_is_not_sent() {
    let service = service();
    let client = client(service.address(), LONG);
    let requests = [
        request("G T", "/cases/7/summary", "a"),
        request("GET", "cases", "a"),
        request("GET", "/a b", "a"),
        request("GET", "http://elsewhere/", "a"),
        request("GET", "/cases/7/summary", "a\r\nx-not-run: 1"),
    ];
    for request in requests {
        let outcome = run(call(&client, &request));
        expect_that!(outcome, err(eq(&Failure::NotSent)), "{request:?}");
    }
}

#[gtest]
fn an_answer_too_many_reaches_no_other_call() {
    let own = |body: &str| format!("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n{body}");
    for first in [
        Script::new(own("1") + &own("x"), Then::Again),
        Script::new(own("1"), Then::Twice),
    ] {
        for method in ["GET", "POST"] {
            let scripts = vec![first.clone(), Script::new(own("2"), Then::Again)];
            let upstream = Scripted::start(scripts).expect("an upstream");
            let client = client(upstream.address(), LONG);
            let bodies = run(async {
                let first = call(&client, &request(method, "/a", "a")).await;
                let second = call(&client, &request(method, "/b", "b")).await;
                [first, second].map(|answer| answer.expect("an answer").body)
            });
            expect_that!(bodies, eq(&["1", "2"].map(bytes::Bytes::from)), "{method}");
        }
    }
}
