//! The integration tests, one module a theme, in one binary.

mod answers;
mod configuration;
mod descriptors;
mod docs;
mod drain;
mod experts;
mod limits;
mod memory;
mod once;
mod recovery;
mod rehearsal;
mod retries;
mod style;
mod support;
