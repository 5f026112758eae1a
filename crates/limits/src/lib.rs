//! Limits of workspaces and overload control, without I/O and without reading a clock.
//!
//! [`lease`] shares a workspace's token rate among the entries, in leases that its home entry grants.
//! [`bucket`] holds an entry's leases and charges requests to them. [`queue`] orders the requests that
//! wait at a slot: fairly among workspaces by tokens, with priorities that can't starve other work,
//! and with load shedding by deadline. Nothing here sends: each decision returns typed messages or
//! outcomes.

pub mod bucket;
pub mod lease;
pub mod queue;
