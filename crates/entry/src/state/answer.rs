//! What comes back from slots, and what to do when it does not.

use std::time::Duration;

use auburnline_attempt::attempt::Attempt;
use auburnline_attempt::attempt::Disposition;
use auburnline_attempt::attempt::Fresh;
use auburnline_attempt::attempt::Sent;
use auburnline_attempt::ledger::Refusal;
use auburnline_attempt::outcome::Cause;
use auburnline_attempt::outcome::Outcome;
use auburnline_attempt::outcome::Unknown;
use auburnline_core::answer::Failure;
use auburnline_core::error::Fate;
use auburnline_core::error::Kind;
use auburnline_core::id::Offset;
use auburnline_core::id::Revision;
use auburnline_core::request::Work;
use auburnline_core::time::Monotonic;
use auburnline_peer::wire::Attach;
use auburnline_peer::wire::Frame;
use auburnline_peer::wire::Reference;
use auburnline_peer::wire::Stream;

use crate::answers::Note;
use crate::event::Answer;
use crate::state::State;
use crate::state::exchange::Exchange;
use crate::state::exchange::Phase;
use crate::state::exchange::Running;
use crate::state::resume::RESUME_WAIT;
use crate::state::resume::UPSTREAM_WAIT;
use crate::state::retry;
use crate::state::retry::MAX_SENDS;

/// Time for a newer configuration to arrive after a slot has asked for it.
const BEHIND_WAIT: Duration = Duration::from_secs(1);

impl State {
    /// Takes the end or the stop of an answer.
    pub(crate) fn answer(&mut self, stream: Stream, answer: Answer) {
        if let Answer::Cut(offset) = answer {
            return self.cut(stream, offset);
        }
        let Some(mut exchange) = self.exchanges.remove(&stream) else {
            return;
        };
        let Phase::Running(running) = exchange.take() else {
            debug_assert!(false, "answers come to running requests");
            return;
        };
        match answer {
            Answer::Whole(whole) => {
                self.acknowledge(&exchange, &running, whole.length());
                if running.attempt.is_some() {
                    self.record(&exchange, &running.slot, None);
                }
                let outcome = match running.attempt {
                    Some(attempt) => attempt.answered(whole),
                    None => Outcome::Answered(whole),
                };
                self.finish(exchange, outcome);
            }
            Answer::Failure {
                failure,
                incarnation,
                attempt,
                revision,
                offset,
            } => {
                let refusal = Refusal {
                    incarnation,
                    id: exchange.request.id.clone(),
                    attempt,
                    kind: failure.kind,
                    revision,
                };
                self.failed(stream, exchange, running, failure, &refusal, offset);
            }
            Answer::Damaged => {
                self.record(&exchange, &running.slot, Some(Kind::Incomplete));
                let unknown = Unknown::new(Cause::Incomplete);
                self.finish(exchange, Outcome::Unknown(unknown));
            }
            // What was started goes on at the slot, where the caller may ask for it again.
            Answer::Untaken(offset) => {
                log::info!(target: "entry", request = &*exchange.request.id, offset; "caller gone or slow");
                self.close(exchange);
            }
            Answer::Cut(_) => {}
        }
    }

    fn acknowledge(&self, exchange: &Exchange, running: &Running, length: Offset) {
        let Some(link) = self.link(&running.slot, running.incarnation) else {
            return;
        };
        // A caller who may come back with its key may not have got all; its answer stays for a while.
        if exchange.key == auburnline_caller::command::Key::Minted {
            let attach = Attach {
                id: exchange.request.id.clone(),
                stream: 0,
                offset: length,
            };
            self.send(link.session, Frame::Acknowledge(attach));
        }
    }

    pub(crate) fn failed(
        &mut self,
        stream: Stream,
        exchange: Exchange,
        mut running: Running,
        failure: Failure,
        refusal: &Refusal,
        offset: Offset,
    ) {
        let Some(attempt) = running.attempt.take() else {
            // The word of a slot on an earlier attempt speaks for that slot only.
            let failure = match failure.kind.fate() {
                Fate::NotRun => Failure::new(Kind::OutcomeUnknown, failure.detail),
                Fate::Ran | Fate::Unknown => failure,
            };
            return self.conclude(exchange, failure);
        };
        if !matches!(failure.kind.fate(), Fate::NotRun) {
            self.record(&exchange, &running.slot, Some(failure.kind));
        }
        match failure.kind.fate() {
            Fate::Ran => self.finish(exchange, attempt.failed(failure.kind)),
            // Another run's bytes don't continue those that the caller has.
            Fate::Unknown if offset > 0 => self.conclude(exchange, failure),
            Fate::Unknown => self.repeat(stream, exchange, attempt, failure),
            Fate::NotRun => match attempt.refused(&running.slot, refusal) {
                Disposition::Resendable(fresh) => {
                    self.record(&exchange, &running.slot, Some(failure.kind));
                    self.refused(stream, exchange, fresh, failure, refusal.revision);
                }
                Disposition::Ended(outcome) => self.finish(exchange, outcome),
                Disposition::Unmatched(attempt) => {
                    running.attempt = Some(attempt);
                    let mut exchange = exchange;
                    exchange.phase = Phase::Running(running);
                    self.exchanges.insert(stream, exchange);
                }
            },
        }
    }

