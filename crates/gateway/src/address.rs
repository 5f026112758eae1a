//! Resolves which of several upstreams listed at one address runs there.
//!
//! An address is reused after its upstream has ended, while the old entry may still be listed, so
//! the upstream that appeared last is the one that runs, unless the process at the address has said
//! that it is another one. Entries of services that the configuration does not define come from
//! other writers and are ignored here.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use crate::route::ServiceId;
use crate::spread::Revision;
use crate::upstream::Upstream;
use crate::upstream::UpstreamId;

/// Upstreams that have been listed, by address.
#[derive(Clone, Debug, Default)]
pub(crate) struct Index {
    listed: HashMap<SocketAddr, Vec<Listed>>,
    /// Services that the configuration defines; `None` before the first configuration, when all
    /// count.
    services: Option<HashSet<ServiceId>>,
}

/// An upstream that has been listed at an address.
#[derive(Clone, Debug)]
struct Listed {
    id: UpstreamId,
    service: ServiceId,
    appeared: Revision,
    /// Whether the process at the address has said that it is another upstream.
    is_misplaced: bool,
}

impl Index {
    /// Sets the services that the configuration in force defines.
    pub(crate) fn set_services(&mut self, services: impl IntoIterator<Item = ServiceId>) {
        self.services = Some(services.into_iter().collect());
    }

    /// Records a listed upstream.
    pub(crate) fn record(&mut self, upstream: &Upstream) {
        let listed = self.listed.entry(upstream.address).or_default();
        let (id, appeared) = (&upstream.id, upstream.appeared);
        let known = listed.iter_mut().find(|known| known.id == *id);
        match known {
            Some(known) if known.appeared >= appeared => {}
            Some(known) => {
                known.service = upstream.service.clone();
                known.appeared = appeared;
                known.is_misplaced = false;
            }
            None => listed.push(Listed {
                id: id.clone(),
                service: upstream.service.clone(),
                appeared,
                is_misplaced: false,
            }),
        }
    }

    /// Removes all addresses but those of the upstreams that are still listed, and of what was
    /// listed there before all but the last of each service.
    pub(crate) fn retain(&mut self, members: &HashSet<(SocketAddr, UpstreamId)>) {
        let used: HashSet<_> = members.iter().map(|(address, _)| *address).collect();
        self.listed.retain(|address, _| used.contains(address));
        for (address, listed) in &mut self.listed {
            let mut last: HashMap<ServiceId, Revision> = HashMap::new();
            for one in listed.iter().filter(|one| !one.is_misplaced) {
                let last = last.entry(one.service.clone()).or_default();
                *last = one.appeared.max(*last);
            }
            listed.retain(|one| {
                let is_last = last.get(&one.service) == Some(&one.appeared);
                is_last || members.contains(&(*address, one.id.clone()))
            });
        }
    }

    /// Records that the process at the address of an upstream is another one; returns whether that
    /// is news.
    pub(crate) fn mark_misplaced(&mut self, upstream: &Upstream) -> bool {
        let listed = self.listed.get_mut(&upstream.address);
        let mut listed = listed.into_iter().flatten();
        let known = listed.find(|known| known.is_of(upstream) && !known.is_misplaced);
        known.is_some_and(|known| {
            known.is_misplaced = true;
            true
        })
    }

    /// Returns whether no other upstream is known to run at its address.
    pub(crate) fn is_newest(&self, upstream: &Upstream) -> bool {
        let listed = self.listed.get(&upstream.address);
        let mut others = listed.into_iter().flatten().filter(|one| {
            if one.is_of(upstream) {
                one.is_misplaced
            } else {
                !one.is_misplaced && one.appeared > upstream.appeared
            }
        });
        !others.any(|one| self.is_configured(&one.service))
    }

    fn is_configured(&self, service: &ServiceId) -> bool {
        let services = self.services.as_ref();
        services.is_none_or(|services| services.contains(service))
    }
}

impl Listed {
    fn is_of(&self, upstream: &Upstream) -> bool {
        self.id == upstream.id && self.appeared == upstream.appeared
    }
}
