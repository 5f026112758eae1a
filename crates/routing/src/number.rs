//! Conversion of counts to floating point.

/// Returns `value` as a float, saturating at `u32::MAX` so that the conversion is exact.
pub(crate) fn float(value: u64) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}
