//! Loopback addresses that no other deployment uses.
//!
//! Each deployment takes a host address in 127.0.0.0/8 of its own, so that its fixed ports meet
//! neither another test's nor the kernel's.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

/// First port of a deployment.
const FIRST_PORT: u16 = 4000;

static NEXT: AtomicU8 = AtomicU8::new(1);

/// Addresses of one deployment.
#[derive(Debug)]
pub(crate) struct Net {
    host: IpAddr,
    next: u16,
}

impl Net {
    pub(crate) fn new() -> Net {
        let process = std::process::id();
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let [.., high, low] = process.to_be_bytes();
        let host = IpAddr::V4(Ipv4Addr::new(127, 1 + high % 254, low, number.max(1)));
        Net {
            host,
            next: FIRST_PORT,
        }
    }

    /// Returns an address that was not given out before.
    pub(crate) fn address(&mut self) -> SocketAddr {
        self.next += 1;
        SocketAddr::new(self.host, self.next)
    }
}
