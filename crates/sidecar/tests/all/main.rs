//! Tests of the sidecar with a mock engine.

mod order;
