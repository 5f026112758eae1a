//! Counts of what passes over the sessions of one process.
//!
//! The handles are made once, so that a count costs one addition. Without a recorder they count
//! nothing.

use metrics::Counter;
use metrics::counter;
use metrics::describe_counter;

/// Counts of one direction or both.
pub(crate) struct Traffic {
    pub(crate) bytes_sent: Counter,
    pub(crate) bytes_received: Counter,
    pub(crate) frames_sent: Counter,
    pub(crate) frames_received: Counter,
}

impl Traffic {
    /// Describes the counters and makes their handles.
    pub(crate) fn new() -> Traffic {
        let make = |name: &'static str, text: &'static str| {
            describe_counter!(name, text);
            counter!(name)
        };
        Traffic {
            bytes_sent: make(
                "auburnline_peer_bytes_sent_total",
                "Bytes written to sessions with other processes.",
            ),
            bytes_received: make(
                "auburnline_peer_bytes_received_total",
                "Bytes read from sessions with other processes.",
            ),
            frames_sent: make(
                "auburnline_peer_frames_sent_total",
                "Frames written to sessions with other processes.",
            ),
            frames_received: make(
                "auburnline_peer_frames_received_total",
                "Frames read from sessions with other processes.",
            ),
        }
    }
}
