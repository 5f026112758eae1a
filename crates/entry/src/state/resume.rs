//! Requests whose session is gone, until their slot is reached again or given up.

use std::time::Duration;

use auburnline_attempt::ledger::Fence;
use auburnline_attempt::ledger::Presence;
use auburnline_attempt::ledger::Refusal;
use auburnline_attempt::outcome::Cause;
use auburnline_attempt::outcome::Outcome;
use auburnline_attempt::outcome::Unknown;
use auburnline_core::answer::Failure;
use auburnline_core::error::Kind;
use auburnline_core::id::InstanceId;
use auburnline_core::id::Offset;
use auburnline_peer::wire::Attach;
use auburnline_peer::wire::Found;
use auburnline_peer::wire::Frame;
use auburnline_peer::wire::Stream;
use auburnline_process::link::Link;

use crate::answers::Note;
use crate::state::State;
use crate::state::exchange::Cut;
use crate::state::exchange::Exchange;
use crate::state::exchange::Phase;
use crate::state::exchange::Running;
use crate::state::retry::MAX_SENDS;

/// Time for a lost session to come back before a request's fate is given up.
pub(crate) const RESUME_WAIT: Duration = Duration::from_secs(3);
/// Time after that for a session to any other group to come back, if a request can be sent there:
/// some lost sessions and their return.
pub(crate) const UPSTREAM_WAIT: Duration = Duration::from_secs(3);

impl State {
    /// Notes that a request's session is gone.
    pub(crate) fn cut(&mut self, stream: Stream, offset: Offset) {
        let now = self.clock.now();
        let Some(exchange) = self.exchanges.get_mut(&stream) else {
            return;
        };
        if let Phase::Running(running) = &mut exchange.phase {
            running.cut = Some(Cut {
                since: now,
                offset,
                asked: false,
            });
        }
        let slot = match &exchange.phase {
            Phase::Running(running) => running.slot.clone(),
            _ => return,
        };
        // Another session to the same slot may be up already.
        if let Some(link) = self.fleet.links().to(&slot).cloned() {
            self.resume_one(stream, &link);
        }
    }

    /// Takes up the requests of a slot that is reached again.
    pub(crate) fn resume_all(&mut self, link: &Link) {
        let cut = self
            .exchanges
            .iter()
            .filter(|(_, exchange)| match &exchange.phase {
                Phase::Running(running) => running.cut.is_some() && running.slot == link.instance,
                _ => false,
            });
        let cut: Vec<Stream> = cut.map(|(stream, _)| *stream).collect();
        for stream in cut {
            self.resume_one(stream, link);
        }
    }

    fn resume_one(&mut self, stream: Stream, link: &Link) {
        let Some(exchange) = self.exchanges.get_mut(&stream) else {
            return;
        };
        let Phase::Running(running) = &mut exchange.phase else {
            return;
        };
        let Some(cut) = &mut running.cut else {
            return;
        };
        if running.incarnation != link.incarnation {
            return self.lose(stream, Cause::Restarted);
        }
        cut.asked = true;
        let offset = cut.offset;
        let id = exchange.request.id.clone();
        if offset > 0 || running.attempt.is_none() {
            return self.attach(stream, link, id, offset);
        }
        // The submission may never have arrived, or may yet arrive from the old session: a fence
        // settles which, and tells where the request stands if it did arrive.
        let fence = Fence {
            id,
            favoured: None,
            revision: self.revision(),
        };
        self.send(link.session, Frame::Fence(stream, fence));
    }

    fn attach(
        &mut self,
        stream: Stream,
        link: &Link,
        id: auburnline_core::id::RequestId,
        offset: Offset,
    ) {
        if let Some(Exchange {
            phase: Phase::Running(running),
            ..
        }) = self.exchanges.get_mut(&stream)
        {
            running.cut = None;
        }
        let session = link.session;
        self.note(Note::Move { stream, session });
        let attach = Attach { id, stream, offset };
        self.send(session, Frame::Attach(attach));
    }