    /// Sends idempotent work again whose fate is unknown, or ends it.
    fn repeat(
        &mut self,
        stream: Stream,
        mut exchange: Exchange,
        attempt: Attempt<Sent>,
        failure: Failure,
    ) {
        match self.ask_again(&mut exchange, failure.kind) {
            Ok(turn) => match attempt.repeat() {
                Ok(fresh) => self.wait(stream, exchange, fresh, turn),
                Err(_) => self.conclude(exchange, failure),
            },
            Err(_) => self.conclude(exchange, failure),
        }
    }

    /// A slot refused a request, which is now at none.
    fn refused(
        &mut self,
        stream: Stream,
        mut exchange: Exchange,
        attempt: Attempt<Fresh>,
        failure: Failure,
        revision: Revision,
    ) {
        let elsewhere = matches!(
            failure.kind,
            Kind::Overloaded | Kind::Leaving | Kind::NotReady | Kind::Unreachable
        );
        if elsewhere {
            return match self.ask_again(&mut exchange, failure.kind) {
                Ok(turn) => self.wait(stream, exchange, attempt, turn),
                Err(_) => self.end(exchange, attempt, retry::last(failure)),
            };
        }
        if failure.kind == Kind::StaleRevision && exchange.sends < MAX_SENDS {
            exchange.query.excluded.clear();
            exchange.phase = Phase::Behind {
                attempt,
                revision,
                until: self.clock.now() + BEHIND_WAIT,
            };
            self.exchanges.insert(stream, exchange);
            return self.catch_up();
        }
        let outcome = attempt.not_sent(failure.kind);
        match (outcome, failure.retry) {
            (Outcome::NotRun(_), Some(retry)) => {
                let better = Failure::new(failure.kind, failure.detail).retry(retry);
                self.conclude(exchange, better);
            }
            (outcome, _) => self.finish(exchange, outcome),
        }
    }

    /// Routes the requests that waited for a configuration that is now in force.
    pub(crate) fn catch_up(&mut self) {
        let revision = self.revision();
        let ready = self
            .exchanges
            .iter()
            .filter(|(_, exchange)| match &exchange.phase {
                Phase::Behind {
                    revision: wanted, ..
                } => *wanted <= revision,
                _ => false,
            });
        let ready: Vec<Stream> = ready.map(|(stream, _)| *stream).collect();
        for stream in ready {
            let Some(mut exchange) = self.exchanges.remove(&stream) else {
                continue;
            };
            if let Phase::Behind { attempt, .. } = exchange.take() {
                self.again(stream, exchange, attempt);
            }
        }
    }

    /// Ends what has waited too long.
    pub(crate) fn expire(&mut self, now: Monotonic) {
        let streams: Vec<Stream> = self.exchanges.keys().copied().collect();
        for stream in streams {
            self.expire_one(stream, now);
        }
    }

    fn expire_one(&mut self, stream: Stream, now: Monotonic) {
        let Some(exchange) = self.exchanges.get(&stream) else {
            return;
        };
        let past = now >= exchange.deadline();
        match &exchange.phase {
            Phase::Running(running) => match running.cut {
                Some(cut) if now >= cut.since + RESUME_WAIT => {
                    let may_wait = !past && now < cut.since + RESUME_WAIT + UPSTREAM_WAIT;
                    if !may_wait || !self.awaits_upstream(exchange, running) {
                        self.lose(stream, Cause::SessionLost);
                    }
                }
                _ if past => self.time_out(stream),
                _ => {}
            },
            Phase::Claiming { until, .. } if past || now >= *until => self.claim_late(stream),
            Phase::Waiting { turn, .. } if past || now >= turn.until => {
                self.take_turn(stream, now);
            }
            Phase::Behind { until, .. } if past || now >= *until => {
                let Some(mut exchange) = self.exchanges.remove(&stream) else {
                    return;
                };
                if let Phase::Behind { attempt, .. } = exchange.take() {
                    let outcome = attempt.not_sent(Kind::NotReady);
                    self.finish(exchange, outcome);
                }
            }
            _ => {}
        }
    }

    /// Ends a running request whose answer would come too late.
    fn time_out(&mut self, stream: Stream) {
        self.note(Note::Forget(stream));
        let Some(mut exchange) = self.exchanges.remove(&stream) else {
            return;
        };
        let id = exchange.request.id.clone();
        let draft = matches!(exchange.request.work, Work::Draft { .. });
        if let Phase::Running(running) = exchange.take()
            && draft
            && let Some(link) = self.link(&running.slot, running.incarnation)
        {
            self.send(
                link.session,
                Frame::Cancel(Reference {
                    id,
                    stream,
                    revision: self.revision(),
                }),
            );
        }
        let failure = Failure::new(Kind::Timeout, "the deadline passed while it ran");
        self.conclude(exchange, failure);
    }
}
