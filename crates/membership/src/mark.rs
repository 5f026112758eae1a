//! Leaving marks and suspicions, as entries exchange them by gossip.
//!
//! A leaving notice applies to one incarnation of an instance and is never revoked. An instance
//! that restarts has a new incarnation, to which marks of the old one do not apply. The list does
//! not contain incarnations, so its marks carry its version: only a higher version or a new
//! incarnation clears them. An instance that restarted while the list lags is thus not excluded
//! permanently.

use auburnline_core::id::Incarnation;
use auburnline_core::id::InstanceId;
use auburnline_core::id::Revision;
use serde::Deserialize;
use serde::Serialize;

/// Source of a leaving mark.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// Leaving notice or heartbeat of the instance itself.
    Notice,
    /// The published list.
    List,
    /// The preset in force at this revision, until a higher revision clears the mark.
    Preset(Revision),
    /// Gossip from another entry.
    Rumour,
}

/// Gossip message from one entry to another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rumour {
    /// This incarnation is leaving.
    Leaving {
        /// Instance that the message is about.
        instance: InstanceId,
        /// Incarnation that the message is about; others are not affected.
        incarnation: Incarnation,
    },
    /// This version of the list marked the instance as leaving.
    Listed {
        /// Instance that the message is about.
        instance: InstanceId,
        /// Version of the list; a mark of a version that is not newer is ignored.
        version: u64,
    },
    /// This incarnation replaced earlier ones.
    Replaced {
        /// Instance that the message is about.
        instance: InstanceId,
        /// Its current incarnation.
        incarnation: Incarnation,
        /// Incarnations that it replaced.
        retired: Vec<Incarnation>,
    },
    /// The sender's session to this incarnation timed out.
    Suspect {
        /// Instance that the message is about.
        instance: InstanceId,
        /// Incarnation that the message is about; others are not affected.
        incarnation: Incarnation,
    },
}

impl Rumour {
    /// Returns the instance that the message is about.
    #[must_use]
    pub fn instance(&self) -> &InstanceId {
        match self {
            Rumour::Leaving { instance, .. }
            | Rumour::Listed { instance, .. }
            | Rumour::Replaced { instance, .. }
            | Rumour::Suspect { instance, .. } => instance,
        }
    }
}
