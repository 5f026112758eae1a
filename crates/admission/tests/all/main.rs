//! Tests of who gets scarce capacity.

mod patience;
mod queue;
mod standing;
