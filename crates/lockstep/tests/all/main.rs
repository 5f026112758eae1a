//! Tests of the decisions on expert map changes.

mod asking;
mod change;
mod collecting;
mod coordinator;
mod cost;
mod explore;
mod layout;
mod message;
mod output;
mod passes;
mod plan;
mod popularity;
mod standby;
mod support;
mod tally;
mod traffic;
