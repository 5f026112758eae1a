//! Reconciliation of groups with the preset in force.
//!
//! This crate only makes decisions: it does no I/O, reads no clock and starts no thread. [`turn`]
//! decides without a leader which groups of a pool may change now. [`reconcile`] is the state machine
//! that takes one group from its current placement to its target.

pub mod reconcile;
pub mod turn;
