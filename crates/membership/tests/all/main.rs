//! Tests of membership, discovery and drain decisions.

mod discovery;
mod lifecycle;
mod neighbour;
mod support;
mod view;
