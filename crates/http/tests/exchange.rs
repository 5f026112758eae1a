//! The failure that the client reports for each kind of upstream fault.

use std::io::Read as _;
use std::io::Write as _;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;

use auburnline_http::Client;
use auburnline_http::Connection;
use auburnline_http::Failure;
use auburnline_http::Timeouts;
use auburnline_standin::scripted::Script;
use auburnline_standin::scripted::Scripted;
use auburnline_standin::scripted::Then;
use bytes::Bytes;
use error_stack::Report;
use googletest::prelude::*;
use http::Method;
use http::Request;
use tokio::runtime::Builder;

/// Size limit of answer bodies, in bytes.
const MAX_BODY_BYTES: usize = 1000;
/// Repetitions of a test that would detect a race.
const ROUNDS: usize = 200;
/// Timeout of tests in which an answer is expected.
const LONG_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of tests in which the answer is not completed.
const SHORT_TIMEOUT: Duration = Duration::from_millis(200);

type Outcome = std::result::Result<Bytes, Failure>;

fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(future)
}

fn client(address: SocketAddr, bound: Duration) -> Client {
    let timeouts = Timeouts::new()
        .connect(bound)
        .head(bound)
        .silence(bound)
        .whole(bound * 2);
    Client::new(address, timeouts)
}

async fn send(client: &Client, method: Method, connection: Connection) -> Outcome {
    let request = Request::builder()
        .method(method)
        .uri(client.uri("/path").expect("a path"))
        .body(Bytes::from_static(b"body").into())
        .expect("a request");
    let whole = async {
        let reply = client.send(request, connection).await?;
        reply.body.whole(MAX_BODY_BYTES).await
    };
    let result: std::result::Result<Bytes, Report<Failure>> = whole.await;
    result.map_err(|report| *report.current_context())
}

fn answer_to(method: Method, answer: &str, then: Then, bound: Duration) -> Outcome {
    let upstream = Scripted::start(vec![Script::new(answer, then)]).expect("an upstream");
    let client = client(upstream.address(), bound);
    run(send(&client, method, Connection::Fresh))
}

fn answer(answer: &str, then: Then) -> Outcome {
    answer_to(Method::POST, answer, then, LONG_TIMEOUT)
}

/// Returns the outcome of an answer that is expected not to complete.
fn open_answer(answer: &str, then: Then) -> Outcome {
    answer_to(Method::POST, answer, then, SHORT_TIMEOUT)
}

#[gtest]
fn a_refused_connection_proves_that_nothing_was_sent() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let client = client(address, LONG_TIMEOUT);
    for connection in [Connection::Fresh, Connection::Kept] {
        let outcome = run(send(&client, Method::POST, connection));
        expect_that!(outcome, err(eq(&Failure::NotSent)));
    }
}

#[gtest]
fn a_connection_that_is_never_read_ends_as_lost() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let client = client(listener.local_addr().expect("an address"), SHORT_TIMEOUT);
    let outcome = run(send(&client, Method::POST, Connection::Fresh));
    assert_that!(outcome, err(eq(&Failure::Lost)));
}

/// Guards against an answer that looks whole although its sender stopped within it.
#[gtest]
fn an_answer_that_stops_at_any_byte_is_never_whole() {
    let answers = [
        "HTTP/1.1 200 OK\r\nX-Seal: 1\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nX-Seal: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Seal: 1\r\nConnection: close\r\n\r\nbody",
    ];
    for (answer, then) in answers
        .into_iter()
        .flat_map(|answer| [(answer, Then::Close), (answer, Then::Reset)])
    {
        let cuts = (0..answer.len()).map(|bytes| &answer[..bytes]);
        let scripts = cuts.clone().map(|cut| Script::new(cut, then)).collect();
        let upstream = Scripted::start(scripts).expect("an upstream");
        let client = client(upstream.address(), LONG_TIMEOUT);
        run(async {
            for cut in cuts {
                let outcome = send(&client, Method::POST, Connection::Fresh).await;
                expect_that!(outcome, err(anything()), "{then:?} after {cut:?}");
            }
        });
        expect_that!(upstream.requests(), len(eq(answer.len())));
    }
}

