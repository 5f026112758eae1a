//! This gateway's share of the fleet's retry budget.
//!
//! The budget belongs to the whole fleet and nobody grants it: each gateway derives its share from
//! the largest number of gateways that it ever saw live at once. That also holds during a network
//! partition, since no side then takes more than before.

use std::time::Duration;

use auburnline_core::hash::stable;
use auburnline_retries::budget;

use crate::gateway::Bounds;

/// Fraction of the fleet's retry slack that is refilled over the window.
const REFILL_FRACTION: f64 = 0.5;
/// Fraction of the fleet's retry slack that is available at once. Both together stay within the
/// slack in each window; the rest covers that the rounded shares of a large fleet may sum to more.
const RESERVE_FRACTION: f64 = 0.45;

/// Least slack to refill over the window, in retries, so that the refill time of one retry stays
/// finite: below a hundredth of a retry per window, practically none is refilled.
const MIN_REFILL: f64 = 0.01;

/// Returns the settings of a gateway's share of the fleet's retry budget; without slack while the
/// fleet's size is unknown. Only whole retries can be taken, so a share with a fraction is rounded up
/// at that fraction of the gateways: in a fleet larger than the slack, some get one and most none.
pub(crate) fn settings(instance: &str, bounds: &Bounds, fleet: Option<usize>) -> budget::Settings {
    let slack = fleet.map_or(0.0, |fleet| {
        let fleet = u32::try_from(fleet).unwrap_or(u32::MAX);
        bounds.retry_slack / f64::from(fleet.max(1))
    });
    let reserve = slack * RESERVE_FRACTION;
    let refilled = (slack * REFILL_FRACTION).max(MIN_REFILL);
    let refill = bounds.retry_window.as_secs_f64() / refilled;
    budget::Settings {
        deposit_millitokens: thousandths(bounds.retry_ratio),
        reserve: floor(reserve + fraction(instance)),
        refill: Duration::from_secs_f64(refill),
    }
}

/// Returns a number from 0 to below 1 that belongs to an instance; over a fleet they are uniform.
fn fraction(instance: &str) -> f64 {
    let hash = stable(0, instance.as_bytes()) >> u32::BITS;
    let hash = u32::try_from(hash).unwrap_or(0);
    f64::from(hash) / (f64::from(u32::MAX) + 1.0)
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
fn floor(number: f64) -> u64 {
    number.max(0.0) as u64
}
