//! State of the sidecar that leads its group, the one next to rank 0.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use auburnline_core::id::FailureDomainId;
use auburnline_core::id::Rank;
use auburnline_core::id::Step;
use auburnline_core::time::Monotonic;
use auburnline_lockstep::Coordinator;
use auburnline_lockstep::change::Order;
use auburnline_lockstep::coordinator::LEADER_RANK;
use auburnline_lockstep::coordinator::Service;
use auburnline_lockstep::message::Digest;
use auburnline_lockstep::message::EngineLoad;
use auburnline_lockstep::message::Members;
use auburnline_lockstep::message::RankReport;
use auburnline_lockstep::output::Dispatch;
use auburnline_lockstep::output::Event;
use auburnline_lockstep::rank::State;
use auburnline_lockstep::rank::Switch;
use auburnline_lockstep::standby::Notice;

use crate::sidecar::COUNT_PERIOD;

/// Time between two digests to gateways. Gateways admit requests by them, although the latest digest lacks the
/// load of the last few passes.
pub(crate) const DIGEST_PERIOD: Duration = Duration::from_millis(190);
/// Time between two log lines with the group's statistics.
const STATS_PERIOD: Duration = Duration::from_secs(1);

/// Sidecar of another rank.
struct Peer {
    address: SocketAddr,
    failure_domain: FailureDomainId,
}

/// State of the leader.
pub(crate) struct Leader {
    group: String,
    service: Service,
    coordinator: Coordinator,
    /// Sidecars of the other ranks that have reported.
    peers: BTreeMap<Rank, Peer>,
    /// Start of each rank's engine in Unix milliseconds.
    born: BTreeMap<Rank, u64>,
    logged_at: Monotonic,
    logged_step: Step,
    digest_sent_at: Monotonic,
    was_open: bool,
}

impl Leader {
    /// Returns the leader of a group. `started` is the time of day at which the clock of `now` was zero.
    pub(crate) fn new(
        group: String,
        service: Service,
        started: Duration,
        now: Monotonic,
    ) -> Leader {
        Leader {
            group,
            service,
            coordinator: Coordinator::new(service, started, now),
            peers: BTreeMap::new(),
            born: BTreeMap::new(),
            logged_at: now,
            logged_step: 0,
            digest_sent_at: Monotonic::ZERO,
            was_open: false,
        }
    }

    pub(crate) fn group(&self) -> &str {
        &self.group
    }

    /// Returns whether the ranks must report the experts that they hold.
    pub(crate) fn needs_layout(&self) -> bool {
        self.coordinator.needs_layout()
    }

    fn addresses(&self) -> impl Iterator<Item = (Rank, SocketAddr)> {
        let peers = self.peers.iter();
        peers.map(|(rank, peer)| (*rank, peer.address))
    }

    /// Returns the address of a rank's sidecar; none if it has not reported.
    pub(crate) fn address(&self, rank: Rank) -> Option<SocketAddr> {
        self.peers.get(&rank).map(|peer| peer.address)
    }

    /// Returns whether all ranks have reported recently.
    pub(crate) fn is_reachable(&self, now: Monotonic) -> bool {
        self.coordinator.is_reachable(now)
    }

    /// Returns the other ranks that have reported.
    pub(crate) fn ranks(&self) -> impl Iterator<Item = Rank> {
        self.peers.keys().copied()
    }

    /// Returns the sidecars of `ranks`, sorted by failure domain, so that forwarding and aggregation among them mostly
    /// stay within one.
    pub(crate) fn sidecars(&self, ranks: impl IntoIterator<Item = Rank>) -> Vec<SocketAddr> {
        let peers = ranks.into_iter().filter_map(|rank| self.peers.get(&rank));
        let mut peers: Vec<&Peer> = peers.collect();
        peers.sort_by(|one, other| one.failure_domain.cmp(&other.failure_domain));
        peers.into_iter().map(|peer| peer.address).collect()
    }

    /// Returns how many of the sidecars of `ranks` ranks aggregate expert counts.
    pub(crate) fn aggregators(&self, ranks: usize) -> usize {
        let Service { shape, link, .. } = self.service;
        link.aggregators(ranks, shape.layers * shape.experts, COUNT_PERIOD)
    }

    /// Returns the notice to the standby for the hold among `dispatches`; none if there is no hold.
    pub(crate) fn hold_notice(&self, dispatches: &[Dispatch], own: SocketAddr) -> Option<Notice> {
        let hold = dispatches.iter().find_map(|dispatch| match dispatch.order {
            Order::Hold(step) => Some((dispatch.epoch, step)),
            Order::Prepare(_) | Order::Arm(_) | Order::Release(_) => None,
        });
        let (epoch, step) = hold?;
        let version = self.coordinator.change_version()?;
        Some(Notice {
            group: self.group.clone(),
            epoch,
            switch: Switch { version, step },
            sidecars: self.addresses().chain([(LEADER_RANK, own)]).collect(),
        })
    }

