//! Lending of a gateway's share of each limit to one home at a time.
//!
//! A loan names the latest heartbeat of the home that the lender received, and expires a [`LEASE`] after the home sent that
//! heartbeat. The home measures this on its own clock, so the loan's transit time does not extend it. The lender received the
//! heartbeat after it was sent, so a lease after the reception, on its own clock, the home no longer counts the share.
//! Only then is the share lent to another home.

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
use crate::registry::Notice;

/// Time after a home's heartbeat for which a share lent in response to it is valid: several heartbeats longer than
/// information takes to propagate through a fleet of hundreds of gateways.
pub const LEASE: Duration = Duration::from_secs(2);

/// The latest heartbeat of a home known to a lender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heartbeat<'a> {
    /// Name of the home's instance.
    pub home: &'a InstanceId,
    /// Incarnation of the home.
    pub incarnation: Incarnation,
    /// Sequence number of the heartbeat.
    pub heartbeat: u64,
    /// When the heartbeat was received, on the lender's clock.
    pub heard: Monotonic,
    /// Address of the home for messages from other gateways.
    pub address: SocketAddr,
}

/// Message that lends the sender's shares of one or more limits to their home.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Loan {
    /// Gateway whose shares these are.
    pub lender: LenderTag,
    /// Number of gateways by which the lender divides the limits.
    pub fleet: u32,
    /// Incarnation of the home that the loan is meant for; another one ignores the shares.
    pub incarnation: Incarnation,
    /// Heartbeat of the home from which the lease is measured.
    pub heartbeat: u64,
    /// Limits whose shares are lent, as the lender knows them.
    pub limits: Vec<Notice>,
}

/// Result of an attempt to lend a share to a home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Not lent: another home may still count the share, or the lender started less than a lease ago.
    StillLent,
    /// Lent; before, the share was lent to another home or to none.
    Moved,
    /// Lent again to the same home.
    Renewed,
}

#[derive(Clone, Debug)]
struct ActiveLoan {
    home: InstanceId,
    address: SocketAddr,
    until: Monotonic,
}

/// Shares that this gateway has lent, by upstream.
#[derive(Clone, Debug, Default)]
pub struct Lender(BTreeMap<UpstreamTag, ActiveLoan>);

impl Lender {
    /// Lends the share of a limit to a home on the basis of its latest heartbeat, unless another home may still count it.
    pub fn lend(
        &mut self,
        upstream: UpstreamTag,
        heartbeat: &Heartbeat<'_>,
        now: Monotonic,
    ) -> Outcome {
        // Loans made before a restart are not recorded, but expire within a lease.
        if now < LEASE {
            return Outcome::StillLent;
        }
        let until = heartbeat.heard + LEASE;
        let known = self.0.get_mut(&upstream);
        if let Some(lent) = known {
            if lent.home == *heartbeat.home {
                lent.address = heartbeat.address;
                lent.until = lent.until.max(until);
                return Outcome::Renewed;
            }
            if now < lent.until {
                return Outcome::StillLent;
            }
        }
        let lent = ActiveLoan {
            home: heartbeat.home.clone(),
            address: heartbeat.address,
            until,
        };
        self.0.insert(upstream, lent);
        Outcome::Moved
    }

    /// Returns the address of the home that the share of a limit is currently lent to. This home is asked for permits until
    /// the loan expires, even if rendezvous hashing prefers another gateway by then.
    #[must_use]
    pub fn home(&self, upstream: UpstreamTag, now: Monotonic) -> Option<SocketAddr> {
        let lent = self.0.get(&upstream).filter(|lent| now < lent.until)?;
        Some(lent.address)
    }

    /// Drops expired loans.
    pub fn forget(&mut self, now: Monotonic) {
        self.0.retain(|_, lent| now < lent.until);
    }
}
