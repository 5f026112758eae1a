//! Messages between sidecars and gateways.

use std::net::SocketAddr;
use std::time::Duration;

use auburnline_lockstep::layout::Shape;
use auburnline_lockstep::message::Members;
use googletest::prelude::*;

const SHAPE: Shape = Shape {
    layers: 3,
    experts: 96,
    places: 11,
    most_new: 2,
    copy: Duration::from_millis(10),
};

fn members(shape: Option<Shape>, upstreams: u16) -> Members {
    let upstream = |port| SocketAddr::from(([10, 0, 0, 1], port));
    Members {
        service: "model".to_owned(),
        upstreams: (1..=upstreams).map(upstream).collect(),
        gateways: Vec::new(),
        shape,
        cost: None,
    }
}

/// After a complete power loss, gateways answer sidecars before they have read the published configuration.
#[gtest]
fn members_count_as_known_only_with_upstreams_and_a_shape() {
    let blank = Members {
        service: "model".to_owned(),
        upstreams: Vec::new(),
        gateways: Vec::new(),
        shape: None,
        cost: None,
    };
    let shape = Shape {
        layers: 1,
        experts: 8,
        places: 6,
        most_new: 2,
        copy: Duration::from_millis(10),
    };
    assert_that!(blank.is_complete(), eq(false));
    let listed = Members {
        upstreams: vec![([10, 0, 0, 1], 80).into()],
        ..blank
    };
    assert_that!(listed.is_complete(), eq(false));
    let complete = Members {
        shape: Some(shape),
        ..listed
    };
    assert_that!(complete.is_complete(), eq(true));
}

/// Guards against a leader whose reports name no rank, because of several gateways that it asked
/// after a loss of power the last one to answer had not read the list yet.
#[gtest]
fn an_answer_of_a_gateway_that_has_not_read_everything_hides_no_complete_one() {
    let complete = members(Some(SHAPE), 64);
    let unread = members(Some(SHAPE), 0);
    expect_that!(unread.replaces(None), eq(true));
    expect_that!(unread.replaces(Some(&complete)), eq(false));
    expect_that!(complete.replaces(Some(&unread)), eq(true));
    expect_that!(members(Some(SHAPE), 63).replaces(Some(&complete)), eq(true));
}
