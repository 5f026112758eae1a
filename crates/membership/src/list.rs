//! The platform's list of live and leaving instances.
//!
//! The list lags and may be wrong both ways: it may list a dead instance and miss a live one.

use std::collections::BTreeSet;

use auburnline_core::id::InstanceId;
use serde::Deserialize;
use serde::Serialize;

/// One version of the published list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct List {
    /// Version of this list; one that is not above the last one seen is ignored.
    pub version: u64,
    /// Instances that are live and not leaving.
    pub live: BTreeSet<InstanceId>,
    /// Instances that are to leave.
    pub leaving: BTreeSet<InstanceId>,
}

/// State of one instance in a list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Listed {
    /// In neither set.
    #[default]
    Absent,
    /// In [`List::live`] only.
    Live,
    /// In [`List::leaving`].
    Leaving,
}

impl List {
    /// Returns the state of `instance`; leaving takes precedence if it is in both sets.
    #[must_use]
    pub fn listed(&self, instance: &str) -> Listed {
        if self.leaving.contains(instance) {
            Listed::Leaving
        } else if self.live.contains(instance) {
            Listed::Live
        } else {
            Listed::Absent
        }
    }
}
