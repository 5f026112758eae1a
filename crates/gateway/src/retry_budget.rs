//! This gateway's share of the fleet's retry budget.
//!
//! The budget belongs to the whole fleet and nobody grants it: each gateway derives its share from
//! the largest number of gateways that it ever saw live at once. That also holds during a network
//! partition, since no side then takes more than before.

use std::time::Duration;

use auburnline_retries::budget;

use crate::gateway::Bounds;
use crate::share;

/// Key by which the reserve is shared.
const SHARE_KEY: &str = "retries";
/// Fraction of the fleet's retry slack that is available at once. The rest is refilled over the
/// window, so that both together stay within the slack in each window.
const RESERVE_FRACTION: f64 = 0.5;

/// Least slack to refill over the window, in retries, so that the refill time of one retry stays
/// finite: below a hundredth of a retry per window, practically none is refilled.
const MIN_REFILL: f64 = 0.01;

/// Returns the settings of a gateway's share of the fleet's retry budget; without slack while the
/// fleet's size is unknown.
pub(crate) fn settings(instance: &str, bounds: &Bounds, fleet: Option<usize>) -> budget::Settings {
    let of_fleet = |amount| fleet.map_or(0, |fleet| share::of(amount, fleet, instance, SHARE_KEY));
    let members = u32::try_from(fleet.unwrap_or(usize::MAX).max(1)).unwrap_or(u32::MAX);
    let refilled = bounds.retry_slack * (1.0 - RESERVE_FRACTION) / f64::from(members);
    let refill = bounds.retry_window.as_secs_f64() / refilled.max(MIN_REFILL);
    budget::Settings {
        deposit_millitokens: thousandths(bounds.retry_ratio),
        reserve: of_fleet(bounds.retry_slack * RESERVE_FRACTION),
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
