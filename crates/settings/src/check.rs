//! Checks shared by the settings of entries and slots.

use std::net::SocketAddr;

use crate::error::Fault;
use crate::error::Reason;
use crate::token::MIN_TOKEN_CHARACTERS;
use crate::token::Token;

/// Path of a field and the address in it.
pub(crate) type NamedAddress = (&'static str, SocketAddr);

/// Refuses a name that is empty or has blanks, control or non-ASCII characters.
///
/// Such a character would break a log line or a key.
pub(crate) fn name(path: &str, name: &str, faults: &mut Vec<Fault>) {
    if name.is_empty() {
        faults.push(Fault::new(path, Reason::Empty));
    } else if !name.bytes().all(|byte| byte.is_ascii_graphic()) {
        faults.push(Fault::new(path, Reason::BadName));
    }
}

/// Refuses a token that is too short or not valid in a header.
pub(crate) fn token(path: &str, token: &Token, faults: &mut Vec<Fault>) {
    name(path, token.secret(), faults);
    let length = token.secret().chars().count();
    if (1..MIN_TOKEN_CHARACTERS).contains(&length) {
        faults.push(Fault::new(path, Reason::ShortToken(MIN_TOKEN_CHARACTERS)));
    }
}

/// Refuses zero and values above `max`.
pub(crate) fn number(path: &str, value: u64, max: u64, faults: &mut Vec<Fault>) {
    if value == 0 {
        faults.push(Fault::new(path, Reason::Zero));
    } else if value > max {
        faults.push(Fault::new(path, Reason::TooLarge(max)));
    }
}

/// Refuses an address that can't be connected to: an unspecified IP address or port 0.
pub(crate) fn target(path: &str, address: SocketAddr, faults: &mut Vec<Fault>) {
    if address.ip().is_unspecified() {
        faults.push(Fault::new(path, Reason::NoHost));
    }
    if address.port() == 0 {
        faults.push(Fault::new(path, Reason::NoPort));
    }
}

/// Refuses seeds that can't be connected to and repeated ones.
pub(crate) fn seeds(seeds: &[SocketAddr], faults: &mut Vec<Fault>) {
    for (index, &seed) in seeds.iter().enumerate() {
        let path = format!("seeds[{index}]");
        target(&path, seed, faults);
        if seeds[..index].contains(&seed) {
            faults.push(Fault::new(path, Reason::Repeated));
        }
    }
}

/// Refuses each of `addresses` that conflicts with an earlier one.
pub(crate) fn overlaps(addresses: &[NamedAddress], faults: &mut Vec<Fault>) {
    for (index, &(path, address)) in addresses.iter().enumerate() {
        let earlier = addresses[..index]
            .iter()
            .find(|(_, other)| overlap(*other, address));
        if let Some(&(other, _)) = earlier {
            faults.push(Fault::new(path, Reason::Overlap(other)));
        }
    }
}

/// Returns whether two addresses conflict: same port, and the same or an unspecified IP address.
///
/// Port 0 never conflicts, since the kernel chooses a free port for it.
fn overlap(a: SocketAddr, b: SocketAddr) -> bool {
    let hosts_overlap = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() != 0 && a.port() == b.port() && hosts_overlap
}

/// Refuses an address that doesn't listen at the published one.
///
/// An unspecified IP address listens at every published one.
pub(crate) fn published(
    path: &str,
    address: SocketAddr,
    published: SocketAddr,
    faults: &mut Vec<Fault>,
) {
    let host = address.ip() == published.ip() || address.ip().is_unspecified();
    if !host || address.port() != published.port() {
        faults.push(Fault::new(path, Reason::Differs(published.to_string())));
    }
}
