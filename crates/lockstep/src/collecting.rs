//! Who collects whose counts.
//!
//! A lead tells the ranks that it knows in parts, the first of each of which collects for the others. Sidecars that may belong to
//! the group, of which nothing was heard yet, get no collector: they show themselves to the lead first. Ranks that were heard keep
//! theirs while others are silent; without it all would send their counts to the lead at once.

use std::net::SocketAddr;

use crate::traffic::parts;

/// A sidecar that is told who leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Receiver {
    /// Its address.
    pub address: SocketAddr,
    /// Who collects the counts of its rank; none if that is the lead.
    pub collector: Option<SocketAddr>,
}

/// Returns who is told what, where so many of the `known` sidecars collect for the others.
#[must_use]
pub fn receivers(
    known: &[SocketAddr],
    collectors: usize,
    unknown: impl Iterator<Item = SocketAddr>,
) -> Vec<Receiver> {
    let told = parts(known, collectors).flat_map(|part| {
        let collector = part.first().copied().filter(|_| part.len() > 1);
        let receiver = move |address: &SocketAddr| Receiver {
            address: *address,
            collector,
        };
        part.iter().map(receiver)
    });
    let new = unknown.filter(|address| !known.contains(address));
    let new = new.map(|address| Receiver {
        address,
        collector: None,
    });
    told.chain(new).collect()
}
