//! The configuration's exchange with peers and platform, in the terms of the duties.
//!
//! [`Exchange`] holds the decisions of `auburnline-configuration` and turns frames and readings into
//! their events, and their actions into [`Effects`]. It decides nothing itself.

use std::sync::Arc;

use auburnline_configuration::checked::Checked;
use auburnline_configuration::head::Head;
use auburnline_configuration::note::Note;
use auburnline_configuration::readiness::Reason;
use auburnline_configuration::schedule::Member;
use auburnline_configuration::spread::Action;
use auburnline_configuration::spread::Event;
use auburnline_configuration::spread::Spread;
use auburnline_core::id::FailureDomainId;
use auburnline_core::id::InstanceId;
use auburnline_core::time::Monotonic;
use auburnline_peer::wire::Frame;

use crate::reader::Order;
use crate::reader::Reading;

/// What is to be done after an event.
#[derive(Debug, Default)]
pub struct Effects {
    /// Frames to send, in order.
    pub frames: Vec<(InstanceId, Frame)>,
    /// What to read from the platform.
    pub reads: Vec<Order>,
    /// Configuration to take into force.
    pub install: Option<Arc<Checked>>,
}

/// Configuration of one process.
#[derive(Debug)]
pub struct Exchange {
    spread: Spread,
    in_force_since: Option<Monotonic>,
    last_refusal: Option<String>,
}

impl Exchange {
    /// Starts with nothing in force.
    #[must_use]
    pub fn new(
        instance: InstanceId,
        failure_domain: FailureDomainId,
        seed: u64,
        now: Monotonic,
    ) -> Exchange {
        Exchange {
            spread: Spread::new(instance, failure_domain, seed, now),
            in_force_since: None,
            last_refusal: None,
        }
    }

    /// Returns the decisions, to look at.
    #[must_use]
    pub fn spread(&self) -> &Spread {
        &self.spread
    }

    /// Returns what is in force.
    #[must_use]
    pub fn in_force(&self) -> Option<&Arc<Checked>> {
        self.spread.acceptance().in_force()
    }

    /// Returns the name of what is in force.
    #[must_use]
    pub fn head(&self) -> Option<&Head> {
        self.spread.acceptance().head()
    }

    /// Returns when it came into force.
    #[must_use]
    pub fn in_force_since(&self) -> Option<Monotonic> {
        self.in_force_since
    }

    /// Returns why the last invalid configuration was refused.
    #[must_use]
    pub fn last_refusal(&self) -> Option<&str> {
        self.last_refusal.as_deref()
    }

    /// Returns whether this process may send new work now.
    ///
    /// # Errors
    ///
    /// Returns why not.
    pub fn may_send(&self, now: Monotonic) -> Result<(), Reason> {
        self.spread.may_send(now)
    }

    /// Takes the passing of time.
    pub fn tick(&mut self, now: Monotonic) -> Effects {
        self.handle(Event::Tick, now)
    }

    /// Takes a session that came up.
    pub fn up(&mut self, peer: InstanceId, head: Option<Head>, now: Monotonic) -> Effects {
        let mut effects = self.handle(Event::SessionUp(peer.clone()), now);
        effects.extend(self.heard(peer, head, now));
        effects
    }

    /// Takes a session that is gone, the last one with its peer.
    pub fn down(&mut self, peer: InstanceId, now: Monotonic) -> Effects {
        self.handle(Event::SessionDown(peer), now)
    }

    /// Takes what a peer said it has in force.
    pub fn heard(&mut self, peer: InstanceId, head: Option<Head>, now: Monotonic) -> Effects {
        self.handle(Event::Heard(peer, head), now)
    }

    /// Takes the believed-live processes.
    pub fn live(&mut self, live: Vec<Member>, now: Monotonic) -> Effects {
        self.handle(Event::Live(live), now)
    }

    /// Takes a frame; `Err` gives back one that is not about the configuration.
    ///
    /// # Errors
    ///
    /// The frame, if it is about something else.
    pub fn frame(
        &mut self,
        peer: InstanceId,
        frame: Frame,
        now: Monotonic,
    ) -> Result<Effects, Frame> {
        let event = match frame {
            Frame::Announce(head) => Event::Heard(peer, Some(head)),
            Frame::Ask(ask) => Event::Asked(peer, ask),
            Frame::Parcel(parcel) => Event::Answered(peer, parcel),
            other => return Err(other),
        };
        Ok(self.handle(event, now))
    }

    /// Takes a reading of the platform; the instance list is not for here.
    pub fn reading(&mut self, reading: Reading, now: Monotonic) -> Effects {
        let event = match reading {
            Reading::Manifest(ticket, Some(bytes)) => {
                Event::Manifest(ticket, bytes.as_ref().into())
            }
            Reading::Manifest(ticket, None) => Event::ManifestFailed(ticket),
            Reading::Section(section, Some(bytes)) => {
                Event::Section(section, bytes.as_ref().into())
            }
            Reading::Section(section, None) => Event::SectionFailed(section),
            Reading::Instances(_) => return Effects::default(),
        };
        self.handle(event, now)
    }

    fn handle(&mut self, event: Event, now: Monotonic) -> Effects {
        let mut effects = Effects::default();
        for action in self.spread.handle(event, now) {
            if let Action::Log(Note::Refused { refusal, .. }) = &action {
                self.last_refusal = Some(refusal.to_string());
            }
            effects.add(action);
        }
        if effects.install.is_some() {
            self.in_force_since = Some(now);
        }
        effects
    }
}

impl Effects {
    fn extend(&mut self, other: Effects) {
        self.frames.extend(other.frames);
        self.reads.extend(other.reads);
        self.install = other.install.or(self.install.take());
    }

    fn add(&mut self, action: Action) {
        match action {
            Action::ReadManifest {
                ticket,
                known,
                wait,
            } => self.reads.push(Order::Manifest {
                ticket,
                known,
                wait,
            }),
            Action::ReadSection(section, key) => self.reads.push(Order::Section(section, key)),
            Action::Announce(peers, head) => {
                let frame = |peer| (peer, Frame::Announce(head.clone()));
                self.frames.extend(peers.into_iter().map(frame));
            }
            Action::Ask(peer, ask) => self.frames.push((peer, Frame::Ask(ask))),
            Action::Answer(peer, parcel) => self.frames.push((peer, Frame::Parcel(parcel))),
            Action::Install(checked) => self.install = Some(checked),
            Action::Log(note) => {
                log::info!(target: "decision", note:% = note; "configuration");
            }
        }
    }
}
