//! Tests of the placement crate, in one binary.

mod fleet;
mod group;
mod random;
