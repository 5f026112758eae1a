//! Tests of the sidecar without an engine of a platform.

mod order;
