//! This gateway's share of the fleet's retry budget.
//!
//! The budget is the fleet's, and nobody grants it: each gateway takes its part by the most gateways that it
//! ever saw live at once. That holds when the fleet is split, since no side then takes more than before.

use std::time::Duration;

use auburnline_retries::budget;

use crate::gateway::Bounds;

/// Part of the fleet's retry slack that is there at once; the other part comes back over the window,
/// so that both together stay within the slack in each window.
const RESERVE_PART: f64 = 0.5;

/// Least slack that comes back over the window, so that the time for one part of it stays finite: with
/// less than a hundredth of a retry in each window, practically none comes back.
const LEAST_RETURN: f64 = 0.01;

/// Returns this gateway's share of the fleet's retry budget; no slack while the fleet's size is unknown.
pub(crate) fn shares(bounds: &Bounds, fleet: Option<usize>) -> budget::Settings {
    let slack = fleet.map_or(0.0, |fleet| {
        let fleet = u32::try_from(fleet).unwrap_or(u32::MAX);
        bounds.retry_slack / f64::from(fleet.max(1))
    });
    let reserve = slack * RESERVE_PART;
    let refill = bounds.retry_window.as_secs_f64() / (slack - reserve).max(LEAST_RETURN);
    budget::Settings {
        share: thousandths(bounds.retry_ratio),
        reserve: whole(reserve),
        refill: Duration::from_secs_f64(refill),
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a published share between 0 and 1"
)]
fn thousandths(ratio: f64) -> u64 {
    (ratio.clamp(0.0, 1.0) * 1_000.0) as u64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a small positive number, rounded down"
)]
fn whole(number: f64) -> u64 {
    number.max(0.0) as u64
}
