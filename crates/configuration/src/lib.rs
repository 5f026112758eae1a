//! Published configuration: validation, lookups, differences, acceptance and distribution.
//!
//! [`checked::Checked::parse`] turns published bytes into one immutable value, or returns the
//! defects with the paths of their fields. It is a pure function of the bytes, so all processes
//! agree on what is valid. The daemons share the result in an `Arc` and look up pools, slots and
//! limits in it.
//!
//! [`spread::Spread`] decides what a process reads from the configuration service, requests from
//! peers and announces to them, so that an accepted revision soon is in force in all processes and
//! none reverts to a lower one. [`readiness`] decides whether the process may send new work. This
//! crate does no I/O: the caller carries out the [`spread::Action`]s and reports
//! [`spread::Event`]s.

pub mod acceptance;
pub mod checked;
pub mod defect;
pub mod difference;
pub mod head;
pub mod note;
pub mod parcel;
pub mod readiness;
pub mod schedule;
pub mod source;
pub mod spread;

mod check;
mod lookup;
mod parse;
mod sessions;
mod staging;
