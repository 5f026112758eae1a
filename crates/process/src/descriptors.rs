//! Descriptors of an entry or a slot, and the connections for which they suffice.

use std::io;

use auburnline_duty::descriptors;

/// Descriptors of the process itself and of its sessions with others.
const OWN: usize = 64;
/// Descriptors of an operator's connection, which is relayed inside the process, and of a caller's.
const PER_CONNECTION: usize = 4;
/// Least number of connections.
const MIN_CONNECTIONS: usize = 8;

/// Raises the limit on descriptors to what `wanted` connections at each listener need; returns for
/// how many of them it suffices.
///
/// # Errors
///
/// Returns an error that names the limit if it does not suffice to run.
pub fn connections(wanted: usize) -> io::Result<usize> {
    let needed = |connections: usize| OWN + PER_CONNECTION.saturating_mul(connections);
    let least = needed(MIN_CONNECTIONS.min(wanted));
    let limit = descriptors::raise(needed(wanted), least)?;
    Ok(wanted.min((limit - OWN) / PER_CONNECTION))
}
