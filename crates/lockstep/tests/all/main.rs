//! Tests of the decisions on expert maps.

mod change;
mod coordinator;
mod deputy;
mod explore;
mod plan;
mod popularity;
mod support;
