//! The order of requests that want the same capacity.

use auburnline_admission::standing::Standing;
use googletest::prelude::*;

#[gtest]
fn requests_in_time_go_first_and_among_them_the_more_urgent_ones() {
    let standing = |is_late, urgency| Standing { is_late, urgency };
    let mut order = vec![
        standing(true, 0),
        standing(false, 1),
        standing(true, 1),
        standing(false, 0),
    ];
    order.sort_unstable();
    let expected = vec![
        standing(false, 0),
        standing(false, 1),
        standing(true, 0),
        standing(true, 1),
    ];
    expect_that!(order, eq(&expected));
}
