//! The sparse graph on which entries gossip.
//!
//! Each entry picks a few others by rendezvous hashing, so that entries with the same published
//! fleet agree on the links without exchanging messages. A ring connects the entries of a failure
//! domain, and links between failure domains connect the rings. Only a few entries of a domain, the
//! bridges, have links to other regions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use auburnline_core::hash::rendezvous_order;
use auburnline_core::id::FailureDomainId;
use auburnline_core::id::InstanceId;
use auburnline_core::id::RegionId;

/// Neighbours that an entry picks in its failure domain, besides its successor on the ring.
pub const NEAR: usize = 2;
/// Neighbours that an entry picks in other failure domains of its region.
pub const FAR: usize = 2;
/// Entries of each failure domain that have links to other regions.
pub const BRIDGES: usize = 3;
/// Links to other regions that each bridge picks.
pub const BRIDGE_LINKS: usize = 2;

/// Location of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Failure domain, whose entries form one ring.
    pub failure_domain: FailureDomainId,
    /// Region of the failure domain; only bridges pick neighbours outside it.
    pub region: RegionId,
}

/// Returns the neighbours that `me` picks among the published entries; none if it is not one.
///
/// Sessions are bidirectional, so an entry also gossips with those that pick it.
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

/// Returns whether `me` is one of the [`BRIDGES`] entries of its failure domain.
fn is_bridge(me: &str, place: &Place, near: &[InstanceId]) -> bool {
    let mut names = near.to_vec();
    names.push(me.into());
    // The key is hashed: entries agree on the bridges only if all use the same one.
    let key = format!("gate/{}", place.failure_domain);
    rendezvous_order(&key, &mut names);
    names.iter().take(BRIDGES).any(|name| &**name == me)
}

fn best(me: &str, mut names: Vec<InstanceId>, count: usize) -> Vec<InstanceId> {
    rendezvous_order(&format!("gossip/{me}"), &mut names);
    names.truncate(count);
    names
}
