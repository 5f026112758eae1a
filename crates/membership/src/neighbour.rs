//! The sparse graph on which entries gossip.
//!
//! Each entry picks a few others by rendezvous, so that two entries with the same published fleet
//! agree upon the links without a word. In a failure domain a ring joins all; links to other
//! failure domains join the domains; only a few entries of a domain hold links to other regions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use auburnline_core::hash::rendezvous_order;
use auburnline_core::id::FailureDomainId;
use auburnline_core::id::InstanceId;
use auburnline_core::id::RegionId;

/// Neighbours that an entry picks in its failure domain, beside the next on the ring.
pub const NEAR: usize = 2;
/// Neighbours that an entry picks in other failure domains of its region.
pub const FAR: usize = 2;
/// Entries of a failure domain that hold links to other regions.
pub const BRIDGES: usize = 3;
/// Links to other regions that each of them holds.
pub const BRIDGE_LINKS: usize = 2;

/// Place of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Failure domain.
    pub failure_domain: FailureDomainId,
    /// Region.
    pub region: RegionId,
}

/// Returns the neighbours that `me` picks among the published entries.
///
/// Sessions serve both ways, so an entry also gossips with those that pick it.
#[must_use]
pub fn pick(me: &str, entries: &BTreeMap<InstanceId, Place>) -> BTreeSet<InstanceId> {
    let Some(place) = entries.get(me) else {
        return BTreeSet::new();
    };
    let mut near = Vec::new();
    let mut far = Vec::new();
    let mut other_regions = Vec::new();
    for (name, other) in entries.iter().filter(|(name, _)| &***name != me) {
        if other.failure_domain == place.failure_domain {
            near.push(name.clone());
        } else if other.region == place.region {
            far.push(name.clone());
        } else {
            other_regions.push(name.clone());
        }
    }
    let next = near.iter().find(|name| &***name > me).or(near.first());
    let mut picked: BTreeSet<InstanceId> = next.into_iter().cloned().collect();
    let is_bridge = is_bridge(me, place, &near);
    picked.extend(best(me, near, NEAR));
    picked.extend(best(me, far, FAR));
    if is_bridge {
        picked.extend(best(me, other_regions, BRIDGE_LINKS));
    }
    picked
}

/// Returns whether `me` is among the few of its failure domain that hold links to other regions.
fn is_bridge(me: &str, place: &Place, near: &[InstanceId]) -> bool {
    let mut names = near.to_vec();
    names.push(me.into());
    let key = format!("gate/{}", place.failure_domain);
    rendezvous_order(&key, &mut names);
    names.iter().take(BRIDGES).any(|name| &**name == me)
}

fn best(me: &str, mut names: Vec<InstanceId>, count: usize) -> Vec<InstanceId> {
    rendezvous_order(&format!("gossip/{me}"), &mut names);
    names.truncate(count);
    names
}
