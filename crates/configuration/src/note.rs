//! Log messages about the distribution of configurations.

use std::fmt::Display;
use std::fmt::Formatter;
use std::time::Duration;

use auburnline_core::id::InstanceId;

use crate::defect::Refusal;
use crate::head::Head;
use crate::readiness::Origin;
use crate::readiness::Reason;

/// Event to be logged; its `Display` is the message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// A configuration came into force.
    Installed {
        /// Head of the new configuration.
        head: Head,
        /// Head of the configuration that it replaced, if any.
        before: Option<Head>,
        /// Source of its bytes.
        origin: Origin,
    },
    /// An invalid configuration was refused.
    Refused {
        /// Source of its bytes.
        origin: Origin,
        /// Defects found.
        refusal: Refusal,
    },
    /// The revision in force was observed with another digest.
    Conflict {
        /// Head that was observed.
        head: Head,
    },
    /// A peer did not answer a request in time.
    Unanswered {
        /// Peer that was asked.
        peer: InstanceId,
    },
    /// This process became (`true`) or ceased to be (`false`) a direct reader.
    Reader(bool),
    /// This process did not run for this long.
    Paused(Duration),
    /// The readiness of this process changed; the error says why it isn't ready.
    Ready(Result<(), Reason>),
}

impl Display for Note {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Note::Installed {
                head,
                before,
                origin,
            } => {
                let before = before.as_ref().map_or("none".into(), Head::to_string);
                write!(f, "installed {head}, before {before}, from {origin:?}")
            }
            Note::Refused { origin, refusal } => write!(f, "refused from {origin:?}: {refusal}"),
            Note::Conflict { head } => write!(f, "conflict: also seen {head}"),
            Note::Unanswered { peer } => write!(f, "no answer from {peer}"),
            Note::Reader(is_reader) => write!(f, "direct reader: {is_reader}"),
            Note::Paused(gap) => write!(f, "paused for {gap:?}"),
            Note::Ready(Ok(())) => f.write_str("ready"),
            Note::Ready(Err(reason)) => write!(f, "not ready: {reason:?}"),
        }
    }
}