    /// Takes the answer to the fence of a request that was cut off before its first byte.
    pub(crate) fn resume_found(&mut self, stream: Stream, link: &Link, found: &Found) {
        let held = self.exchanges.get(&stream);
        if !held.is_some_and(|exchange| matches!(exchange.phase, Phase::Running(_))) {
            return;
        }
        let Some(mut exchange) = self.exchanges.remove(&stream) else {
            return;
        };
        let Phase::Running(mut running) = exchange.take() else {
            return;
        };
        let fenced = matches!(found.finding.presence, Presence::Fenced { .. });
        let ours = running.incarnation == found.finding.incarnation;
        let waits = running.cut.is_some_and(|cut| cut.asked);
        if fenced
            && ours
            && waits
            && let Some(attempt) = running.attempt.take()
        {
            self.note(Note::Forget(stream));
            let refusal = Refusal {
                incarnation: running.incarnation,
                id: exchange.request.id.clone(),
                attempt: running.number,
                kind: Kind::Unreachable,
                revision: 0,
            };
            let failure = Failure::new(Kind::Unreachable, "the session was lost before it arrived");
            running.attempt = Some(attempt);
            return self.failed(stream, exchange, running, failure, &refusal, 0);
        }
        let known = matches!(found.finding.presence, Presence::Known { .. });
        let id = exchange.request.id.clone();
        exchange.phase = Phase::Running(running);
        self.exchanges.insert(stream, exchange);
        if known && ours && waits {
            self.attach(stream, link, id, 0);
        }
    }

    /// Returns whether a request whose slot is lost can be sent to another group as soon as there is
    /// a session to one.
    pub(crate) fn awaits_upstream(&self, exchange: &Exchange, running: &Running) -> bool {
        let untouched = running.cut.is_none_or(|cut| cut.offset == 0);
        let repeatable = untouched && running.attempt.is_some() && exchange.request.idempotent;
        let Some(checked) = self.configurations.in_force() else {
            return false;
        };
        if !repeatable || exchange.sends >= MAX_SENDS {
            return false;
        }
        let query = &exchange.query;
        let published = checked.fleet().pools.get(&exchange.pool);
        let groups = published.iter().flat_map(|pool| pool.groups.keys());
        let others = groups.filter(|group| {
            let model = checked.placement(group).map(|placement| &placement.model);
            let serves = model == query.model.as_ref() && !checked.group_drains(group);
            serves && !query.excluded.contains(group)
        });
        let mut slots = others
            .filter_map(|group| checked.admitting(group))
            .peekable();
        let is_up = |slot: &InstanceId| self.fleet.links().to(slot).is_some();
        slots.peek().is_some() && !slots.any(|slot| is_up(slot.instance))
    }

    /// Gives up on a request whose slot is lost.
    pub(crate) fn lose(&mut self, stream: Stream, cause: Cause) {
        self.note(Note::Forget(stream));
        let Some(mut exchange) = self.exchanges.remove(&stream) else {
            return;
        };
        let Phase::Running(running) = exchange.take() else {
            return;
        };
        let untouched = running.cut.is_none_or(|cut| cut.offset == 0);
        let Some(attempt) = running.attempt else {
            return self.finish(exchange, Outcome::Unknown(Unknown::new(cause)));
        };
        self.record(&exchange, &running.slot, Some(Kind::OutcomeUnknown));
        if !untouched {
            return self.finish(exchange, attempt.lost(cause));
        }
        match self.ask_again(&mut exchange, Kind::OutcomeUnknown) {
            Ok(turn) => match attempt.repeat() {
                Ok(fresh) => self.wait(stream, exchange, fresh, turn),
                Err(sent) => self.finish(exchange, sent.lost(cause)),
            },
            Err(_) => self.finish(exchange, attempt.lost(cause)),
        }
    }
}
