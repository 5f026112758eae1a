//! Tests of who gets scarce capacity.

mod comeback;
mod exposure;
mod forecast;
mod patience;
mod queue;
mod standing;
mod startup;
