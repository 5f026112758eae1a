//! Messages from gateways and from other sidecars of the group, and the sender for both.

use std::net::SocketAddr;

use auburnline_lockstep::message::Message;
use auburnline_lockstep::traffic::MAX_FORWARDED;
use serde::Serialize;

use super::KnownLeader;
use super::Sidecar;
use super::following::FAST_POLL_TIME_HOLD;
use crate::engine::Engine;

/// Most queued messages that are handled before the next orders: one of each rank of a large group. More would delay
/// polls.
const MAX_BATCH: usize = 64;

impl<E: Engine> Sidecar<E> {
    /// Handles the messages that are already queued, so that the leader decides once for all of them: the ranks of a
    /// large group send some hundred reports per second.
    pub(super) async fn receive_queued(&mut self, bytes: &mut [u8]) {
        for _ in 0..MAX_BATCH {
            let Ok((length, from)) = self.socket.try_recv_from(bytes) else {
                return;
            };
            self.receive(&bytes[..length], from).await;
        }
    }

    pub(super) async fn receive(&mut self, bytes: &[u8], from: SocketAddr) {
        let message: Message = match postcard::from_bytes(bytes) {
            Ok(message) => message,
            Err(error) => {
                let cause = error.to_string();
                log::debug!(target: "sidecar", cause = cause.as_str(); "malformed message");
                metrics::counter!("auburnline_messages_malformed_total").increment(1);
                return;
            }
        };
        let now = self.clock.now();
        match message {
            Message::Members(members) => {
                let is_asked = members.service == self.settings.service;
                if is_asked && members.replaces(self.members.as_ref()) {
                    if members.is_complete() {
                        self.query_schedule
                            .record_answer(members.gateways.len(), now);
                    }
                    self.members = Some(members);
                }
            }
            Message::Heartbeat(heartbeat) => {
                if self.group.as_ref() == Some(&heartbeat.group) {
                    self.standby.record_heartbeat(now);
                    self.known_leader = Some(KnownLeader {
                        address: from,
                        heard: now,
                        needs_layout: heartbeat.needs_layout,
                        aggregator: heartbeat.aggregator,
                    });
                }
            }
            Message::RankReport(report) => {
                if let Some(leader) = &mut self.leader {
                    leader.observe(report, Some(from), now);
                } else if self.group.as_ref() == Some(&report.group) {
                    self.standby.observe(&report.state);
                }
            }
            Message::Counts(counts) => {
                if self.group.as_ref() == Some(&counts.group) {
                    self.tally.add(counts.epoch, &counts.activations);
                }
            }
            Message::Command(command) => self.execute(command, from).await,
            Message::Forward(forward) => {
                let message = Message::Command(forward.command);
                for address in forward.to.into_iter().take(MAX_FORWARDED) {
                    self.send(&message, address).await;
                }
                if let Message::Command(command) = message {
                    self.execute(command, from).await;
                }
            }
            Message::HoldNotice(notice) => {
                if self.group.as_ref() == Some(&notice.group) {
                    let is_known = self.standby.announce_hold(notice, now);
                    self.fast_poll_until = self.fast_poll_until.max(now + FAST_POLL_TIME_HOLD);
                    if is_known {
                        self.poll().await;
                    }
                }
            }
        }
    }

    pub(super) async fn send(&self, message: &impl Serialize, to: SocketAddr) {
        let Ok(bytes) = postcard::to_stdvec(message) else {
            log::error!(target: "sidecar", "failed to encode message");
            return;
        };
        if let Err(error) = self.socket.send_to(&bytes, to).await {
            let cause = error.to_string();
            log::debug!(target: "sidecar", cause = cause.as_str(); "failed to send message");
        }
    }
}
