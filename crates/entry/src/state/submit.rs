//! A request's way to a slot.

use std::time::Duration;

use auburnline_attempt::attempt::Attempt;
use auburnline_attempt::attempt::Fresh;
use auburnline_attempt::attempt::Order;
use auburnline_attempt::attempt::Sent;
use auburnline_attempt::outcome::Outcome;
use auburnline_attempt::stream::Receiver;
use auburnline_caller::command::Key;
use auburnline_caller::command::Parts;
use auburnline_core::answer::Failure;
use auburnline_core::answer::Part;
use auburnline_core::error::Kind;
use auburnline_core::id::GroupId;
use auburnline_core::id::Incarnation;
use auburnline_core::id::InstanceId;
use auburnline_core::id::PoolId;
use auburnline_core::request::Request;
use auburnline_core::request::Work;
use auburnline_core::time::Monotonic;
use auburnline_peer::wire::Frame;
use auburnline_peer::wire::Stream;
use auburnline_peer::wire::Submit;
use auburnline_process::link::Link;
use auburnline_routing::Decision;
use auburnline_routing::Query;

use crate::answers::Note;
use crate::state::State;
use crate::state::exchange::Exchange;
use crate::state::exchange::Phase;
use crate::state::exchange::Running;
use crate::state::retry;

/// Most groups that are drawn for one send, if those that return from an ejection are drawn first.
const MAX_DRAWS: usize = 3;

impl State {
    /// Takes a request that has just arrived.
    pub(crate) fn submit(&mut self, mut request: Box<Request>, key: Key, parts: Parts) {
        let now = self.clock.now();
        let attempt = match key {
            Key::Minted => Attempt::generated(&request),
            Key::Caller => Attempt::new(&request),
        };
        let pool = match self.admit(&mut request, now) {
            Ok(pool) => pool,
            Err(failure) => return turn_away(attempt, failure, &parts),
        };
        let later = attempt.order() == Order::Later && !request.idempotent;
        let exchange = Exchange {
            query: Query::new(&request, pool.clone()),
            request,
            key,
            parts,
            pool,
            arrived: now,
            sends: 0,
            ticket: None,
            charge: None,
            phase: if later {
                Phase::Fresh(attempt)
            } else {
                Phase::Paying(attempt)
            },
        };
        let stream = self.number();
        self.exchanges.insert(stream, exchange);
        if later {
            self.claim(stream);
        } else {
            self.charge(stream);
        }
    }

    /// Returns the pool that serves a request that this entry may take.
    fn admit(&mut self, request: &mut Request, now: Monotonic) -> Result<PoolId, Failure> {
        let leaving = || Failure::new(Kind::Leaving, "this entry is leaving; use another");
        if self.stay.is_leaving() {
            return Err(leaving());
        }
        if let Err(reason) = self.configurations.may_send(now) {
            let detail = format!("this entry is not ready: {reason:?}");
            return Err(Failure::new(Kind::NotReady, detail));
        }
        let pool = self.pool(request)?;
        self.stay.admit(now).then_some(pool).ok_or_else(leaving)
    }

    /// Returns the pool that serves a request, and marks the request if it may be repeated.
    fn pool(&self, request: &mut Request) -> Result<PoolId, Failure> {
        let Some(checked) = self.configurations.in_force() else {
            return Err(Failure::new(Kind::NotReady, "no configuration is in force"));
        };
        if checked.limits(&request.workspace).is_none() {
            return Err(Failure::new(
                Kind::UnknownWorkspace,
                "the workspace is not published",
            ));
        }
        match &request.work {
            Work::Draft { model, .. } => {
                let pool = checked.pool_of_model(model).cloned();
                pool.ok_or_else(|| Failure::new(Kind::UnknownModel, "no pool serves the model"))
            }
            Work::Call {
                service,
                method,
                path,
                ..
            } => {
                let Some(call) = checked.call(service, method, path) else {
                    return Err(Failure::new(
                        Kind::UnknownRoute,
                        "no such call is published",
                    ));
                };
                request.idempotent = call.idempotent;
                Ok(service.clone())
            }
        }
    }

    /// Chooses a slot for a request that is at none, and sends it there.
    pub(crate) fn route(&mut self, stream: Stream) {
        let Some(mut exchange) = self.exchanges.remove(&stream) else {
            return;
        };
        let Phase::Fresh(attempt) = exchange.take() else {
            debug_assert!(false, "only a fresh attempt is routed");
            return;
        };
        match self.choose(&mut exchange) {
            Ok((group, link)) => self.hand_over(stream, exchange, attempt, group, &link),
            Err(kind) => {
                let outcome = attempt.not_sent(kind);
                self.finish(exchange, outcome);
            }
        }
    }

