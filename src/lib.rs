//! auburnline, a load balancer for expert-parallel model groups.
//!
//! This package is thin: it re-exports the shared types and holds the daemons' command lines and
//! the integration tests. The
//! decisions and the processes are in the crates below `crates/`.

pub use auburnline_core as core;
