//! Which of several upstreams that are listed at one address runs there.
//!
//! An address is used again after its upstream ended, while the old entry may still be listed: the newest one runs
//! there. Entries of services that the configuration does not name come from other writers and tell nothing of who
//! does.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use crate::route::ServiceId;
use crate::spread::Revision;
use crate::upstream::Upstream;

/// What was listed at each address.
#[derive(Clone, Debug, Default)]
pub(crate) struct Index {
    /// When the newest upstream of each service appeared.
    appeared: HashMap<SocketAddr, Vec<(ServiceId, Revision)>>,
    /// Services that the configuration names; all count until one was read.
    services: Option<HashSet<ServiceId>>,
}

impl Index {
    /// Takes the services that the configuration in force names.
    pub(crate) fn set_services(&mut self, services: impl IntoIterator<Item = ServiceId>) {
        self.services = Some(services.into_iter().collect());
    }

    /// Takes an upstream as listed.
    pub(crate) fn record(&mut self, upstream: &Upstream) {
        let listed = self.appeared.entry(upstream.address).or_default();
        let known = listed
            .iter_mut()
            .find(|(service, _)| *service == upstream.service);
        match known {
            Some((_, appeared)) => *appeared = upstream.appeared.max(*appeared),
            None => listed.push((upstream.service.clone(), upstream.appeared)),
        }
    }

    /// Forgets the addresses at which nothing is listed any more.
    pub(crate) fn retain(&mut self, used: &HashSet<SocketAddr>) {
        self.appeared.retain(|address, _| used.contains(address));
    }

    /// Returns whether no later upstream was listed at its address.
    pub(crate) fn is_newest(&self, upstream: &Upstream) -> bool {
        let listed = self.appeared.get(&upstream.address);
        let mut later = listed
            .into_iter()
            .flatten()
            .filter(|(_, appeared)| *appeared > upstream.appeared);
        !later.any(|(service, _)| self.is_named(service))
    }

    fn is_named(&self, service: &ServiceId) -> bool {
        let services = self.services.as_ref();
        services.is_none_or(|services| services.contains(service))
    }
}
