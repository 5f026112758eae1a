//! Tests of who gets scarce capacity.

mod exposure;
mod forecast;
mod standing;
