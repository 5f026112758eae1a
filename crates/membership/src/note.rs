//! Log entries of membership.

use std::fmt::Display;
use std::fmt::Formatter;
use std::time::Duration;

use auburnline_core::id::Incarnation;
use auburnline_core::id::InstanceId;

use crate::mark::Cause;

/// One log entry; its `Display` is the message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// An instance was marked as leaving.
    Marked {
        /// Instance that leaves.
        instance: InstanceId,
        /// Source of the mark.
        cause: Cause,
    },
    /// A new incarnation replaced an old one.
    Replaced {
        /// Instance that restarted.
        instance: InstanceId,
        /// New incarnation.
        incarnation: Incarnation,
    },
    /// A session timed out.
    Silent {
        /// Instance at the other end of the session.
        instance: InstanceId,
        /// Time since its last message.
        silence: Duration,
    },
    /// A list older than the one in use was ignored; one of equal version is not logged.
    OldList {
        /// Version of the ignored list.
        version: u64,
        /// Version of the list in use.
        held: u64,
    },
}

impl Display for Note {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Note::Marked { instance, cause } => write!(f, "{instance} leaves, by {cause:?}"),
            Note::Replaced {
                instance,
                incarnation,
            } => write!(f, "{instance} is now incarnation {incarnation:016x}"),
            Note::Silent { instance, silence } => {
                write!(f, "session to {instance} silent for {silence:?}, reopened")
            }
            Note::OldList { version, held } => {
                write!(f, "list {version} ignored, {held} is held")
            }
        }
    }
}
