//! The installed logger; a separate test binary, because a process can install only one.

use auburnline_duty::decisions::Filter;
use auburnline_duty::logging;
use googletest::prelude::*;

#[gtest]
fn the_installed_logger_keeps_decisions_and_flushes() {
    let ring = logging::start(4).expect("the first logger");
    log::info!(target: "decision", group = "g1", score = 0.5; "route");
    log::logger().flush();
    let lines = ring.lines(&Filter::default(), 4);
    assert_that!(lines, len(eq(1)));
    expect_that!(lines[0].message, eq("route"));
    expect_that!(lines[0].value("score"), some(eq("0.5")));
    expect_that!(logging::start(4).is_err(), eq(true));
}
