//! Which entries a caller should use.

use auburnline_caller::Discovery;
use auburnline_caller::Place;
use auburnline_core::id::InstanceId;
use auburnline_core::published::Entry;
use auburnline_core::time::Monotonic;
use auburnline_membership::discovery;
use auburnline_membership::discovery::Candidate;
use auburnline_process::board;
use rand::Rng as _;

use crate::state::State;

impl State {
    /// Names the entries to use, own failure domain first.
    pub(crate) fn discover(&mut self) -> Discovery {
        let now = self.clock.now();
        let mut candidates = Vec::new();
        if let Some(checked) = self.configurations.in_force() {
            let entries = checked.fleet().entries.iter();
            candidates.extend(entries.map(|(name, entry)| self.candidate(name, entry, now)));
        }
        let seed = self.rng.random();
        let offer = discovery::offer(&candidates, Some(&self.settings.failure_domain), seed);
        let lifetime = offer
            .lifetime
            .min(self.settings.timing.discovery_lifetime());
        Discovery {
            entries: offer.entries.iter().map(place).collect(),
            lifetime_ms: board::millis(lifetime),
        }
    }

    fn candidate(&self, name: &InstanceId, entry: &Entry, now: Monotonic) -> Candidate {
        let me = *name == self.settings.instance;
        let status = self.fleet.view().status(name, now);
        Candidate {
            instance: name.clone(),
            address: entry.caller,
            failure_domain: entry.failure_domain.clone(),
            weight: 1,
            is_up: me || status.is_up,
            is_live: me || status.is_live,
            is_leaving: if me {
                self.stay.is_leaving()
            } else {
                status.leaving.is_some()
            },
        }
    }
}

fn place(candidate: &Candidate) -> Place {
    Place {
        instance: candidate.instance.to_string(),
        address: candidate.address.to_string(),
        failure_domain: candidate.failure_domain.to_string(),
    }
}
