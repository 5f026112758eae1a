//! Heads of answers as slots pass them on.

use auburnline_core::answer::Head;
use bytes::Bytes;
use googletest::prelude::*;

/// Guards against a slot's answer whose status is none of HTTP being given to a caller.
#[gtest]
fn a_head_whose_status_is_none_of_http_is_not_valid() {
    for status in ["0", "000", "099", "600", "999", "65536", "-1", "x", ""] {
        let bytes = Bytes::from(format!("{status} text/plain\nbody"));
        expect_that!(Head::split(&bytes), none(), "{status}");
    }
    for status in [100, 200, 599] {
        let head = Head {
            status,
            content_type: "text/plain".to_owned(),
        };
        let bytes = Bytes::from(head.line() + "body");
        expect_that!(Head::split(&bytes), some(eq(&(head, Bytes::from("body")))));
    }
}
