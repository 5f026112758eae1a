//! Leader role: queries gateways for the members of the service, sends heartbeats to sidecars and digests to gateways,
//! and sends the orders that the coordinator decides on.

use std::net::SocketAddr;

use auburnline_core::time::Monotonic;
use auburnline_gateway::message::Datagram;
use auburnline_lockstep::aggregation::receivers;
use auburnline_lockstep::change::Order;
use auburnline_lockstep::coordinator::LEADER_RANK;
use auburnline_lockstep::coordinator::Service;
use auburnline_lockstep::message::Command;
use auburnline_lockstep::message::Digest;
use auburnline_lockstep::message::ENGINE_BYTES;
use auburnline_lockstep::message::Forward;
use auburnline_lockstep::message::Forwarded;
use auburnline_lockstep::message::Heartbeat;
use auburnline_lockstep::message::MembersQuery;
use auburnline_lockstep::message::Message;
use auburnline_lockstep::message::RankReport;
use auburnline_lockstep::output::Dispatch;
use auburnline_lockstep::standby::Notice;
use auburnline_lockstep::standby::STANDBY_RANK;
use auburnline_lockstep::traffic::Link;
use auburnline_lockstep::traffic::fan_out;
use auburnline_lockstep::traffic::fan_out_parts;

use super::REPORT_PERIOD;
use super::Sidecar;
use crate::engine::Engine;
use crate::leader::DIGEST_PERIOD;
use crate::leader::Leader;
use crate::order::send_order;

impl<E: Engine> Sidecar<E> {
    pub(super) async fn lead(&mut self, report: RankReport) {
        let now = self.clock.now();
        self.query_members(now).await;
        let members = self.members.as_ref();
        let published = members.and_then(|members| members.shape.zip(members.cost));
        let Some((shape, cost)) = published else {
            return;
        };
        let link = Link::of_mbps(self.settings.link_mbps);
        let service = Service { shape, cost, link };
        let started = self.started;
        let leader = self
            .leader
            .get_or_insert_with(|| Leader::new(report.group.clone(), service, started, now));
        let heartbeat = Heartbeat {
            group: report.group.clone(),
            epoch: report.state.epoch,
            needs_layout: leader.needs_layout(),
            aggregator: None,
        };
        leader.observe(report, None, now);
        leader.log_stats(now);
        let members = self.members.as_ref();
        let own = self.settings.peers;
        let digest = members.and_then(|members| leader.digest(members, own, now));
        self.send_heartbeats(&heartbeat, now).await;
        self.send_digest(digest).await;
        self.send_orders().await;
    }

    /// Asks the configured gateways for the members of the service, if a query is due.
    async fn query_members(&mut self, now: Monotonic) {
        if !self.query_schedule.is_due(now) {
            return;
        }
        let query = Datagram::MembersQuery(MembersQuery {
            service: self.settings.service.clone(),
        });
        for gateway in self.settings.gateways.clone() {
            self.send(&query, gateway).await;
        }
    }

    /// Sends heartbeats to the other sidecars. Until all ranks have reported, they go to all sidecars of the service,
    /// because it is not known which of these belong to the group.
    async fn send_heartbeats(&mut self, heartbeat: &Heartbeat, now: Monotonic) {
        if now.saturating_sub(self.heartbeat_sent_at) < REPORT_PERIOD {
            return;
        }
        self.heartbeat_sent_at = now;
        let (Some(leader), Some(members)) = (&self.leader, &self.members) else {
            return;
        };
        let known = leader.sidecars(leader.ranks());
        let port = self.settings.peers.port();
        let all = members.upstreams.iter();
        let all = all.map(|upstream| SocketAddr::new(upstream.ip(), port));
        let is_searching = !leader.is_reachable(now);
        let unknown = all.filter(|address| is_searching && *address != self.settings.peers);
        for receiver in receivers(&known, leader.aggregators(known.len()), unknown) {
            let message = Message::Heartbeat(Heartbeat {
                aggregator: receiver.aggregator,
                ..heartbeat.clone()
            });
            self.send(&message, receiver.address).await;
        }
    }

