//! What the deciding duty is told.

use auburnline_peer::node;
use auburnline_process::reader::Reading;

use crate::upstream;

/// One event of the deciding duty.
#[derive(Debug)]
pub(crate) enum Event {
    /// Something happened at a session.
    Peer(node::Event),
    /// Something happened at the upstream.
    Upstream(upstream::Event),
    /// The platform answered.
    Platform(Reading),
    /// A signal to stop came.
    Stop,
    /// An operator asks for a planned stop.
    Drain,
}
