//! Membership, discovery and drain decisions.
//!
//! [`view::View`] merges the published list, this process's own observations and gossip from other
//! entries, and decides which instances may get new work. [`discovery`] selects the entries that
//! callers should use, [`lifecycle`] is the life cycle of this process from serving to its end,
//! [`neighbour`] picks the sparse graph on which entries gossip, [`heartbeat`] sets the heartbeat
//! periods, and [`pause`] detects from gaps between events that this process was paused. There is
//! no consensus: a leaving notice applies to one incarnation and is never revoked, so views may be
//! merged in any order.

pub mod discovery;
pub mod heartbeat;
pub mod lifecycle;
pub mod list;
pub mod mark;
pub mod neighbour;
pub mod note;
pub mod pause;
pub mod view;

mod record;