#[gtest]
fn a_whole_body_has_a_marked_end() {
    let whole = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
    for text in [whole, chunked] {
        expect_that!(answer(text, Then::Hold), ok(eq(&Bytes::from("ok"))));
    }
    let cut = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nok";
    let unmarked = "HTTP/1.1 200 OK\r\n\r\nok";
    let open = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n";
    for text in [cut, unmarked, open, "", "HTTP/1.1 200 OK\r\n"] {
        for then in [Then::Close, Then::Reset, Then::Hold] {
            expect_that!(open_answer(text, then), err(eq(&Failure::Lost)), "{text}");
        }
    }
}

/// Guards against taking a whole answer for lost where its upstream marks the end by closing the connection only.
#[gtest]
fn the_end_of_the_connection_ends_a_body_only_where_that_is_accepted() {
    let outcome = |then| {
        let script = Script::new("HTTP/1.1 200 OK\r\n\r\nok", then);
        let upstream = Scripted::start(vec![script]).expect("an upstream");
        let client = client(upstream.address(), SHORT_TIMEOUT);
        let request = Request::builder()
            .uri(client.uri("/path").expect("a path"))
            .body(Bytes::new().into())
            .expect("a request");
        run(async {
            let reply = client.send(request, Connection::Fresh).await?;
            let body = reply.body.ended_by_connection();
            assert_that!(body.is_delimited(), eq(false));
            body.whole(MAX_BODY_BYTES).await
        })
        .map_err(|report: Report<Failure>| *report.current_context())
    };
    expect_that!(outcome(Then::Close), ok(eq(&Bytes::from("ok"))));
    expect_that!(outcome(Then::Reset), err(eq(&Failure::Lost)));
    expect_that!(outcome(Then::Hold), err(eq(&Failure::Lost)));
}

#[gtest]
fn an_answer_without_a_body_needs_no_marked_end() {
    let empty = "HTTP/1.1 204 No Content\r\n\r\n";
    expect_that!(answer(empty, Then::Hold), ok(eq(&Bytes::new())));
    let head = answer_to(
        Method::HEAD,
        "HTTP/1.1 200 OK\r\n\r\n",
        Then::Hold,
        LONG_TIMEOUT,
    );
    expect_that!(head, ok(eq(&Bytes::new())));
}

#[gtest]
fn only_the_mark_makes_a_refusal() {
    let marked = "HTTP/1.1 503 No\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    expect_that!(answer(marked, Then::Hold), err(eq(&Failure::Refused(503))));
    let plain = "HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n";
    expect_that!(answer(plain, Then::Hold), ok(anything()));
    let success = "HTTP/1.1 200 OK\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    expect_that!(answer(success, Then::Hold), ok(anything()));
}

#[gtest]
fn broken_framing_is_malformed() {
    let garbage = "SMTP ready\r\n\r\n";
    expect_that!(answer(garbage, Then::Hold), err(eq(&Failure::Malformed)));
    let large = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {MAX_BODY_BYTES}1\r\n\r\n{}",
        "x".repeat(MAX_BODY_BYTES + 1)
    );
    expect_that!(answer(&large, Then::Hold), err(eq(&Failure::Malformed)));
}

/// Guards against an answer whose status is none of HTTP being taken for an answer. Every program reads answers here.
#[gtest]
fn an_answer_whose_status_is_none_of_http_is_malformed() {
    for status in [
        "000", "099", "600", "999", "20", "2000", "-20", "2x0", "", "0x1",
    ] {
        for mark in ["", "x-not-run: 1\r\n"] {
            let text = format!("HTTP/1.1 {status} Odd\r\n{mark}content-length: 2\r\n\r\nok");
            let outcome = answer(&text, Then::Close);
            expect_that!(outcome, err(eq(&Failure::Malformed)), "{text}");
        }
    }
    for status in [200, 299, 404, 499, 503, 599] {
        let text = format!("HTTP/1.1 {status} Odd\r\ncontent-length: 2\r\n\r\nok");
        expect_that!(answer(&text, Then::Close), ok(anything()), "{text}");
    }
}

/// Guards against an interim answer that nothing follows being taken for the answer.
#[gtest]
fn an_interim_status_is_no_answer() {
    for status in [100, 102, 199] {
        let text = format!("HTTP/1.1 {status} Odd\r\n\r\n");
        expect_that!(
            answer(&text, Then::Close),
            err(eq(&Failure::Lost)),
            "{text}"
        );
    }
}

#[gtest]
fn a_body_that_trickles_ends_as_lost() {
    let slow = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: 200\r\n\r\n{}",
        "x".repeat(200)
    );
    let outcome = open_answer(&slow, Then::Trickle(Duration::from_millis(3)));
    assert_that!(outcome, err(eq(&Failure::Lost)));
}

