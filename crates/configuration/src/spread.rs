//! Distribution of configurations between processes.
//!
//! Every process runs one [`Spread`]. Announcements are small (a [`Head`]). The bytes are requested
//! from one peer at a time, so that each process receives a configuration once. All processes with
//! a session up are peers, entries and slots alike; this module doesn't decide which sessions to
//! open. Heads also arrive with heartbeats and requests, and have the same effect as announcements.

mod event;
mod peer;
mod platform;

use std::time::Duration;

use auburnline_core::id::FailureDomainId;
use auburnline_core::id::InstanceId;
use auburnline_core::time::Monotonic;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::acceptance::Acceptance;
use crate::acceptance::Verdict;
use crate::head::Head;
use crate::note::Note;
use crate::parcel::Ticket;
use crate::parcel::Versions;
use crate::readiness::Knowledge;
use crate::readiness::Origin;
use crate::readiness::Readiness;
use crate::readiness::Reason;
use crate::schedule::Member;
use crate::schedule::Outcome;
use crate::schedule::Schedule;
use crate::sessions::Sessions;
use crate::source::Source;
use crate::spread::peer::Allowance;
use crate::spread::peer::Pending;
use crate::staging::Staging;

pub use crate::spread::event::Action;
pub use crate::spread::event::Event;

/// State machine that decides on the distribution of configurations for one process.
///
/// It does no I/O: [`Spread::handle`] takes events and returns the actions to carry out.
#[derive(Debug)]
pub struct Spread {
    me: Member,
    rng: ChaCha8Rng,
    acceptance: Acceptance,
    readiness: Readiness,
    schedule: Schedule,
    sessions: Sessions,
    versions: Versions,
    pending: Option<Pending>,
    staging: Option<Staging>,
    allowance: Allowance,
    next_ticket: Ticket,
}

impl Spread {
    /// Returns the state of a process that starts at `now`; `seed` seeds its random choices.
    #[must_use]
    pub fn new(
        instance: InstanceId,
        failure_domain: FailureDomainId,
        seed: u64,
        now: Monotonic,
    ) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        Self {
            me: Member {
                instance,
                failure_domain,
            },
            acceptance: Acceptance::default(),
            readiness: Readiness::new(now),
            schedule: Schedule::new(now, &mut rng),
            sessions: Sessions::default(),
            versions: Versions::default(),
            pending: None,
            staging: None,
            allowance: Allowance::new(now),
            next_ticket: 1,
            rng,
        }
    }

    /// Returns the acceptance, with the configuration in force and the counters.
    #[must_use]
    pub fn acceptance(&self) -> &Acceptance {
        &self.acceptance
    }

    /// Returns whether this process watches the configuration service.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        self.schedule.is_reader()
    }

    /// Returns the number of sessions that are tracked.
    #[must_use]
    pub fn sessions(&self) -> usize {
        self.sessions.len()
    }

    /// Returns whether this process may send new work; `now` must be read for this send.
    ///
    /// # Errors
    ///
    /// Returns why not.
    pub fn may_send(&self, now: Monotonic) -> Result<(), Reason> {
        self.readiness.may_send(now)
    }

    /// Handles `event`; returns the actions to carry out, in order.
    pub fn handle(&mut self, event: Event, now: Monotonic) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(gap) = self.readiness.observe(self.next_ticket, now) {
            self.refresh_after_pause(gap, now, &mut actions);
        }
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::SessionUp(peer) => self.sessions.up(peer),
            Event::SessionDown(peer) => self.session_down(&peer),
            Event::Live(live) => self.live(&live, now, &mut actions),
            Event::Heard(peer, head) => self.heard(&peer, head.as_ref(), now, &mut actions),
            Event::Asked(peer, ask) => self.asked(peer, &ask, now, &mut actions),
            Event::Answered(peer, parcel) => self.answered(&peer, parcel, now, &mut actions),
            Event::Manifest(ticket, bytes) => self.manifest(ticket, &bytes, now, &mut actions),
            Event::Section(section, bytes) => self.section(section, bytes, now, &mut actions),
            Event::ManifestFailed(ticket) => self.read_ended(ticket, Outcome::Failed, now),
            Event::SectionFailed(section) => self.section_failed(section, now),
        }
        self.update_readiness(now, &mut actions);
        actions
    }

    /// Discards state that may be outdated after a pause, and asks the service and a peer again.
    fn refresh_after_pause(&mut self, gap: Duration, now: Monotonic, actions: &mut Vec<Action>) {
        actions.push(Action::Log(Note::Paused(gap)));
        self.sessions.reset();
        self.pending = None;
        self.staging = None;
        self.schedule.refresh(now);
        self.call(now, actions);
        self.ask_next(now, actions);
    }

    fn tick(&mut self, now: Monotonic, actions: &mut Vec<Action>) {
        if let Some(ticket) = self.schedule.late(now) {
            self.read_ended(ticket, Outcome::Failed, now);
        }
        self.advance_staging(now, actions);
        if let Some(pending) = self.pending.take_if(|pending| now >= pending.deadline) {
            self.sessions.back_off(&pending.peer, now);
            let peer = pending.peer;
            actions.push(Action::Log(Note::Unanswered { peer }));
        }
        self.wave(now, actions);
        self.ask_next(now, actions);
        self.call(now, actions);
    }

    fn session_down(&mut self, peer: &str) {
        self.sessions.down(peer);
        self.pending.take_if(|pending| &*pending.peer == peer);
    }

    fn live(&mut self, live: &[Member], now: Monotonic, actions: &mut Vec<Action>) {
        if self.schedule.set_live(&self.me, live, now) {
            let is_reader = self.schedule.is_reader();
            actions.push(Action::Log(Note::Reader(is_reader)));
        }
    }

    /// Offers a configuration to acceptance; if it is put in force, starts to announce it to peers.
    fn offer(
        &mut self,
        source: Source,
        origin: Origin,
        now: Monotonic,
        actions: &mut Vec<Action>,
    ) -> Outcome {
        let old = self.acceptance.in_force().cloned();
        let before = self.acceptance.head().cloned();
        match self.acceptance.offer(source) {
            Verdict::Accepted(checked) => {
                self.versions.advance(old.as_deref(), &checked);
                let head = Head::of(&checked);
                self.staging
                    .take_if(|staging| staging.head.revision <= head.revision);
                actions.push(Action::Log(Note::Installed {
                    head,
                    before,
                    origin,
                }));
                actions.push(Action::Install(checked));
                self.sessions.start_waves();
                self.wave(now, actions);
                Outcome::Newer
            }
            Verdict::Refused(refusal) => {
                let outcome = if refusal.is_final() {
                    Outcome::Rejected
                } else {
                    Outcome::Failed
                };
                actions.push(Action::Log(Note::Refused { origin, refusal }));
                outcome
            }
            Verdict::Same | Verdict::Older | Verdict::Conflict => Outcome::Rejected,
        }
    }

    fn allocate_ticket(&mut self) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        ticket
    }

    fn update_readiness(&mut self, now: Monotonic, actions: &mut Vec<Action>) {
        if self.readiness.is_ready() {
            return;
        }
        let knowledge = Knowledge {
            has_configuration: self.acceptance.in_force().is_some(),
            is_behind: self.staging.is_some() || self.sessions.any_ahead(&self.acceptance),
        };
        if self.readiness.update(knowledge, now) {
            let verdict = self.readiness.may_send(now);
            actions.push(Action::Log(Note::Ready(verdict)));
        }
    }
}
