//! Parts of an amount that the whole fleet shares without talking.

use auburnline_core::hash::stable;

/// Fraction of what is drawn for that is given out, so that an uneven draw stays within the amount.
const DRAWN_FRACTION: f64 = 0.75;

/// Returns a gateway's part of `amount` indivisible things that a fleet of this size shares.
///
/// What does not divide evenly is drawn for, anew for each `key`: of fewer things than gateways some
/// get one and most none. No gateway needs to know the others for that, only how many there are.
pub(crate) fn of(amount: f64, fleet: usize, instance: &str, key: &str) -> u64 {
    let fleet = u32::try_from(fleet.max(1)).unwrap_or(u32::MAX);
    let part = (amount / f64::from(fleet)).max(0.0);
    let is_drawn = fraction(instance, key) < part.fract() * DRAWN_FRACTION;
    floor(part) + u64::from(is_drawn)
}

/// Returns a number from 0 to below 1; over a fleet they are uniform.
pub(crate) fn fraction(instance: &str, key: &str) -> f64 {
    let hash = stable(stable(0, key.as_bytes()), instance.as_bytes()) >> u32::BITS;
    let hash = u32::try_from(hash).unwrap_or(0);
    f64::from(hash) / (f64::from(u32::MAX) + 1.0)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a positive number, rounded down"
)]
const fn floor(number: f64) -> u64 {
    number as u64
}
