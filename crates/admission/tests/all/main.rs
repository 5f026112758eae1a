//! Tests of who gets scarce capacity.

mod comeback;
mod patience;
mod queue;
mod standing;
mod startup;