    /// Chooses a group for a request, and the session to it.
    pub(crate) fn choose(&mut self, exchange: &mut Exchange) -> Result<(GroupId, Link), Kind> {
        let now = self.clock.now();
        let elapsed = now.saturating_sub(exchange.arrived);
        if !exchange.request.idempotent {
            let unsettled = self.unsettled(&exchange.pool, exchange.request.age + elapsed);
            exchange.query.excluded.extend(unsettled);
        }
        exchange.query.deadline = exchange.request.deadline.saturating_sub(elapsed);
        let decision = self.draw(exchange, now);
        log::info!(target: "decision", request = &*exchange.request.id, detail:% = decision; "route");
        let group = decision.group()?;
        self.link_of(group, exchange).ok_or(Kind::Unreachable)
    }

    /// Asks the router, and again if a group that returns from an ejection is not to get this one.
    fn draw(&mut self, exchange: &mut Exchange, now: Monotonic) -> Decision {
        let shard = retry::shard(exchange);
        let before = exchange.query.excluded.len();
        let first = self.router.route(&exchange.query, now, &mut self.rng);
        let mut decision = first.clone();
        for _ in 0..MAX_DRAWS {
            let Ok(group) = decision.group() else {
                // None but returning groups are left, so the first choice gets it.
                decision = first;
                break;
            };
            let pools = &self.retries.pools;
            if pools.allowed(now, &shard, group, &mut self.rng) {
                break;
            }
            exchange.query.excluded.push(group.clone());
            decision = self.router.route(&exchange.query, now, &mut self.rng);
        }
        exchange.query.excluded.truncate(before);
        decision
    }

    /// Sends a request that is at no slot to the chosen one.
    pub(crate) fn hand_over(
        &mut self,
        stream: Stream,
        mut exchange: Exchange,
        attempt: Attempt<Fresh>,
        group: GroupId,
        link: &Link,
    ) {
        let now = self.clock.now();
        exchange.query.excluded.push(group.clone());
        exchange.ticket = self.router.record_sent(&group, &exchange.query, now);
        let (slot, incarnation) = (link.instance.clone(), link.incarnation);
        let sent = attempt.send(slot, incarnation);
        self.dispatch(stream, exchange, sent, link, group);
    }

    /// Returns the session of a group's admitting slot, if it was up before the first send.
    ///
    /// A first attempt that arrives late can then not reach a slot that is younger than the request.
    pub(crate) fn link_of(&self, group: &GroupId, exchange: &Exchange) -> Option<(GroupId, Link)> {
        let checked = self.configurations.in_force()?;
        let slot = checked.admitting(group)?;
        let link = self.fleet.links().to(slot.instance)?;
        let before = link.since + exchange.request.age <= exchange.arrived;
        (before || exchange.request.idempotent).then(|| (group.clone(), link.clone()))
    }

    /// Returns the groups whose slots are too new for first attempts of non-idempotent work.
    fn unsettled(&self, pool: &PoolId, age: Duration) -> Vec<GroupId> {
        let now = self.clock.now();
        let Some(candidates) = self.candidates.get(pool) else {
            return Vec::new();
        };
        let new = candidates
            .current()
            .filter(|slot| !candidates.allows_first_attempt(now, age, slot));
        new.filter_map(|slot| self.admits.get(slot).cloned())
            .collect()
    }

    /// Sends a request to one slot incarnation.
    pub(crate) fn dispatch(
        &mut self,
        stream: Stream,
        mut exchange: Exchange,
        attempt: Attempt<Sent>,
        link: &Link,
        group: GroupId,
    ) {
        let now = self.clock.now();
        self.pay_in(&exchange, &group);
        let number = attempt.number();
        let running = Running {
            slot: link.instance.clone(),
            incarnation: link.incarnation,
            number,
            attempt: Some(attempt),
            cut: None,
        };
        let elapsed = now.saturating_sub(exchange.arrived);
        let request = &exchange.request;
        let submit = Submit {
            id: request.id.clone(),
            stream,
            incarnation: link.incarnation,
            revision: self.revision(),
            attempt: number,
            age: request.age + elapsed,
            deadline: request.deadline.saturating_sub(elapsed),
            workspace: request.workspace.clone(),
            group,
            priority: request.priority,
            idempotent: request.idempotent,
            work: request.work.clone(),
        };
        exchange.sends += 1;
        exchange.phase = Phase::Running(running);
        let receiver = Receiver::new(link.incarnation, request.id.clone(), number);
        let expected = self.expect(stream, link, receiver, exchange.parts.clone());
        self.exchanges.insert(stream, exchange);
        let sent = expected && self.send(link.session, Frame::Submit(Box::new(submit)));
        if !sent {
            log::error!(target: "entry", ring = "peers"; "ring full");
            self.unsent(stream);
        }
    }

