//! Allocation of fencing numbers without a store.
//!
//! The high bits are the published revision, the low bits count the coordinators under that revision.
//! Two coordinators on different instances have different revisions, because rank 0 moves to another
//! instance only by a published change; the older one can never count up to the newer one's base.
//! Two incarnations on one instance are never alive at the same time, as each holds an exclusive
//! local listening socket. The count therefore only has to exceed what the members have seen. Where
//! two coordinators use the same number, a member accepts only the incarnation that it saw first.

use auburnline_core::id::Fence;
use auburnline_core::id::Revision;

/// Number of low bits, which count the coordinators under one revision.
const COUNT_BITS: u32 = 20;

/// Returns the lowest fencing number of `revision`.
#[must_use]
pub const fn base(revision: Revision) -> Fence {
    revision << COUNT_BITS
}

/// Returns a fencing number above `highest` for a coordinator that has `revision` in force.
///
/// `None` if `highest` belongs to a newer revision, or is the last number of this one: the
/// coordinator must stand down until a newer revision is in force.
#[must_use]
pub const fn next(revision: Revision, highest: Fence) -> Option<Fence> {
    if highest < base(revision) {
        return Some(base(revision) + 1);
    }
    let next = highest + 1;
    if next < base(revision + 1) {
        Some(next)
    } else {
        None
    }
}
