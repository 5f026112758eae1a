//! Messages between sidecars and gateways.

use std::time::Duration;

use auburnline_lockstep::layout::Shape;
use auburnline_lockstep::message::Members;
use googletest::prelude::*;

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
