//! Later attempts: what the slots know, and who may run them.

use std::collections::BTreeSet;
use std::time::Duration;

use auburnline_attempt::attempt::Attempt;
use auburnline_attempt::claim::Ask;
use auburnline_attempt::claim::Claim;
use auburnline_attempt::claim::Input;
use auburnline_attempt::claim::Mode;
use auburnline_attempt::claim::Query;
use auburnline_attempt::claim::Step;
use auburnline_attempt::fingerprint;
use auburnline_attempt::ledger::RETRY_WINDOW;
use auburnline_attempt::outcome::Cause;
use auburnline_attempt::outcome::Outcome;
use auburnline_attempt::outcome::Unknown;
use auburnline_attempt::stream::Receiver;
use auburnline_core::id::InstanceId;
use auburnline_core::request::Work;
use auburnline_core::time::Monotonic;
use auburnline_peer::wire::Attach;
use auburnline_peer::wire::Found;
use auburnline_peer::wire::Frame;
use auburnline_peer::wire::Reference;
use auburnline_peer::wire::Stream;

use crate::state::State;
use crate::state::exchange::Exchange;
use crate::state::exchange::Phase;
use crate::state::exchange::Running;

/// Time after which a slot that does not answer is taken as one that can't be asked.
const CLAIM_WAIT: Duration = Duration::from_millis(800);

impl State {
    /// Starts the claim of a later attempt.
    pub(crate) fn claim(&mut self, stream: Stream) {
        let now = self.clock.now();
        let Some(mut exchange) = self.exchanges.remove(&stream) else {
            return;
        };
        let Some(input) = self.input(&exchange, now) else {
            let unknown = Unknown::new(Cause::UnknownPool);
            return self.finish(exchange, Outcome::Unknown(unknown));
        };
        let (claim, step) = Claim::begin(now, input);
        exchange.phase = Phase::Claiming {
            claim: Box::new(claim),
            until: now + CLAIM_WAIT,
        };
        self.exchanges.insert(stream, exchange);
        self.step(stream, step);
    }

    fn input(&self, exchange: &Exchange, now: Monotonic) -> Option<Input> {
        let request = &exchange.request;
        let waited = now.saturating_sub(exchange.arrived);
        let age = request.attempt.map(|_| request.age + waited);
        let candidates = self.candidates.get(&exchange.pool)?;
        let reachable_slots = self.reachable_slots(exchange, now, age.unwrap_or(RETRY_WINDOW))?;
        let admitting = candidates.current();
        let admitting = admitting.filter(|slot| self.admits_work(slot));
        Some(Input {
            id: request.id.clone(),
            fingerprint: fingerprint::of(request),
            age,
            admitting: admitting.cloned().collect(),
            reachable_slots,
            known_for: candidates.known_for(now),
            revision: self.revision(),
            mode: Mode::Run,
        })
    }

    /// Returns the slots that an earlier attempt can have reached, also before a preset moved its
    /// model to another pool.
    fn reachable_slots(
        &self,
        exchange: &Exchange,
        now: Monotonic,
        age: Duration,
    ) -> Option<Vec<InstanceId>> {
        let mut pools = BTreeSet::from([&exchange.pool]);
        if let Work::Draft { model, .. } = &exchange.request.work {
            let checked = self.configurations.in_force()?;
            pools.extend(checked.pools_of_model(model));
        }
        let mut reachable_slots = Vec::new();
        for pool in pools {
            reachable_slots.extend(self.candidates.get(pool)?.reachable_slots(now, age)?);
        }
        Some(reachable_slots)
    }

    /// Takes a slot's answer to a query of a claim.
    pub(crate) fn claim_found(&mut self, stream: Stream, from: &InstanceId, found: &Found) {
        let now = self.clock.now();
        let Some(exchange) = self.exchanges.get_mut(&stream) else {
            return;
        };
        if let Phase::Claiming { claim, .. } = &mut exchange.phase {
            let step = claim.answer(now, from, &found.finding);
            self.step(stream, step);
        }
    }

    /// Takes the silence of slots for an answer once a claim has waited long enough.
    pub(crate) fn claim_late(&mut self, stream: Stream) {
        while let Some(slot) = self.awaited(stream) {
            self.claim_unreachable(stream, &slot);
        }
    }

