//! Decisions on retries, hedging and outlier ejection, without I/O or clocks.
//!
//! [`retryable`] decides whether a retry is safe: the request provably did not run, or it is
//! idempotent. [`budget`] limits retries to a share of first attempts, [`backoff`] computes the
//! delay before a retry, [`outlier`] ejects upstreams that do worse than their peers, and [`hedge`]
//! allows a second attempt while a slow first is outstanding. [`policy`] combines the proof,
//! budget and backoff into one decision about a failed attempt.

pub mod backoff;
pub mod budget;
pub mod hedge;
pub mod outlier;
pub mod policy;
pub mod retryable;
