//! Small stand-ins for upstreams and platform.
//!
//! Each stand-in speaks the published protocol of what it stands for, over HTTP/1.1, and has a
//! second set of paths under `/test` by which a test sets faults and reads effects. It runs on a
//! thread of its own, so that tests may embed it, and ends with its [`server::Handle`]. The
//! stand-ins are for tests only: they keep all they did, in memory, and protect nothing.

pub mod control;
pub mod effects;
pub mod engine;
pub mod platform;
pub mod relay;
pub mod scripted;
pub mod server;
pub mod service;
pub mod text;
pub mod weights;

mod answer;
