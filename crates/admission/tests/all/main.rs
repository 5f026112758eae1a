//! Tests of who gets scarce capacity.

mod standing;
