//! Exchange with peers: requests, answers and announcements.

use std::time::Duration;

use auburnline_core::id::InstanceId;
use auburnline_core::time::Monotonic;

use crate::head::Comparison;
use crate::head::Head;
use crate::note::Note;
use crate::parcel;
use crate::parcel::Ask;
use crate::parcel::Content;
use crate::parcel::Parcel;
use crate::parcel::Ticket;
use crate::readiness::Origin;
use crate::schedule::Outcome;
use crate::spread::Action;
use crate::spread::Spread;

/// Time that a peer has to answer a request.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);
/// Average rate of bytes per second sent in answers to peers.
const SERVED_BYTES_PER_SECOND: f64 = 4_000_000.0;
/// Bytes that may be sent in answers to peers at once; the last answer may exceed it.
const SERVED_BURST_BYTES: f64 = 8_000_000.0;

/// Request to a peer that has not been answered yet.
#[derive(Debug)]
pub(super) struct Pending {
    pub(super) peer: InstanceId,
    pub(super) ticket: Ticket,
    pub(super) deadline: Monotonic,
}

/// Token bucket that limits the bytes sent in answers to peers.
#[derive(Debug)]
pub(super) struct Allowance {
    bytes: f64,
    at: Monotonic,
}

impl Spread {
    pub(super) fn heard(
        &mut self,
        peer: &InstanceId,
        head: Option<&Head>,
        now: Monotonic,
        actions: &mut Vec<Action>,
    ) {
        self.sessions.heard(peer, head.cloned(), now);
        if let Some(head) = head {
            self.observe_head(head, actions);
        }
        let in_force = self.acceptance.head().cloned();
        let Some(in_force) = in_force else {
            self.ask_next(now, actions);
            return;
        };
        match in_force.compare(head) {
            Comparison::Newer if self.sessions.try_announce(peer, now) => {
                actions.push(Action::Announce(vec![peer.clone()], in_force));
            }
            Comparison::Older => self.ask_next(now, actions),
            _ => {}
        }
    }

    pub(super) fn observe_head(&mut self, head: &Head, actions: &mut Vec<Action>) {
        if self.acceptance.observe(head) {
            let head = head.clone();
            actions.push(Action::Log(Note::Conflict { head }));
        }
    }

    pub(super) fn asked(
        &mut self,
        peer: InstanceId,
        ask: &Ask,
        now: Monotonic,
        actions: &mut Vec<Action>,
    ) {
        self.sessions.heard(&peer, ask.head.clone(), now);
        let in_force = self.acceptance.in_force();
        let newer = in_force
            .filter(|checked| Head::of(checked).compare(ask.head.as_ref()) == Comparison::Newer);
        let content = newer.map_or(Content::Nothing, |checked| self.versions.pack(checked, ask));
        let mut parcel = Parcel {
            ticket: ask.ticket,
            head: self.acceptance.head().cloned(),
            content,
        };
        if !self.allowance.take(parcel.len(), now) {
            parcel.content = Content::Busy;
        }
        actions.push(Action::Answer(peer, parcel));
        self.ask_next(now, actions);
    }

    pub(super) fn answered(
        &mut self,
        peer: &InstanceId,
        parcel: Parcel,
        now: Monotonic,
        actions: &mut Vec<Action>,
    ) {
        self.sessions.heard(peer, parcel.head.clone(), now);
        if let Some(head) = &parcel.head {
            self.observe_head(head, actions);
        }
        let ticket = parcel.ticket;
        self.pending.take_if(|pending| pending.ticket == ticket);
        if parcel.head.is_some() {
            self.readiness.answered(Origin::Peer, ticket);
        }
        match parcel.content {
            Content::Nothing => {}
            Content::Busy => self.sessions.back_off(peer, now),
            Content::Newer { manifest, pieces } => {
                let in_force = self.acceptance.in_force().cloned();
                let source = parcel::unpack(&manifest, &pieces, in_force.as_deref());
                if self.offer(source, Origin::Peer, now, actions) == Outcome::Failed {
                    self.ask(peer.clone(), true, now, actions);
                }
            }
        }
        self.ask_next(now, actions);
    }

    pub(super) fn wave(&mut self, now: Monotonic, actions: &mut Vec<Action>) {
        let Some(head) = self.acceptance.head().cloned() else {
            return;
        };
        let peers = self.sessions.next_wave(&head, now, &mut self.rng);
        if !peers.is_empty() {
            actions.push(Action::Announce(peers, head));
        }
    }

    /// Asks a peer that is ahead, or any peer if none has answered since the start or the last
    /// pause. Does nothing while a request is pending.
    pub(super) fn ask_next(&mut self, now: Monotonic, actions: &mut Vec<Action>) {
        if self.pending.is_some() {
            return;
        }
        let ahead = self.sessions.ahead(&self.acceptance, now, &mut self.rng);
        let peer = match ahead {
            None if self.readiness.needs_peer() => self.sessions.any_available(now, &mut self.rng),
            found => found,
        };
        if let Some(peer) = peer {
            self.ask(peer, false, now, actions);
        }
    }

    pub(super) fn ask(
        &mut self,
        peer: InstanceId,
        whole: bool,
        now: Monotonic,
        actions: &mut Vec<Action>,
    ) {
        let ticket = self.allocate_ticket();
        let have = self.acceptance.in_force();
        let ask = Ask {
            ticket,
            head: self.acceptance.head().cloned(),
            have: have.map_or_else(Default::default, |checked| {
                checked.manifest().sections.clone()
            }),
            whole,
        };
        self.pending = Some(Pending {
            peer: peer.clone(),
            ticket,
            deadline: now + ASK_TIMEOUT,
        });
        actions.push(Action::Ask(peer, ask));
    }
}

impl Allowance {
    /// Returns a full bucket.
    pub(super) fn new(now: Monotonic) -> Self {
        Self {
            bytes: SERVED_BURST_BYTES,
            at: now,
        }
    }

    /// Takes `bytes` if any bytes are left, even fewer than that; the balance may become negative.
    fn take(&mut self, bytes: usize, now: Monotonic) -> bool {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        self.bytes = (self.bytes + passed * SERVED_BYTES_PER_SECOND).min(SERVED_BURST_BYTES);
        if self.bytes <= 0.0 {
            return false;
        }
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        self.bytes -= f64::from(bytes);
        true
    }
}
