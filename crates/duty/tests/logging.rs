//! Log lines, the ring of decisions and metrics.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use auburnline_duty::decisions::Filter;
use auburnline_duty::decisions::MAX_VALUE_BYTES;
use auburnline_duty::decisions::Ring;
use auburnline_duty::logging::Allowance;
use auburnline_duty::logging::LINES_PER_SECOND;
use auburnline_duty::logging::Logger;
use auburnline_duty::logging::bridge;
use auburnline_duty::metrics;
use googletest::prelude::*;
use log::Level;
use log::Log as _;
use log::Record;

#[derive(Clone, Default)]
struct Sink(Arc<Mutex<Vec<u8>>>);

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("a sink").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Sink {
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().expect("a sink").clone()).expect("text")
    }
}

fn log(logger: &Logger, level: Level, target: &str, pairs: &[(&str, &str)]) {
    logger.log(
        &Record::builder()
            .level(level)
            .target(target)
            .args(format_args!("route"))
            .key_values(&pairs)
            .build(),
    );
}

#[gtest]
fn a_line_is_pairs_that_can_be_read_back() {
    let sink = Sink::default();
    let ring = Arc::new(Ring::new(8));
    let logger = Logger::new("info", Box::new(sink.clone()), ring);
    let pairs = [
        ("choice", "g1"),
        ("reason", "two words"),
        ("note", "a\nlevel=error"),
        ("none", ""),
    ];
    log(&logger, Level::Info, "decision", &pairs);
    let text = sink.text();
    expect_that!(text.lines().collect::<Vec<_>>(), len(eq(1)));
    expect_that!(text, starts_with("time="));
    let tail = r#" level=info target=decision msg=route choice=g1 reason="two words" note="a\nlevel=error" none="""#;
    expect_that!(text.trim_end(), ends_with(tail));
}

#[gtest]
fn a_detail_that_is_pairs_becomes_the_pairs_of_the_line() {
    let sink = Sink::default();
    let ring = Arc::new(Ring::new(2));
    let logger = Logger::new("info", Box::new(sink.clone()), Arc::clone(&ring));
    let whole = [(
        "detail",
        "pool=p group=g1 runners_up=g2:ring:3ms,g3:drawn:4ms",
    )];
    log(&logger, Level::Info, "decision", &whole);
    log(
        &logger,
        Level::Info,
        "other",
        &[("detail", "pool=p and words")],
    );
    let filter = Filter {
        group: Some("g1".to_owned()),
        ..Filter::default()
    };
    expect_that!(ring.lines(&filter, 9), len(eq(1)));
    let text = sink.text();
    expect_that!(
        text,
        contains_substring("msg=route pool=p group=g1 runners_up=g2:ring")
    );
    expect_that!(text, contains_substring(r#"detail="pool=p and words""#));
}

#[gtest]
fn decisions_are_kept_whatever_the_filter_says() {
    let sink = Sink::default();
    let ring = Arc::new(Ring::new(2));
    let logger = Logger::new("error", Box::new(sink.clone()), Arc::clone(&ring));
    for (request, group) in [("a", "g1"), ("b", "g1"), ("c", "g2")] {
        let pairs = [("request", request), ("group", group)];
        log(&logger, Level::Info, "decision", &pairs);
        log(&logger, Level::Info, "other", &pairs);
    }
    expect_that!(sink.text(), eq(""));
    let all = ring.lines(&Filter::default(), 9);
    let numbers: Vec<u64> = all.iter().map(|line| line.number).collect();
    expect_that!(numbers, elements_are![eq(&1), eq(&2)]);
    let filter = Filter {
        group: Some("g1".to_owned()),
        ..Filter::default()
    };
    let found = ring.lines(&filter, 9);
    expect_that!(found, len(eq(1)));
    expect_that!(found[0].value("request"), some(eq("b")));
    expect_that!(ring.lines(&Filter::default(), 1)[0].number, eq(2));
}

#[gtest]
fn a_request_is_found_by_its_key_with_or_without_its_workspace() {
    let ring = Ring::new(4);
    for request in ["mediators/k-1", "mediators/xk-1", "clerks/k-1"] {
        let fields = vec![("request".to_owned(), request.to_owned())];
        ring.push("route".to_owned(), fields);
    }
    let found = |request: &str| {
        let filter = Filter {
            request: Some(request.to_owned()),
            ..Filter::default()
        };
        ring.lines(&filter, 9).len()
    };
    expect_that!(found("k-1"), eq(2));
    expect_that!(found("clerks/k-1"), eq(1));
    expect_that!(found("1"), eq(0));
}

#[gtest]
fn a_long_value_is_cut_at_a_character() {
    let ring = Ring::new(1);
    let long = "é".repeat(MAX_VALUE_BYTES);
    ring.push(
        "route".to_owned(),
        vec![("note".to_owned(), format!("x{long}"))],
    );
    let line = ring.lines(&Filter::default(), 1).remove(0);
    expect_that!(line.fields[0].1.len(), eq(MAX_VALUE_BYTES - 1));
}

#[gtest]
fn the_bridge_and_the_recorder_work_without_a_listener() {
    slog::info!(bridge(), "hello");
    let handle = metrics::install().expect("the first recorder");
    ::metrics::counter!("auburnline_test_total").increment(3);
    ::metrics::histogram!("auburnline_test_seconds").record(0.002);
    let text = handle.render();
    expect_that!(text, contains_substring("auburnline_test_total 3"));
    expect_that!(
        text,
        contains_substring("auburnline_test_seconds_bucket{le=\"0.0025\"} 1")
    );
    expect_that!(metrics::install().is_err(), eq(true));
}

#[gtest]
fn the_lines_of_a_second_are_bounded_and_the_next_second_has_its_own() {
    let start = Instant::now();
    let mut allowance = Allowance::new(start);
    let taken = (0..2 * LINES_PER_SECOND).filter(|_| allowance.take(start));
    assert_that!(taken.count(), eq(LINES_PER_SECOND as usize));
    assert_that!(allowance.take(start + Duration::from_secs(1)), eq(true));
}
