//! Tests of the change of map in one binary, one module per topic.

mod bandwidth;
mod explore;
mod injected;
mod random;
mod world;
