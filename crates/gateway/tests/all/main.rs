//! Tests of a gateway's decisions.

mod event;
mod gateway;
mod knowledge;
mod neighbour;
mod pace;
mod route;
mod support;
mod upstream;
