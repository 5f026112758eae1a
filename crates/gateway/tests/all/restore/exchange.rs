//! Messages between the gateways of a simulation.

use std::net::SocketAddr;

use auburnline_gateway::message::Datagram;
use auburnline_gateway::neighbour::reader::Role;
use auburnline_gateway::spread::Revision;
use auburnline_gateway::transfer::Step;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use super::BEAT_STEPS;
use super::INBOX_CAPACITY;
use super::LOSS_PERCENT;
use super::Message;
use super::QUERY_STEPS;
use super::STEP;
use super::World;
use super::apply_configuration;
use crate::support::number;
use crate::support::peers;

impl World {
    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        let to = number(to);
        let is_isolated = self.now
            < self.nodes[from]
                .isolated_until
                .max(self.nodes[to].isolated_until);
        if to == from || self.rng.random_ratio(LOSS_PERCENT, 100) || is_isolated {
            return;
        }
        let node = &mut self.nodes[to];
        if self.now >= node.suspended_until || node.inbox.len() < INBOX_CAPACITY {
            node.inbox.push((from, message));
        }
    }

    pub(super) fn receive(&mut self, number: usize, from: usize, message: Message) {
        let node = &mut self.nodes[number];
        let now = self.now.saturating_sub(node.started);
        let gateway = &mut node.gateway;
        let reply = match message {
            Message::Heartbeat(heartbeat, news) => {
                let needs_join_reply = gateway.roster.needs_join_reply(&heartbeat, now);
                gateway.roster.receive(&heartbeat, now);
                let requested = gateway.roster.apply_news(&news, now);
                if needs_join_reply {
                    let mut rng = ChaCha8Rng::from_rng(&mut self.rng);
                    Some(Message::JoinReply(gateway.join_reply(now, &mut rng)))
                } else {
                    (!requested.is_empty()).then_some(Message::EntriesQuery(requested))
                }
            }
            Message::EntriesQuery(requested) => {
                Some(Message::Entries(gateway.roster.entries(&requested, now)))
            }
            Message::Entries(entries) => {
                gateway.roster.apply_entries(&entries, now);
                None
            }
            Message::JoinReply(heartbeat) => {
                gateway.roster.receive(&heartbeat, now);
                None
            }
            Message::Query(query) => {
                gateway.spread.note_generation(query.revision.generation);
                let replies = gateway.answer_query(query, peers(from), now);
                for reply in replies {
                    self.send(number, peers(from), reply.into());
                }
                None
            }
            Message::Answer(answer) => {
                gateway.spread.note_generation(answer.until.generation);
                let since = gateway.spread.revision().unwrap_or_default();
                let was_awaiting = gateway.spread.awaits_configuration();
                let has_more = gateway.spread.has_more(&answer);
                let (new, known_at) = gateway.spread.apply_answer(answer);
                let is_awaiting = gateway.spread.awaits_configuration();
                let has_changes = !new.is_empty();
                gateway.apply_changes(new, now);
                if let Some(known_at) = known_at {
                    gateway.confirm(known_at, now);
                }
                if has_changes {
                    self.push_changes(number, since);
                }
                if has_more || (is_awaiting && !was_awaiting) {
                    self.query(number);
                }
                None
            }
            Message::SettledQuery(query) => {
                Some(Message::SettledReply(gateway.reply_settled(query, now)))
            }
            Message::SettledReply(reply) => {
                gateway.apply_settled(reply, peers(from));
                gateway.expire(now);
                None
            }
            Message::TransferQuery(query) => {
                let replies = gateway.answer_transfer(&query, peers(from), now);
                for reply in replies {
                    self.send(number, peers(from), reply.into());
                }
                None
            }
            Message::TransferReply(reply) => {
                match gateway.apply_transfer(reply, peers(from), now) {
                    Step::Ignore => {}
                    Step::Request(query, to) => {
                        self.send(number, to, Message::TransferQuery(query));
                    }
                    Step::Done(done) => {
                        if !gateway.spread.awaits_configuration() {
                            gateway.confirm(done.known_at, now);
                        }
                        self.query(number);
                    }
                }
                None
            }
            Message::ConfigurationQuery(version) => {
                let update = gateway.spread.configuration_newer_than(version).cloned();
                update.map(Message::Configuration)
            }
            Message::Configuration(update) => {
                apply_configuration(gateway, update.configuration.version, update.revision);
                self.push_configuration(number);
                None
            }
        };
        if let Some(reply) = reply {
            self.send(number, peers(from), reply);
        }
    }

    pub(super) fn send_messages(&mut self, number: usize) {
        let steps = u32::try_from(self.now.as_millis() / STEP.as_millis()).expect("a short run");
        let steps = steps + u32::try_from(number).expect("a small fleet");
        let mut rng = ChaCha8Rng::from_rng(&mut self.rng);
        let node = &mut self.nodes[number];
        let now = self.now.saturating_sub(node.started);
        let mut messages = Vec::new();
        if steps.is_multiple_of(BEAT_STEPS) {
            let news = node.gateway.roster.news(now, &mut rng);
            let heartbeat = node
                .gateway
                .roster
                .next_heartbeat(Vec::new(), now, &mut rng);
            let targets = node.gateway.roster.targets(now, &mut rng);
            messages.extend(
                targets
                    .into_iter()
                    .map(|to| (to, Message::Heartbeat(heartbeat.clone(), news.clone()))),
            );
            node.gateway.expire(now);
            if let Some((query, asked)) = node.gateway.ask_settled(now, &mut rng) {
                let query = Message::SettledQuery(query);
                messages.extend(asked.into_iter().map(|to| (to, query.clone())));
            }
            if let Some(ahead) = node.gateway.catch_up(now) {
                messages.push((ahead, Message::ConfigurationQuery(node.gateway.version())));
            }
        }
        if let Some((query, to)) = node.gateway.next_transfer_query(now) {
            messages.push((to, Message::TransferQuery(query)));
        }
        let is_awaiting = node.gateway.spread.awaits_configuration();
        let is_relay = node.gateway.roster.role(now) == Role::Relay;
        let is_due = steps.is_multiple_of(if is_relay { BEAT_STEPS } else { QUERY_STEPS });
        for (to, message) in messages {
            self.send(number, to, message);
        }
        if is_due || is_awaiting {
            self.query(number);
        }
    }

    /// Queries the gateways that inform this one.
    fn query(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        let now = self.now.saturating_sub(node.started);
        let informants = node.gateway.roster.informants(now);
        if informants.is_empty() {
            return;
        }
        let Some(query) = node.gateway.spread.query(now) else {
            return;
        };
        for informant in informants {
            self.send(number, informant, Message::Query(query));
        }
    }

    pub(super) fn push_changes(&mut self, number: usize, since: Revision) {
        let node = &mut self.nodes[number];
        let now = self.now.saturating_sub(node.started);
        let (messages, receivers) = node.gateway.changes_to_push(since, now);
        for message in messages {
            self.push(number, Some((message, receivers.clone())));
        }
    }

    pub(super) fn push_configuration(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        let now = self.now.saturating_sub(node.started);
        let pushed = node.gateway.configuration_to_push(now);
        self.push(number, pushed);
    }

    fn push(&mut self, number: usize, pushed: Option<(Datagram, Vec<SocketAddr>)>) {
        let Some((message, receivers)) = pushed else {
            return;
        };
        let message = Message::from(message);
        for receiver in receivers {
            self.send(number, receiver, message.clone());
        }
    }
}
