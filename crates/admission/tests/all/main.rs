//! Tests of who gets scarce capacity.

mod comeback;
mod demand;
mod exposure;
mod forecast;
mod patience;
mod queue;
mod reserve;
mod share;
mod standing;
mod startup;
