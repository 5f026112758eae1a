//! Tests of the decisions on expert map changes.

mod asking;
mod change;
mod collecting;
mod coordinator;
mod cost;
mod deputy;
mod explore;
mod layout;
mod message;
mod passes;
mod plan;
mod popularity;
mod support;
mod tally;
mod told;
mod traffic;
