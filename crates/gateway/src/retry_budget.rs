//! This gateway's share of the fleet's retry budget.
//!
//! The budget belongs to the whole fleet and nobody grants it: each gateway derives its share of the slack from the size of the
//! fleet, and needs no other gateway for what its own requests add. While it does not know the size it has no slack.

pub(crate) mod late;

use std::time::Duration;

use auburnline_core::time::Monotonic;
use auburnline_retries::budget;

use crate::gateway::Bounds;
use crate::gateway::Gateway;
use crate::request::Plan;
use crate::share;

/// Start of the keys by which the reserve is shared, which is drawn for anew in each window.
const SHARE_KEY: &str = "retries";
/// Fraction of the fleet's retry slack that is available at once. The rest is refilled over the
/// window, so that both together stay within the slack in each window.
const RESERVE_FRACTION: f64 = 0.5;
/// Time from the payment for a retry until it reaches its upstream, at most: connecting, on busy machines.
const MAX_TRANSIT: Duration = Duration::from_secs(1);
/// Time for which a retry that a gateway gained beyond its reserve may be used: what many gateways hold of these at once counts
/// as gained later.
const FRESH: Duration = Duration::from_millis(500);
/// Time for which an account that is not used is kept, with what it gained towards its next retry.
const MEMORY: Duration = Duration::from_mins(10);
/// Retries that a gateway accumulates from its own requests while it does not know its share.
const UNSHARED_RESERVE: u64 = 1;

/// Least slack to refill over the window, in retries, so that the refill time of one retry stays
/// finite: below a hundredth of a retry per window, practically none is refilled.
const MIN_REFILL: f64 = 0.01;

impl Gateway {
    /// Returns the number of gateways that share the retry budget; `None` while it is unknown. A gateway that nobody tells waits
    /// for the window of the budget, after which what others or its own predecessor took does not count any more.
    #[must_use]
    pub fn budget_members(&self, now: Monotonic) -> Option<usize> {
        self.roster.fleet_size(self.bounds.retry_window, now)
    }

    /// Returns the size of the whole fleet to tell other gateways; `None` while this one does not know it.
    #[must_use]
    pub fn known_size(&self, now: Monotonic) -> Option<u32> {
        self.roster.known_size(self.bounds.retry_window, now)
    }

    /// Returns whether a retry is left of this gateway's share of the fleet's budget.
    pub fn has_retry(&mut self, plan: &Plan, now: Monotonic) -> bool {
        self.budget.has_retry(now, &plan.service, &plan.service)
    }

    /// Takes a retry out of this gateway's share of the fleet's budget; returns whether one was
    /// left.
    pub fn take_retry(&mut self, plan: &Plan, now: Monotonic) -> bool {
        let permit = self.budget.withdraw(now, &plan.service, &plan.service);
        permit.is_ok()
    }
}

/// Returns the settings of a gateway's share of the fleet's retry budget; without slack while the
/// fleet's size is unknown. `now` is the time since the gateway's start.
pub(crate) fn settings(
    instance: &str,
    bounds: &Bounds,
    fleet: Option<usize>,
    now: Monotonic,
) -> budget::Settings {
    // Retries that are gained over a longer time arrive within one window.
    let span = bounds.retry_window + MAX_TRANSIT + FRESH;
    let part = bounds.retry_window.div_duration_f64(span);
    let refilled = fleet.map_or(0.0, |fleet| {
        let members = u32::try_from(fleet.max(1)).unwrap_or(u32::MAX);
        bounds.retry_slack * (1.0 - RESERVE_FRACTION) / f64::from(members)
    });
    let reserve = fleet.map_or(UNSHARED_RESERVE, |fleet| {
        let reserve = bounds.retry_slack * RESERVE_FRACTION;
        share::of(reserve, fleet, instance, &share_key(bounds, now))
    });
    budget::Settings {
        deposit_millitokens: thousandths(bounds.retry_ratio * part),
        reserve,
        refill: Duration::from_secs_f64(span.as_secs_f64() / refilled.max(MIN_REFILL)),
        fresh: FRESH,
        memory: MEMORY.max(span),
    }
}

/// Returns the key of this window, so that a gateway without a reserve has one in another.
fn share_key(bounds: &Bounds, now: Monotonic) -> String {
    let window = bounds.retry_window.as_millis().max(1);
    format!("{SHARE_KEY}-{}", now.as_millis() / window)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a published share between 0 and 1"
)]
fn thousandths(ratio: f64) -> u64 {
    (ratio.clamp(0.0, 1.0) * 1_000.0) as u64
}
