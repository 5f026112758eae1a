//! Step-safe change of a group's expert map.
//!
//! The crate only decides: it does no I/O, reads no clock and starts no thread. The [`coordinator`]
//! (in the slot beside rank 0) drives a change through [`order::Order`]s to the [`member`] in each
//! instance's slot, which is the only sender of orders to its own ranks. [`rank`] is the rank's side,
//! which the stand-in engine embeds. [`fence`] allocates fencing numbers, and [`bandwidth`] keeps the
//! weight loads of all groups within the weight store's rate.
//!
//! Invariant: in every step, all ranks use the same map. It holds because an armed rank never enters
//! its switch step before it is released, and releases are sent only after every rank has reported to
//! be armed for the same step under the coordinator's own fencing number.

pub mod bandwidth;
pub mod coordinator;
pub mod fence;
pub mod member;
pub mod order;
pub mod rank;
