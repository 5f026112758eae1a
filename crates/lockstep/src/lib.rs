//! Change of expert maps in groups where one rank can hold all.
//!
//! The ranks of a group run each pass together and don't compare their maps, so a map must change on
//! all of them at one pass or on none. [`change`] takes a group through that by orders that may be
//! lost, late or doubled; [`popularity`] learns which experts are chosen, [`plan`] says which map is
//! worth a change at the [`cost`] of its passes, and [`coordinator`] joins them for the sidecar beside rank 0; [`told`] is what it then has to
//! send and to log, and [`traffic`] how much of it a link bears. [`tally`] adds up the counts of several ranks, [`collecting`] says whose, [`asking`] says
//! when a lead asks who serves. [`deputy`] ends a hold whose lead fell silent. [`message`] is what sidecars say to each
//! other. `auburnline-experts` does the same for engines in which each rank holds by itself. Nothing here sends or reads a clock.

pub mod asking;
pub mod change;
pub mod collecting;
pub mod coordinator;
pub mod cost;
pub mod deputy;
pub mod layout;
pub mod message;
mod outstanding;
pub mod passes;
pub mod plan;
pub mod popularity;
pub mod sight;
pub mod tally;
pub mod told;
pub mod traffic;

pub use coordinator::Coordinator;

/// Returns a small count as a number to reckon with.
pub(crate) fn to_f64(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
