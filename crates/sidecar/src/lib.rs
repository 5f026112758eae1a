//! The process beside an engine.
//!
//! A sidecar reads what its own rank shows and chose, and gives it orders. The one beside rank 0 leads
//! the changes of its group's expert map; the others show their ranks to it and pass its orders on.
//! What is decided is decided by `auburnline-lockstep`; how an engine spells its messages is told by an
//! [`Engine`].

mod engine;
mod leader;
pub mod order;
mod run;
mod settings;
mod sidecar;

pub use engine::Counts;
pub use engine::Engine;
pub use engine::Reply;
pub use engine::Report;
pub use run::run;
pub use settings::Settings;
