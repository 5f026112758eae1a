//! What a rehearsal does.

use std::time::Duration;

use crate::rehearsal::fault::Kind;
use crate::rehearsal::plant::Planted;

/// Settings of a rehearsal.
#[derive(Clone, Debug)]
pub struct Plan {
    pub(crate) seed: u64,
    pub(crate) requests: u64,
    pub(crate) callers: usize,
    pub(crate) entries: usize,
    pub(crate) groups: usize,
    pub(crate) services: usize,
    pub(crate) every: Duration,
    pub(crate) kinds: Vec<Kind>,
    pub(crate) planted: Option<Planted>,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            seed: 1,
            requests: 1_000,
            callers: 12,
            entries: 3,
            groups: 4,
            services: 2,
            every: Duration::from_millis(700),
            kinds: Kind::ALL.to_vec(),
            planted: None,
        }
    }
}

/// Writes one method for each setting.
macro_rules! settings {
    ($($(#[$doc:meta])* $name:ident: $kind:ty,)*) => {
        impl Plan {
            $(
                $(#[$doc])*
                #[must_use]
                pub fn $name(mut self, value: $kind) -> Plan {
                    self.$name = value;
                    self
                }
            )*
        }
    };
}

settings! {
    /// Sets the seed of requests and faults.
    seed: u64,
    /// Sets the number of requests.
    requests: u64,
    /// Sets the callers that send at once.
    callers: usize,
    /// Sets the entries.
    entries: usize,
    /// Sets the groups that draft, of one slot each.
    groups: usize,
    /// Sets the slots of the plain service.
    services: usize,
    /// Sets the time between the starts of two faults.
    every: Duration,
    /// Sets the kinds of faults to draw from; none for a run without.
    kinds: Vec<Kind>,
    /// Sets a fault that is planted in the recorded history.
    planted: Option<Planted>,
}