    /// Ends a request whose frame did not even leave this thread.
    fn unsent(&mut self, stream: Stream) {
        let Some(exchange) = self.exchanges.remove(&stream) else {
            return;
        };
        self.note(Note::Forget(stream));
        let later = exchange.request.attempt != Some(1) && !exchange.request.idempotent;
        let kind = if later {
            Kind::OutcomeUnknown
        } else {
            Kind::Overloaded
        };
        self.conclude(exchange, Failure::new(kind, "this entry has no room"));
    }

    /// Tells the peers' duty to expect an answer.
    pub(crate) fn expect(
        &self,
        stream: Stream,
        link: &Link,
        receiver: Receiver,
        parts: Parts,
    ) -> bool {
        self.note(Note::Expect {
            stream,
            session: link.session,
            receiver: Box::new(receiver),
            parts,
        })
    }

    /// Ends a request by the outcome of its attempt or claim.
    pub(crate) fn finish(&mut self, mut exchange: Exchange, outcome: Outcome) {
        let failure = match outcome {
            Outcome::Answered(whole) => {
                let end = Part::End {
                    length: whole.length(),
                    checksum: whole.checksum(),
                };
                let charge = exchange.charge.take();
                self.credit(charge, Some(&end), exchange.query.prompt_tokens);
                return self.close(exchange);
            }
            Outcome::Ran(kind) => Failure::new(kind, "it ran and has no whole answer"),
            Outcome::NotRun(not_run) => {
                let proof = format!("not run: {:?}", not_run.proof());
                Failure::new(not_run.kind(), proof)
            }
            Outcome::Unknown(unknown) => {
                let detail = format!("fate unknown: {:?}", unknown.cause);
                Failure::new(unknown.kind(), detail).retry(unknown.retry)
            }
        };
        self.conclude(exchange, failure);
    }

    /// Gives a caller its final answer.
    pub(crate) fn conclude(&mut self, mut exchange: Exchange, failure: Failure) {
        log::info!(
            target: "decision",
            request = &*exchange.request.id,
            kind:% = failure.kind,
            sends = exchange.sends,
            retry_ms = failure.retry.unwrap_or(Duration::ZERO).as_millis();
            "answer"
        );
        let end = Part::Failure(failure);
        let charge = exchange.charge.take();
        self.credit(charge, Some(&end), exchange.query.prompt_tokens);
        let _ = exchange.parts.push(end);
        self.close(exchange);
    }

    /// Ends a request that is at no slot and goes to none.
    pub(crate) fn end(&mut self, exchange: Exchange, attempt: Attempt<Fresh>, failure: Failure) {
        self.conclude(exchange, unsent(attempt, failure));
    }

    /// Gives back what a request holds here.
    pub(crate) fn close(&mut self, mut exchange: Exchange) {
        self.release(&mut exchange);
        self.stay.finish();
    }

    /// Takes a request's tokens from the group that it was sent to.
    pub(crate) fn release(&mut self, exchange: &mut Exchange) {
        if let Some(ticket) = exchange.ticket.take() {
            self.router.record_finished(ticket);
        }
    }

    /// Returns the session to an instance, if it is that incarnation's.
    pub(crate) fn link(&self, slot: &InstanceId, incarnation: Incarnation) -> Option<Link> {
        let link = self.fleet.links().to(slot)?;
        (link.incarnation == incarnation).then(|| link.clone())
    }

    /// Puts a request back to the start of its way.
    pub(crate) fn again(
        &mut self,
        stream: Stream,
        mut exchange: Exchange,
        attempt: Attempt<Fresh>,
    ) {
        self.release(&mut exchange);
        exchange.phase = Phase::Fresh(attempt);
        self.exchanges.insert(stream, exchange);
        self.route(stream);
    }
}

/// Ends a request that this entry does not take; of a later attempt that leaves the fate unknown.
fn turn_away(attempt: Attempt<Fresh>, failure: Failure, parts: &Parts) {
    let _ = parts.push(Part::Failure(unsent(attempt, failure)));
}

/// Returns the answer of an attempt that is at no slot and goes to none.
fn unsent(attempt: Attempt<Fresh>, failure: Failure) -> Failure {
    match attempt.not_sent(failure.kind) {
        Outcome::Unknown(unknown) => {
            let detail = format!("not sent by this attempt: {}", failure.detail);
            Failure::new(unknown.kind(), detail).retry(unknown.retry)
        }
        Outcome::NotRun(_) | Outcome::Ran(_) | Outcome::Answered(_) => failure,
    }
}
