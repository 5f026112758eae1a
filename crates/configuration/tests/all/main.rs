//! Tests of the published configuration.

mod check;
mod lookup;
mod parcel;
mod schedule;
mod spread;
mod support;
