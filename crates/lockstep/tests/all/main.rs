//! Tests of the decisions on expert map changes.

mod aggregation;
mod change;
mod coordinator;
mod cost;
mod explore;
mod layout;
mod message;
mod output;
mod passes;
mod plan;
mod popularity;
mod query;
mod standby;
mod support;
mod tally;
mod traffic;