/// Answers one request in two parts with a pause between them.
fn answer_in_parts(listener: &TcpListener, parts: [&str; 2], pause: Duration) {
    let (mut stream, _) = listener.accept().expect("a connection");
    let _ = stream.read(&mut [0; 1024]).expect("a request");
    for part in parts {
        stream.write_all(part.as_bytes()).expect("a sent part");
        std::thread::sleep(pause);
    }
}

#[gtest]
fn what_came_while_the_process_paused_is_read_before_the_silence_counts() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = listener.local_addr().expect("an address");
    let parts = ["HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nbody", "rest"];
    let upstream = std::thread::spawn(move || answer_in_parts(&listener, parts, SHORT_TIMEOUT / 4));
    let client = client(address, SHORT_TIMEOUT);
    let rest = run(async {
        let request = Request::builder().uri(client.uri("/path").expect("a path"));
        let request = request.body(Bytes::new().into()).expect("a request");
        let reply = client.send(request, Connection::Fresh).await;
        let mut body = reply.expect("a head").body;
        let first = body.next().await.expect("a part").expect("the first part");
        assert_that!(first, eq(&Bytes::from_static(b"body")));
        // The sleep blocks the only thread of the runtime, as a frozen process would.
        let (rest, ()) = tokio::join!(body.next(), async { std::thread::sleep(SHORT_TIMEOUT * 3) });
        rest.expect("a part")
            .map_err(|report| *report.current_context())
    });
    upstream.join().expect("an upstream");
    assert_that!(rest, ok(eq(&Bytes::from_static(b"rest"))));
}

#[gtest]
fn a_request_on_a_dead_connection_is_sent_once() {
    let first = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    for then in [Then::Close, Then::Reset] {
        let scripts = vec![Script::new(first, Then::Again), Script::new("", then)];
        let upstream = Scripted::start(scripts).expect("an upstream");
        let client = client(upstream.address(), LONG_TIMEOUT);
        let outcomes = run(async {
            let first = send(&client, Method::POST, Connection::Kept).await;
            (first, send(&client, Method::POST, Connection::Kept).await)
        });
        expect_that!(outcomes.0, ok(anything()));
        expect_that!(outcomes.1, err(eq(&Failure::Lost)));
        expect_that!(upstream.requests(), len(eq(2)));
        expect_that!(upstream.connections(), eq(1));
    }
}

#[gtest]
fn a_connection_that_died_idle_loses_no_request_unseen() {
    let first = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let scripts = vec![
        Script::new(first, Then::Close),
        Script::new(first, Then::Close),
    ];
    let upstream = Scripted::start(scripts).expect("an upstream");
    let client = client(upstream.address(), LONG_TIMEOUT);
    let second = run(async {
        let first = send(&client, Method::POST, Connection::Kept).await;
        expect_that!(first, ok(anything()));
        send(&client, Method::POST, Connection::Kept).await
    });
    let seen = upstream.requests().len();
    match second {
        Ok(_) => assert_that!(seen, eq(2)),
        Err(failure) => {
            assert_that!(failure, any!(eq(Failure::NotSent), eq(Failure::Lost)));
            assert_that!(seen, eq(1));
        }
    }
}

#[gtest]
fn a_fresh_connection_is_never_used_again() {
    let first = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let scripts = vec![
        Script::new(first, Then::Again),
        Script::new(first, Then::Again),
    ];
    let upstream = Scripted::start(scripts).expect("an upstream");
    let client = client(upstream.address(), LONG_TIMEOUT);
    run(async {
        for _ in 0..2 {
            let outcome = send(&client, Method::POST, Connection::Fresh).await;
            expect_that!(outcome, ok(anything()));
        }
    });
    assert_that!(upstream.connections(), eq(2));
}

#[gtest]
fn a_request_that_was_read_is_never_told_as_not_sent() {
    for then in [Then::Close, Then::Reset] {
        let scripts = vec![Script::new("", then); ROUNDS];
        let upstream = Scripted::start(scripts).expect("an upstream");
        let client = client(upstream.address(), LONG_TIMEOUT);
        for _ in 0..ROUNDS {
            let before = upstream.requests().len();
            let outcome = run(send(&client, Method::POST, Connection::Fresh));
            let read = upstream.requests().len() - before;
            assert_that!(read, eq(1));
            assert_that!(outcome, err(eq(&Failure::Lost)));
        }
    }
}
