//! Tests of who gets scarce capacity.

mod demand;
mod reserve;
mod share;
mod standing;
