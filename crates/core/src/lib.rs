//! Types shared by all crates of auburnline.
//!
//! This crate defines what several crates and processes must agree on: identifiers, the schema of
//! the published configuration, the closed table of error kinds, hashing that is equal in every
//! process, and the layout of an expert map. It contains no decision logic, no I/O and no clocks:
//! time is passed to decision logic as a [`time::Monotonic`] argument.

pub mod answer;
pub mod error;
pub mod expert;
pub mod hash;
pub mod id;
pub mod load;
pub mod published;
pub mod request;
pub mod time;
