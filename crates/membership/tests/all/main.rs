//! Tests of membership, discovery and drain decisions.

mod discovery;
mod life;
mod neighbour;
mod support;
mod view;
