//! What the deciding duty is told.

use auburnline_attempt::stream::Whole;
use auburnline_core::answer::Failure;
use auburnline_core::id::Attempt;
use auburnline_core::id::Incarnation;
use auburnline_core::id::Offset;
use auburnline_core::id::Revision;
use auburnline_peer::node;
use auburnline_peer::wire::Stream;
use auburnline_process::reader::Reading;

/// One event of the deciding duty.
#[derive(Debug)]
pub(crate) enum Event {
    /// Something happened at a session.
    Peer(node::Event),
    /// An answer ended, or stopped.
    Answer(Stream, Answer),
    /// The platform answered.
    Platform(Reading),
    /// A signal to stop came.
    Stop,
    /// An operator asks for a planned stop.
    Drain,
}

/// How an answer ended, or stopped.
#[derive(Debug)]
pub(crate) enum Answer {
    /// It is whole, and was passed on.
    Whole(Whole),
    /// The slot says that there is none.
    Failure {
        /// What it says.
        failure: Failure,
        /// Which incarnation says so.
        incarnation: Incarnation,
        /// Of which attempt.
        attempt: Attempt,
        /// What that slot has in force.
        revision: Revision,
        /// How much was passed on before.
        offset: Offset,
    },
    /// The session is gone; this much was passed on.
    Cut(Offset),
    /// The last frame does not fit what came.
    Damaged,
    /// The caller is gone or does not take its answer; this much was passed on.
    Untaken(Offset),
}
