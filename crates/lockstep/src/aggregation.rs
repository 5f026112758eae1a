//! Assignment of ranks to the sidecars that aggregate their expert counts.
//!
//! The leader splits the sidecars of known ranks into parts; the first of each part aggregates for the rest.
//! Sidecars that may belong to the group but have not been heard from get no aggregator; they first report to the
//! leader. Known ranks keep their aggregator while others are silent; otherwise all would send their counts to the
//! leader at once.

use std::net::SocketAddr;

use crate::traffic::fan_out_parts;

/// A sidecar that gets the leader's heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Receiver {
    /// Address of the sidecar.
    pub address: SocketAddr,
    /// Sidecar that aggregates the counts of its rank; none if they go to the leader.
    pub aggregator: Option<SocketAddr>,
}

/// Returns the receivers of a heartbeat, of which `aggregators` of the `known` ones aggregate for the others.
#[must_use]
pub fn receivers(
    known: &[SocketAddr],
    aggregators: usize,
    unknown: impl Iterator<Item = SocketAddr>,
) -> Vec<Receiver> {
    let assigned = fan_out_parts(known, aggregators).flat_map(|part| {
        let aggregator = part.first().copied().filter(|_| part.len() > 1);
        let receiver = move |address: &SocketAddr| Receiver {
            address: *address,
            aggregator,
        };
        part.iter().map(receiver)
    });
    let new = unknown.filter(|address| !known.contains(address));
    let new = new.map(|address| Receiver {
        address,
        aggregator: None,
    });
    assigned.chain(new).collect()
}