    fn awaited(&self, stream: Stream) -> Option<InstanceId> {
        match &self.exchanges.get(&stream)?.phase {
            Phase::Claiming { claim, .. } => claim.awaited().next().cloned(),
            _ => None,
        }
    }

    fn claim_unreachable(&mut self, stream: Stream, slot: &InstanceId) {
        let Some(exchange) = self.exchanges.get_mut(&stream) else {
            return;
        };
        if let Phase::Claiming { claim, .. } = &mut exchange.phase {
            let step = claim.unreachable(slot);
            self.step(stream, step);
        }
    }

    /// Tells all claims that a slot can't be asked.
    pub(crate) fn claims_lost(&mut self, slot: &InstanceId) {
        let claiming = self
            .exchanges
            .iter()
            .filter(|(_, exchange)| match &exchange.phase {
                Phase::Claiming { claim, .. } => claim.awaited().any(|name| name == slot),
                _ => false,
            });
        let streams: Vec<Stream> = claiming.map(|(stream, _)| *stream).collect();
        for stream in streams {
            self.claim_unreachable(stream, slot);
        }
    }

    fn step(&mut self, stream: Stream, step: Step) {
        match step {
            Step::Ask(asks) => asks.into_iter().for_each(|ask| self.ask(stream, ask)),
            Step::Serve {
                slot,
                incarnation,
                attempt,
                ..
            } => self.serve(
                stream,
                Running {
                    slot,
                    incarnation,
                    number: attempt,
                    attempt: None,
                    cut: None,
                },
            ),
            Step::Run { slot, incarnation } => {
                let Some(exchange) = self.exchanges.remove(&stream) else {
                    return;
                };
                let sent = Attempt::new(&exchange.request).send(slot.clone(), incarnation);
                let link = self.link(&slot, incarnation);
                let group = self.admits.get(&slot).cloned();
                log::info!(target: "decision", request = &*exchange.request.id, slot = &*slot, reason = "claimed"; "route");
                match link.zip(group) {
                    Some((link, group)) => self.dispatch(stream, exchange, sent, &link, group),
                    None => self.finish(exchange, sent.lost(Cause::Unreachable)),
                }
            }
            Step::NotRun(not_run) => self.end_claim(stream, Outcome::NotRun(not_run)),
            Step::Unknown(unknown) => self.end_claim(stream, Outcome::Unknown(unknown)),
        }
    }

    fn end_claim(&mut self, stream: Stream, outcome: Outcome) {
        if let Some(exchange) = self.exchanges.remove(&stream) {
            self.finish(exchange, outcome);
        }
    }

    fn ask(&mut self, stream: Stream, ask: Ask) {
        let Some(link) = self.fleet.links().to(&ask.slot) else {
            return self.claim_unreachable(stream, &ask.slot);
        };
        let session = link.session;
        let frame = match ask.query {
            Query::Locate { id, revision } => Frame::Locate(Reference {
                id,
                stream,
                revision,
            }),
            Query::Fence(fence) => Frame::Fence(stream, fence),
        };
        if !self.send(session, frame) {
            self.claim_unreachable(stream, &ask.slot);
        }
    }

    /// Reads the answer of an earlier attempt from its slot.
    fn serve(&mut self, stream: Stream, running: Running) {
        let Some(mut exchange) = self.exchanges.remove(&stream) else {
            return;
        };
        let id = exchange.request.id.clone();
        log::info!(target: "decision", request = &*id, slot = &*running.slot, reason = "known there"; "attach");
        let Some(link) = self.link(&running.slot, running.incarnation) else {
            let unknown = Unknown::new(Cause::Unreachable);
            return self.finish(exchange, Outcome::Unknown(unknown));
        };
        let receiver = Receiver::new(running.incarnation, id.clone(), running.number);
        self.expect(stream, &link, receiver, exchange.parts.clone());
        exchange.phase = Phase::Running(running);
        self.exchanges.insert(stream, exchange);
        let attach = Attach {
            id,
            stream,
            offset: 0,
        };
        self.send(link.session, Frame::Attach(attach));
    }
}
