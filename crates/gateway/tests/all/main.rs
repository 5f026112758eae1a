//! Tests of a gateway's decisions.

mod event;
mod gateway;
mod group;
mod knowledge;
mod load;
mod neighbour;
mod pace;
mod quarantine;
mod route;
mod spread;
mod support;
mod upstream;