    /// Sends a digest to all gateways. If the link does not carry that many, some of them, in rotation, get it directly
    /// and forward it to the others.
    async fn send_digest(&mut self, digest: Option<Digest>) {
        let (Some(digest), Some(members)) = (digest, &self.members) else {
            return;
        };
        let link = Link::of_mbps(self.settings.link_mbps);
        let gateways: Vec<SocketAddr> = self.rotation.take(&members.gateways).copied().collect();
        let bytes = ENGINE_BYTES * digest.engines.len();
        let first = link.direct_gateways(gateways.len(), bytes, DIGEST_PERIOD);
        for part in fan_out_parts(&gateways, first) {
            let Some((first, others)) = part.split_first() else {
                continue;
            };
            let message = if others.is_empty() {
                Datagram::Group(digest.clone())
            } else {
                Datagram::Forwarded(Forwarded {
                    to: others.to_vec(),
                    digest: digest.clone(),
                })
            };
            self.send(&message, *first).await;
        }
    }

    /// Sends the orders that are due.
    pub(super) async fn send_orders(&mut self) {
        let now = self.clock.now();
        let Some(leader) = &mut self.leader else {
            return;
        };
        let dispatches = leader.tick(now);
        let notice = leader.hold_notice(&dispatches, self.settings.peers);
        let notice = notice.zip(leader.address(STANDBY_RANK));
        self.notify_standby(notice.as_ref()).await;
        // Other ranks first: a lost answer of the own engine would delay their orders.
        let (own, others): (Vec<_>, Vec<_>) = dispatches
            .into_iter()
            .partition(|dispatch| dispatch.rank == LEADER_RANK);
        let (differences, others): (Vec<_>, Vec<_>) = others
            .into_iter()
            .partition(|dispatch| dispatch.base.is_some());
        self.send_forwarded(differences).await;
        for dispatch in others {
            self.poll_fast_after(dispatch.order);
            match dispatch.order {
                Order::Hold(_) | Order::Release(_) => self.send_to_engine(dispatch).await,
                Order::Prepare(_) | Order::Arm(_) => self.send_to_sidecar(dispatch).await,
            }
        }
        for dispatch in own {
            self.poll_fast_after(dispatch.order);
            let layout = dispatch.layout.as_deref();
            self.order(dispatch.epoch, dispatch.order, layout).await;
        }
        // Repeated, because the first notice may have been lost and because the standby polls the held rank on a
        // repetition.
        self.notify_standby(notice.as_ref()).await;
    }

    async fn notify_standby(&self, notice: Option<&(Notice, SocketAddr)>) {
        if let Some((notice, standby)) = notice {
            self.send(&Message::HoldNotice(notice.clone()), *standby)
                .await;
        }
    }

    /// Sends an order to another rank's engine without its sidecar, so that the hold is ordered by this instance: if
    /// it freezes, the sidecar next to the held rank still runs.
    async fn send_to_engine(&self, dispatch: Dispatch) {
        let instance = self
            .leader
            .as_ref()
            .and_then(|leader| leader.address(dispatch.rank));
        let members = self.members.as_ref();
        let engine = instance.zip(members).and_then(|(instance, members)| {
            let mut engines = members.upstreams.iter();
            engines.find(|engine| engine.ip() == instance.ip())
        });
        let Some(engine) = engine else {
            log::warn!(target: "experts", rank = dispatch.rank, order:? = dispatch.order; "address of the engine is not known");
            return;
        };
        let engine = self.engine.at(*engine);
        send_order(&engine, dispatch.epoch, dispatch.order, None).await;
    }

    /// Sends one order to prepare a delta to all its ranks: directly to some sidecars, which forward it to the others.
    async fn send_forwarded(&mut self, dispatches: Vec<Dispatch>) {
        let (Some(leader), Some(dispatch)) = (&self.leader, dispatches.first()) else {
            return;
        };
        let command = Command {
            report_to: Some(self.settings.peers),
            ..command(leader, dispatch)
        };
        let sidecars = leader.sidecars(dispatches.iter().map(|dispatch| dispatch.rank));
        self.poll_fast_after(dispatch.order);
        for part in fan_out_parts(&sidecars, fan_out(sidecars.len())) {
            let Some((first, others)) = part.split_first() else {
                continue;
            };
            let message = Message::Forward(Forward {
                to: others.to_vec(),
                command: command.clone(),
            });
            self.send(&message, *first).await;
        }
    }

    async fn send_to_sidecar(&self, dispatch: Dispatch) {
        let Some(leader) = &self.leader else {
            return;
        };
        let Some(address) = leader.address(dispatch.rank) else {
            return;
        };
        let message = Message::Command(command(leader, &dispatch));
        self.send(&message, address).await;
    }
}

fn command(leader: &Leader, dispatch: &Dispatch) -> Command {
    Command {
        group: leader.group().to_owned(),
        epoch: dispatch.epoch,
        order: dispatch.order,
        layout: dispatch.update(),
        report_to: None,
    }
}
