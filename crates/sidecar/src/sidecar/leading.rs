//! What the sidecar beside rank 0 does for its group: it asks who serves, tells who leads and how the group
//! runs, and gives the orders that its lead decides on.

use std::net::SocketAddr;
use std::time::Duration;

use auburnline_core::time::Monotonic;
use auburnline_gateway::neighbour::Datagram;
use auburnline_lockstep::change::Order;
use auburnline_lockstep::coordinator::LEADER;
use auburnline_lockstep::deputy::DEPUTY;
use auburnline_lockstep::deputy::Pledge;
use auburnline_lockstep::message::Ask;
use auburnline_lockstep::message::Command;
use auburnline_lockstep::message::Digest;
use auburnline_lockstep::message::Lead as LeadWord;
use auburnline_lockstep::message::Members;
use auburnline_lockstep::message::Message;
use auburnline_lockstep::message::Show;
use auburnline_lockstep::told::Send;

use super::SHOW_PERIOD;
use super::Sidecar;
use crate::engine::Engine;
use crate::lead::Lead;
use crate::order::give;

/// Time between two questions who serves the service.
const ASK_PERIOD: Duration = Duration::from_secs(2);
/// The same until a gateway has answered: after a loss of all power a group opens within a second, and without
/// its lead nobody knows its load and its map stays the first one.
const FIRST_ASK_PERIOD: Duration = Duration::from_millis(200);

/// Gateways that are told of the group with one word: all of today's fleets, and a bound on the cost of a lead.
const TOLD_AT_ONCE: usize = 64;

impl<E: Engine> Sidecar<E> {
    pub(super) async fn lead(&mut self, show: Show) {
        let now = self.clock.now();
        self.ask(now).await;
        let members = self.members.as_ref();
        let published = members.and_then(|members| members.shape.zip(members.cost));
        let Some((shape, cost)) = published else {
            return;
        };
        let started = self.started;
        let lead = self
            .lead
            .get_or_insert_with(|| Lead::new(show.group.clone(), shape, cost, started, now));
        let word = LeadWord {
            group: show.group.clone(),
            epoch: show.sight.epoch,
            wants_layout: lead.wants_layout(),
        };
        lead.see(show, None, now);
        lead.tell_pulse(now);
        let members = self.members.as_ref();
        let own = self.settings.peers;
        let digest = members.and_then(|members| lead.digest(members, own, now));
        self.announce(&word, now).await;
        self.tell_gateways(digest).await;
        self.step().await;
    }

    /// Asks a gateway who serves the service.
    async fn ask(&mut self, now: Monotonic) {
        let is_known = self.members.as_ref().is_some_and(Members::is_whole);
        let period = if is_known {
            ASK_PERIOD
        } else {
            FIRST_ASK_PERIOD
        };
        let is_due = self.asked.is_none_or(|at| now.saturating_sub(at) >= period);
        if !is_due {
            return;
        }
        self.asked = Some(now);
        let ask = Datagram::Ask(Ask {
            service: self.settings.service.clone(),
        });
        for gateway in self.settings.gateways.clone() {
            self.tell(&ask, gateway).await;
        }
    }

    /// Tells the other sidecars who leads.
    async fn announce(&mut self, word: &LeadWord, now: Monotonic) {
        let Some(members) = &self.members else {
            return;
        };
        if now.saturating_sub(self.announced) < SHOW_PERIOD {
            return;
        }
        self.announced = now;
        let port = self.settings.peers.port();
        let message = Message::Lead(word.clone());
        for upstream in &members.upstreams {
            let address = SocketAddr::new(upstream.ip(), port);
            if address != self.settings.peers {
                self.tell(&message, address).await;
            }
        }
    }

    /// Tells gateways of the group; of very many only some with each word, in turn.
    async fn tell_gateways(&mut self, digest: Option<Digest>) {
        let (Some(digest), Some(members)) = (digest, &self.members) else {
            return;
        };
        let message = Datagram::Group(digest);
        for gateway in self.turn.take(&members.gateways, TOLD_AT_ONCE) {
            self.tell(&message, *gateway).await;
        }
    }

    /// Gives the orders that are due.
    pub(super) async fn step(&mut self) {
        let now = self.clock.now();
        let Some(lead) = &mut self.lead else {
            return;
        };
        let sends = lead.tick(now);
        let pledge = lead.pledge(&sends, self.settings.peers);
        let pledge = pledge.zip(lead.address(DEPUTY));
        self.tell_deputy(pledge.as_ref()).await;
        // Others first: an answer of the own engine that is lost would hold their orders up.
        let (own, others): (Vec<_>, Vec<_>) =
            sends.into_iter().partition(|send| send.rank == LEADER);
        for send in others {
            self.hasten(send.order);
            match send.order {
                Order::Hold(_) | Order::Release(_) => self.reach(send).await,
                Order::Prepare(_) | Order::Arm(_) => self.pass_on(send).await,
            }
        }
        for send in own {
            self.hasten(send.order);
            let layout = send.layout.as_deref();
            give(&self.engine, send.epoch, send.order, layout).await;
        }
        // Once more: the rank that holds is looked at at once, and the word may have been lost.
        self.tell_deputy(pledge.as_ref()).await;
    }

    async fn tell_deputy(&self, pledge: Option<&(Pledge, SocketAddr)>) {
        if let Some((pledge, deputy)) = pledge {
            self.tell(&Message::Pledge(pledge.clone()), *deputy).await;
        }
    }

    /// Gives an order to another rank's engine without its sidecar: if the instance that gave a hold freezes, the one
    /// beside which the group is held lives on.
    async fn reach(&self, send: Send) {
        let instance = self.lead.as_ref().and_then(|lead| lead.address(send.rank));
        let members = self.members.as_ref();
        let engine = instance.zip(members).and_then(|(instance, members)| {
            let mut engines = members.upstreams.iter();
            engines.find(|engine| engine.ip() == instance.ip())
        });
        let Some(engine) = engine else {
            log::warn!(target: "experts", rank = send.rank, order:? = send.order; "engine not known");
            return;
        };
        let engine = self.engine.at(*engine);
        give(&engine, send.epoch, send.order, None).await;
    }

    async fn pass_on(&self, send: Send) {
        let Some(lead) = &self.lead else {
            return;
        };
        let Some(address) = lead.address(send.rank) else {
            return;
        };
        let command = Command {
            group: lead.group().to_owned(),
            epoch: send.epoch,
            order: send.order,
            layout: send.parcel(),
        };
        self.tell(&Message::Command(command), address).await;
    }
}
