//! What entries and slots have in common.
//!
//! [`exchange`] drives the configuration's decisions, [`link`] keeps which instance stands behind which session and which addresses to dial,
//! [`descriptors`] sizes connections by the descriptors that the system allows,
//! [`reader`] is the duty that reads the configuration service and the instance list, and
//! [`signal`] is the duty that waits for the operator's signals. Roles and their decisions are not
//! here.

pub mod board;
pub mod descriptors;
pub mod exchange;
pub mod fleet;
pub mod link;
pub mod reader;
pub mod signal;
pub mod stay;

use auburnline_core::id::Incarnation;

/// Draws the incarnation of a process that starts.
#[must_use]
pub fn incarnation() -> Incarnation {
    rand::random::<Incarnation>() | 1
}
