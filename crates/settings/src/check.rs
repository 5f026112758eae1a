//! Checks that several settings share.

use std::net::SocketAddr;

use crate::error::Fault;
use crate::error::Reason;
use crate::token::MIN_TOKEN_CHARACTERS;
use crate::token::Token;

/// An address with the path of its field.
pub(crate) type NamedAddress = (&'static str, SocketAddr);

/// Refuses an empty name and one that would break a log line or a key.
pub(crate) fn name(path: &str, name: &str, faults: &mut Vec<Fault>) {
    if name.is_empty() {
        faults.push(Fault::new(path, Reason::Empty));
    } else if !name.bytes().all(|byte| byte.is_ascii_graphic()) {
        faults.push(Fault::new(path, Reason::BadName));
    }
}

/// Refuses a token that is short or that a header can't carry.
pub(crate) fn token(path: &str, token: &Token, faults: &mut Vec<Fault>) {
    name(path, token.secret(), faults);
    let length = token.secret().chars().count();
    if (1..MIN_TOKEN_CHARACTERS).contains(&length) {
        faults.push(Fault::new(path, Reason::ShortToken(MIN_TOKEN_CHARACTERS)));
    }
}

/// Refuses zero and what exceeds `most`.
pub(crate) fn number(path: &str, value: u64, most: u64, faults: &mut Vec<Fault>) {
    if value == 0 {
        faults.push(Fault::new(path, Reason::Zero));
    } else if value > most {
        faults.push(Fault::new(path, Reason::TooLarge(most)));
    }
}

/// Refuses an address that nothing can connect to.
pub(crate) fn target(path: &str, address: SocketAddr, faults: &mut Vec<Fault>) {
    if address.ip().is_unspecified() {
        faults.push(Fault::new(path, Reason::NoHost));
    }
    if address.port() == 0 {
        faults.push(Fault::new(path, Reason::NoPort));
    }
}

/// Refuses seeds that nothing can connect to or that stand twice.
pub(crate) fn seeds(seeds: &[SocketAddr], faults: &mut Vec<Fault>) {
    for (index, &seed) in seeds.iter().enumerate() {
        let path = format!("seeds[{index}]");
        target(&path, seed, faults);
        if seeds[..index].contains(&seed) {
            faults.push(Fault::new(path, Reason::Repeated));
        }
    }
}

/// Refuses each of `addresses` that can't be used beside one before it.
pub(crate) fn overlaps(addresses: &[NamedAddress], faults: &mut Vec<Fault>) {
    for (index, &(path, address)) in addresses.iter().enumerate() {
        let before = addresses[..index]
            .iter()
            .find(|(_, other)| overlap(*other, address));
        if let Some(&(other, _)) = before {
            faults.push(Fault::new(path, Reason::Overlap(other)));
        }
    }
}

/// Returns whether two addresses share a port; port 0 lets the kernel choose and shares none.
fn overlap(a: SocketAddr, b: SocketAddr) -> bool {
    let hosts_meet = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() != 0 && a.port() == b.port() && hosts_meet
}

/// Refuses an address that others reach elsewhere, as published.
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
