//! Resolves which of several upstreams listed at one address runs there.
//!
//! An address is reused after its upstream has ended, while the old entry may still be listed, so
//! the upstream that appeared last is the one that runs. Entries of services that the configuration
//! does not define come from other writers and are ignored here.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use crate::route::ServiceId;
use crate::spread::Revision;
use crate::upstream::Upstream;

/// Upstreams that have been listed, by address.
#[derive(Clone, Debug, Default)]
pub(crate) struct Index {
    /// For each service at the address, the revision at which its newest upstream appeared.
    appeared: HashMap<SocketAddr, Vec<(ServiceId, Revision)>>,
    /// Services that the configuration defines; `None` before the first configuration, when all
    /// count.
    services: Option<HashSet<ServiceId>>,
}

impl Index {
    /// Sets the services that the configuration in force defines.
    pub(crate) fn set_services(&mut self, services: impl IntoIterator<Item = ServiceId>) {
        self.services = Some(services.into_iter().collect());
    }

    /// Records a listed upstream.
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

    /// Removes all addresses but those in `used`.
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
        !later.any(|(service, _)| self.is_configured(service))
    }

    fn is_configured(&self, service: &ServiceId) -> bool {
        let services = self.services.as_ref();
        services.is_none_or(|services| services.contains(service))
    }
}
