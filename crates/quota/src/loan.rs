//! A gateway's own share of each limit, lent to one home at a time.
//!
//! A loan names the last beat of the home that its lender heard, and lapses a [`LEASE`] after the home sent that beat. The home
//! judges this by its own clock, however long the loan was on its way; the lender heard the beat later than it was
//! sent, so it knows without asking when the home counts on the share no more. Only then the share goes to another home.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use auburnline_core::id::Incarnation;
use auburnline_core::id::InstanceId;
use auburnline_core::time::Monotonic;
use serde::Deserialize;
use serde::Serialize;

use crate::LenderTag;
use crate::UpstreamTag;
use crate::book::Notice;

/// Time from a home's beat for which a share that was lent on it counts: some beats more than news needs to pass through a fleet
/// of hundreds.
pub const LEASE: Duration = Duration::from_secs(2);

/// What a gateway heard last of a home, by which it lends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sign<'a> {
    /// Home.
    pub home: &'a InstanceId,
    /// Incarnation of the home.
    pub incarnation: Incarnation,
    /// Its last beat that was heard.
    pub beat: u64,
    /// When that was heard.
    pub heard: Monotonic,
    /// Its address towards other gateways.
    pub address: SocketAddr,
}

/// Shares of limits, lent to their home.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Loan {
    /// Lender.
    pub lender: LenderTag,
    /// Most gateways that the lender saw live at once.
    pub fleet: u32,
    /// Incarnation of the home.
    pub incarnation: Incarnation,
    /// Beat of the home that the loan rests on.
    pub beat: u64,
    /// Limits of which the share is lent.
    pub limits: Vec<Notice>,
}

/// Whether a share may be lent to a home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It may not: it may still count at another home.
    Held,
    /// It is lent there for the first time, or after it was lent to another home.
    Moved,
    /// It was lent there before.
    Renewed,
}

/// A share that is lent.
#[derive(Clone, Debug)]
struct Lent {
    home: InstanceId,
    address: SocketAddr,
    until: Monotonic,
}

/// Shares that a gateway has lent.
#[derive(Clone, Debug, Default)]
pub struct Lender(BTreeMap<UpstreamTag, Lent>);

impl Lender {
    /// Lends the share of a limit to a home on its sign of life, if it may be.
    pub fn lend(&mut self, upstream: UpstreamTag, sign: &Sign<'_>, now: Monotonic) -> Outcome {
        // What this gateway lent before it started anew, it doesn't know.
        if now < LEASE {
            return Outcome::Held;
        }
        let until = sign.heard + LEASE;
        let known = self.0.get_mut(&upstream);
        if let Some(lent) = known {
            if lent.home == *sign.home {
                lent.address = sign.address;
                lent.until = lent.until.max(until);
                return Outcome::Renewed;
            }
            if now < lent.until {
                return Outcome::Held;
            }
        }
        let lent = Lent {
            home: sign.home.clone(),
            address: sign.address,
            until,
        };
        self.0.insert(upstream, lent);
        Outcome::Moved
    }

    /// Returns the address of the home that counts on the share of a limit now: it permits requests until the share goes
    /// elsewhere, also if another home comes first meanwhile.
    #[must_use]
    pub fn home(&self, upstream: UpstreamTag, now: Monotonic) -> Option<SocketAddr> {
        let lent = self.0.get(&upstream).filter(|lent| now < lent.until)?;
        Some(lent.address)
    }

    /// Forgets shares that are not lent any more.
    pub fn forget(&mut self, now: Monotonic) {
        self.0.retain(|_, lent| now < lent.until);
    }
}
