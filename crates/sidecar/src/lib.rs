//! Sidecar process, which runs next to each engine.
//!
//! A sidecar polls the state and the expert activations of its own rank and sends orders to its engine. The sidecar
//! next to rank 0 is the leader, which changes the expert map of the group. The other sidecars report their ranks to
//! it and carry out its orders. `auburnline-lockstep` makes all decisions; an [`Engine`] implements the protocol of
//! the platform's engines.

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
