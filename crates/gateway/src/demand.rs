//! How much of a group's capacity is this gateway's, by its part of the demand.
//!
//! A gateway measures the arrivals for each service that runs on groups of ranks, tells them with its
//! heartbeats, and estimates the fleet's mean from the reports it hears. Its share of each group's
//! headroom follows from that, and what is withheld from requests that go last. Where too little was
//! heard of late, shares are equal.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use auburnline_admission::demand::MAX_URGENCIES;
use auburnline_admission::demand::Meter;
use auburnline_admission::demand::Report;
use auburnline_admission::demand::ServiceTag;
use auburnline_admission::feature::Feature;
use auburnline_admission::share::Grounds;
use auburnline_admission::share::Window;
use auburnline_admission::standing::Standing;
use auburnline_admission::standing::Urgency;
use auburnline_core::hash::stable;
use auburnline_core::time::Monotonic;

use crate::allowance::Grant;
use crate::allowance::REPORT_INTERVAL;
use crate::gateway::Gateway;
use crate::real;

/// Services whose demand is told and heard: more than run on groups of ranks today. Shares of
/// others are equal.
const MAX_SERVICES: usize = 8;

/// Demand for one service.
#[derive(Clone, Debug, Default)]
struct Service {
    meter: Meter,
    window: Window,
}

/// Shares that were granted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    /// Requests that the grants of this gateway allow, carried-over ones not included.
    pub granted: f64,
    /// Grants whose share followed demand.
    pub followed: u64,
    /// Grants whose share was equal, since too little was heard of late.
    pub void: u64,
}

/// What is expected of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Expected {
    /// Demand by which shares are set; without it, they are equal.
    pub(crate) shares: Option<Grounds>,
    /// Requests that arrive for one group between two reports of its leader.
    pub(crate) arrivals: f64,
    /// Part of each urgency in that.
    pub(crate) parts: [f64; MAX_URGENCIES],
}

/// Demand here and at other gateways.
#[derive(Clone, Debug, Default)]
pub(crate) struct Demand {
    services: BTreeMap<ServiceTag, Service>,
    tally: Tally,
}

impl Demand {
    /// Records that a request arrived.
    pub(crate) fn record(&mut self, service: &str, urgency: Urgency, now: Monotonic) {
        let standing = Standing {
            is_late: false,
            urgency,
        };
        if let Some(service) = self.services.get_mut(&tag(service)) {
            service.meter.record(standing, now);
        }
    }

    /// Counts what a report of a leader granted.
    pub(crate) fn count_grant(&mut self, grant: &Grant) {
        self.tally.granted += grant.headroom.max(0.0) * grant.part();
        self.tally.followed += u64::from(grant.demand.is_some());
        self.tally.void += u64::from(grant.demand.is_none());
    }
}

impl Gateway {
    /// Returns whether a feature needs the demand.
    pub(crate) fn follows_demand(&self) -> bool {
        let needed = [Feature::DemandShares, Feature::Urgency, Feature::LateQueue];
        needed.iter().any(|feature| self.features.contains(feature))
    }

    /// Returns the demand to tell other gateways; empty if no feature needs it.
    pub fn tell_demand(&mut self, now: Monotonic) -> Vec<Report> {
        if !self.follows_demand() {
            return Vec::new();
        }
        let Some(table) = self.table() else {
            return Vec::new();
        };
        let services = table.services().filter(|service| service.engine.is_some());
        let tags: Vec<ServiceTag> = services
            .take(MAX_SERVICES)
            .map(|service| tag(&service.name))
            .collect();
        let services = &mut self.demand.services;
        services.retain(|service, _| tags.contains(service));
        let mut reports = Vec::new();
        for tag in tags {
            let service = services.entry(tag).or_default();
            service.meter.start(now);
            if let Some(rate) = service.meter.rate(now) {
                service.window.tell(rate, now);
                reports.push(Report {
                    service: tag,
                    rate: narrow(rate),
                    waiting: 0,
                });
            }
        }
        reports
    }

    /// Records the demand that another gateway told.
    pub fn receive_demand(&mut self, reports: &[Report], from: SocketAddr, now: Monotonic) {
        let Some((instance, is_near)) = self.roster.at(from) else {
            return;
        };
        let sender = stable(0, instance.as_bytes());
        for report in reports.iter().take(MAX_SERVICES) {
            if let Some(service) = self.demand.services.get_mut(&report.service) {
                let rate = f64::from(report.rate);
                service.window.record(sender, is_near, rate, now);
            }
        }
    }

    /// Returns the demand by which this gateway's shares of the groups of a service are set; `None`
    /// if they are equal.
    #[must_use]
    pub fn grounds(&self, service: &str, now: Monotonic) -> Option<Grounds> {
        if !self.features.contains(&Feature::DemandShares) {
            return None;
        }
        let service = self.demand.services.get(&tag(service))?;
        service.window.grounds(self.roster.fleet(now), now)
    }

    /// Returns the demand as a decision on a request to one of `groups` groups needs it.
    pub(crate) fn expect_demand(&self, service: &str, groups: usize, now: Monotonic) -> Expected {
        let known = self.demand.services.get(&tag(service));
        let Some(known) = known.filter(|_| self.follows_demand()) else {
            return Expected::default();
        };
        let fleet = self.roster.fleet(now);
        let grounds = known.window.grounds(fleet, now);
        let mean = grounds.map(|demand| demand.mean);
        let mean = mean.or_else(|| known.meter.rate(now)).unwrap_or_default();
        let arrivals = mean * real(fleet.size()) * REPORT_INTERVAL.as_secs_f64();
        Expected {
            shares: grounds.filter(|_| self.features.contains(&Feature::DemandShares)),
            arrivals: arrivals / real(groups.max(1)),
            parts: known.meter.parts(),
        }
    }

    /// Returns the shares granted since the start.
    #[must_use]
    pub const fn share_tally(&self) -> Tally {
        self.demand.tally
    }
}

fn tag(service: &str) -> ServiceTag {
    stable(0, service.as_bytes())
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "seven digits of a rate are enough"
)]
const fn narrow(rate: f64) -> f32 {
    rate as f32
}