    /// Returns a digest for the gateways if one is due, or if the group has begun or ceased to serve.
    pub(crate) fn digest(
        &mut self,
        members: &Members,
        own: SocketAddr,
        now: Monotonic,
    ) -> Option<Digest> {
        let is_open = self.coordinator.is_open();
        let is_due = now.saturating_sub(self.digest_sent_at) >= DIGEST_PERIOD;
        if !is_due && is_open == self.was_open {
            return None;
        }
        self.digest_sent_at = now;
        self.was_open = is_open;
        let sidecars: BTreeMap<Rank, SocketAddr> =
            self.addresses().chain([(LEADER_RANK, own)]).collect();
        let states = self.coordinator.states_by_rank();
        let by_instance: HashMap<IpAddr, &State> = states
            .filter_map(|(rank, state)| Some((sidecars.get(&rank)?.ip(), state)))
            .collect();
        // An engine that restarted under another id is listed twice for a while.
        let upstreams: BTreeSet<SocketAddr> = members.upstreams.iter().copied().collect();
        let engines = upstreams.into_iter().filter_map(|engine| {
            let state = by_instance.get(&engine.ip())?;
            Some(EngineLoad {
                engine,
                requests: state.running + state.waiting,
                slowdown_percent: state.slowdown_percent,
            })
        });
        Some(Digest {
            service: members.service.clone(),
            group: self.group.clone(),
            is_open,
            engines: engines.collect(),
        })
    }

    /// Records the report on a rank; `from` is its sidecar, none for the leader's own rank.
    pub(crate) fn observe(&mut self, report: RankReport, from: Option<SocketAddr>, now: Monotonic) {
        if report.group != self.group {
            return;
        }
        if let Some(address) = from {
            let failure_domain = report.failure_domain;
            let peer = Peer {
                address,
                failure_domain,
            };
            self.peers.insert(report.state.rank, peer);
        }
        let before = report
            .born
            .and_then(|born| self.born.insert(report.state.rank, born));
        if before.is_some_and(|before| report.born != Some(before)) {
            self.coordinator.rank_restarted(report.state.rank);
        }
        self.coordinator
            .observe(report.state, &report.activations, report.held, now);
    }

    /// Logs the group's statistics and sets its gauges, once per period.
    pub(crate) fn log_stats(&mut self, now: Monotonic) {
        let since = now.saturating_sub(self.logged_at);
        if since < STATS_PERIOD {
            return;
        }
        let stats = self.coordinator.stats();
        let passes = stats.step.saturating_sub(self.logged_step);
        let pass = since.checked_div(u32::try_from(passes).unwrap_or(0));
        self.logged_at = now;
        self.logged_step = stats.step;
        log::info!(
            target: "experts",
            group = self.group.as_str(),
            pass_ms:? = pass.map(|pass| pass.as_secs_f64() * 1_000.0),
            running = stats.running,
            waiting = stats.waiting,
            most_running = stats.most_running,
            skew:? = stats.skew,
            slowest = stats.slowest,
            version:? = stats.version;
            "group statistics"
        );
        if let Some(skew) = stats.skew {
            metrics::gauge!("auburnline_group_skew").set(skew);
        }
        metrics::gauge!("auburnline_group_running").set(f64::from(stats.running));
    }

    /// Returns the orders to send now, and logs the events since the last call.
    pub(crate) fn tick(&mut self, now: Monotonic) -> Vec<Dispatch> {
        let dispatches = self.coordinator.tick(now);
        for event in self.coordinator.take_events() {
            log_event(&self.group, &event);
        }
        dispatches
    }
}

fn log_event(group: &str, event: &Event) {
    match event {
        Event::Started(version, plan) => log::info!(
            target: "experts",
            group,
            version,
            skew_before = plan.skew_before,
            skew_after = plan.skew_after,
            copies = plan.copies;
            "map change started"
        ),
        Event::Resumed(version, phase) => {
            log::info!(target: "experts", group, version, phase:?; "map change resumed after restart");
        }
        Event::Done(version) => log::info!(target: "experts", group, version; "map change done"),
        Event::Aborted(version, reason) => {
            log::info!(target: "experts", group, version, reason; "map change aborted");
        }
        Event::Shifted(distance) => {
            log::info!(target: "experts", group, distance; "demand shifted");
        }
        Event::Formed(epoch) => log::info!(target: "experts", group, epoch; "group formed"),
    }
    let outcome = match event {
        Event::Started(..) => "begun",
        Event::Resumed(..) => "found",
        Event::Done(_) => "done",
        Event::Aborted(..) => "void",
        Event::Shifted(_) => "shifted",
        Event::Formed(_) => "formed",
    };
    metrics::counter!("auburnline_map_changes_total", "outcome" => outcome).increment(1);
}
