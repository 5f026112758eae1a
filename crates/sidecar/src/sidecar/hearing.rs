//! What a sidecar hears from gateways and from others of its group.

use std::net::SocketAddr;

use auburnline_lockstep::message::Message;
use auburnline_lockstep::traffic::MOST_PASSED_ON;
use serde::Serialize;

use super::Leader;
use super::Sidecar;
use super::following::QUICK_PLEDGE;
use crate::engine::Engine;

/// Words that are taken before the next decision: one of each rank of a large group, so that looks are not held up for long.
const MOST_AT_ONCE: usize = 64;
impl<E: Engine> Sidecar<E> {
    /// Takes what else has come, so that the lead decides once for all of it: the ranks of a large group tell of themselves
    /// some hundred times a second.
    pub(super) async fn drain(&mut self, bytes: &mut [u8]) {
        for _ in 0..MOST_AT_ONCE {
            let Ok((length, from)) = self.socket.try_recv_from(bytes) else {
                return;
            };
            self.hear(&bytes[..length], from).await;
        }
    }

    pub(super) async fn hear(&mut self, bytes: &[u8], from: SocketAddr) {
        let message: Message = match postcard::from_bytes(bytes) {
            Ok(message) => message,
            Err(error) => {
                let cause = error.to_string();
                log::debug!(target: "sidecar", cause = cause.as_str(); "message not understood");
                metrics::counter!("auburnline_messages_malformed_total").increment(1);
                return;
            }
        };
        let now = self.clock.now();
        match message {
            Message::Members(members) => {
                if members.service == self.settings.service {
                    if members.is_whole() {
                        self.asking.hear(members.gateways.len(), now);
                    }
                    self.members = Some(members);
                }
            }
            Message::Lead(word) => {
                if self.group.as_ref() == Some(&word.group) {
                    self.deputy.heard(now);
                    self.leader = Some(Leader {
                        address: from,
                        heard: now,
                        wants_layout: word.wants_layout,
                        collector: word.collector,
                    });
                }
            }
            Message::Show(show) => {
                if let Some(lead) = &mut self.lead {
                    lead.see(show, Some(from), now);
                } else if self.group.as_ref() == Some(&show.group) {
                    self.deputy.see(&show.sight);
                }
            }
            Message::Counts(counts) => {
                if self.group.as_ref() == Some(&counts.group) {
                    self.tally.take(counts.epoch, &counts.choices);
                }
            }
            Message::Command(command) => self.follow(command, from).await,
            Message::Forward(forward) => {
                let message = Message::Command(forward.command);
                for address in forward.to.into_iter().take(MOST_PASSED_ON) {
                    self.tell(&message, address).await;
                }
                if let Message::Command(command) = message {
                    self.follow(command, from).await;
                }
            }
            Message::Pledge(pledge) => {
                if self.group.as_ref() == Some(&pledge.group) {
                    let is_known = self.deputy.pledge(pledge, now);
                    self.quick_until = self.quick_until.max(now + QUICK_PLEDGE);
                    if is_known {
                        self.look().await;
                    }
                }
            }
        }
    }

    pub(super) async fn tell(&self, message: &impl Serialize, to: SocketAddr) {
        let Ok(bytes) = postcard::to_stdvec(message) else {
            log::error!(target: "sidecar", "a message can't be written");
            return;
        };
        if let Err(error) = self.socket.send_to(&bytes, to).await {
            let cause = error.to_string();
            log::debug!(target: "sidecar", cause = cause.as_str(); "message not sent");
        }
    }
}
