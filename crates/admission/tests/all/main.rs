//! Tests of who gets scarce capacity.

mod comeback;
mod standing;
mod startup;
