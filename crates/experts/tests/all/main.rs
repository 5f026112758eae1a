//! Tests of the change of map, one module a theme, in one binary.

mod bandwidth;
mod explore;
mod injected;
mod random;
mod world;
