//! Requests from submission to their end.

use auburnline_attempt::fingerprint;
use auburnline_attempt::ledger::Cancellation;
use auburnline_attempt::ledger::Fence;
use auburnline_attempt::ledger::Finding;
use auburnline_attempt::ledger::Submission;
use auburnline_attempt::ledger::Verdict;
use auburnline_core::answer::Failure;
use auburnline_core::answer::Part;
use auburnline_core::error::Fate;
use auburnline_core::error::Kind;
use auburnline_core::id::Attempt;
use auburnline_core::id::RequestId;
use auburnline_core::id::Revision;
use auburnline_core::request::Priority;
use auburnline_core::request::Request;
use auburnline_core::request::Work;
use auburnline_limits::queue::Cancelled;
use auburnline_limits::queue::Pushed;
use auburnline_limits::queue::Shed;
use auburnline_limits::queue::Waiting;
use auburnline_peer::node::SessionId;
use auburnline_peer::wire::Answer;
use auburnline_peer::wire::Found;
use auburnline_peer::wire::Frame;
use auburnline_peer::wire::Reference;
use auburnline_peer::wire::Stream;
use auburnline_peer::wire::Submit;

use crate::state::State;
use crate::upstream;
use crate::upstream::End;

/// Bytes of text taken for a token.
const BYTES_PER_TOKEN: usize = 4;
/// Weight of a workspace that is not published here yet.
const DEFAULT_WEIGHT: u32 = 1;

/// Bytes of a request beside its text.
const OWN_BYTES: usize = 2 << 10;
/// Copies of its text: the request, and the message to the upstream.
const COPIES: usize = 2;

/// A request that was admitted and has not started, or runs.
pub(crate) struct Job {
    work: Option<Box<Work>>,
    priority: Priority,
    tokens: u64,
}

impl State {
    /// Decides on a submission and starts what can start.
    pub(crate) fn submit(&mut self, session: SessionId, submit: &Submit) {
        let now = self.clock.now();
        let (request, submission) = split(submit);
        match self.ledger.submit(now, &submission) {
            Verdict::Admitted => {
                let admitted = self.stay.admit(now);
                debug_assert!(admitted, "the ledger drains while the slot leaves");
                self.subscribe(session, &submit.id, submit.stream, submit.attempt, 0);
                self.enqueue(request);
            }
            Verdict::Attached(standing) => {
                log::info!(target: "decision", request = &*submit.id, standing:? = standing; "attach");
                self.subscribe(session, &submit.id, submit.stream, submit.attempt, 0);
                self.feed(&submit.id);
            }
            Verdict::Refused(refusal) => {
                log::info!(target: "decision", request = &*submit.id, reason:% = refusal.kind; "refuse");
                let failure = Failure::new(refusal.kind, "refused by the slot");
                self.answer_failure(session, submit, failure);
            }
            Verdict::Unsure => {
                let failure = Failure::new(Kind::OutcomeUnknown, "older than this slot's ledger");
                self.answer_failure(session, submit, failure);
            }
            Verdict::Dropped => {
                log::warn!(target: "slot", request = &*submit.id; "submission for another incarnation");
            }
        }
    }

    fn answer_failure(&self, session: SessionId, submit: &Submit, failure: Failure) {
        let answer = Answer {
            id: submit.id.clone(),
            stream: submit.stream,
            incarnation: self.incarnation,
            attempt: submit.attempt,
            part: Part::Failure(failure),
            revision: self.revision(),
        };
        self.send(session, Frame::Answer(answer));
    }

    fn enqueue(&mut self, request: Request) {
        let now = self.clock.now();
        let tokens = tokens(&request.work);
        let waiting = Waiting {
            key: request.id.clone(),
            workspace: request.workspace.clone(),
            weight: self.weight(&request.workspace),
            priority: request.priority,
            tokens,
            bytes: bytes(&request.work),
            deadline: now + request.deadline,
        };
        let job = Job {
            work: Some(Box::new(request.work)),
            priority: request.priority,
            tokens,
        };
        self.jobs.insert(request.id.clone(), job);
        match self.queue.push(now, waiting) {
            Pushed::Queued { displaced, .. } => {
                if let Some(shed) = displaced {
                    self.shed(shed);
                }
            }
            Pushed::Refused(shed) => self.shed(shed),
            Pushed::Duplicate => debug_assert!(false, "the ledger admits an id once"),
        }
        self.pump();
    }

    fn weight(&self, workspace: &str) -> u32 {
        let limits = self.exchange.in_force().and_then(|it| it.limits(workspace));
        limits.map_or(DEFAULT_WEIGHT, |limits| limits.weight)
    }

    /// Answers a request that the queue gave up: it was queued, so it is proved not to run.
    pub(crate) fn shed(&mut self, shed: Shed<RequestId>) {
        let now = self.clock.now();
        let failure = Failure::new(shed.kind, "shed before its start").retry(shed.retry_after);
        log::info!(
            target: "decision",
            request = &**shed.proof.key(),
            reason:? = shed.reason,
            predicted_wait_ms = shed.predicted_wait.as_millis(),
            retry_after_ms = shed.retry_after.as_millis();
            "shed"
        );
        let id = shed.proof.into_key();
        let cancelled = self.ledger.cancel(now, &id);
        debug_assert_eq!(cancelled, Cancellation::NotRun, "the queue held it");
        self.jobs.remove(&id);
        self.stay.finish();
        self.end_all(&id, &failure);
    }

    /// Starts what the queue lets start.
    pub(crate) fn pump(&mut self) {
        loop {
            let now = self.clock.now();
            let popped = self.queue.pop(now);
            for shed in popped.shed {
                self.shed(shed);
            }
            let Some(started) = popped.started else {
                return;
            };
            log::info!(
                target: "decision",
                request = &*started.key,
                workspace = &*started.workspace,
                waited_ms = started.waited.as_millis(),
                tag = started.tag,
                runners_up = started.runners_up.len();
                "start"
            );
            self.start(&started.key);
        }
    }

    fn start(&mut self, id: &RequestId) {
        let now = self.clock.now();
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(work) = job.work.take() else {
            return;
        };
        let priority = job.priority;
        if !self.ledger.start(now, id) {
            return;
        }
        let order = upstream::Order::Start {
            id: id.clone(),
            work,
            priority,
        };
        if self.ways.upstream.push(order).is_err() {
            // Nothing reached the upstream, which is why this may say that it was not run.
            self.ended(id, End::Failed(Kind::Overloaded));
        }
    }

    /// Takes bytes of a running answer.
    pub(crate) fn bytes(&mut self, id: &RequestId, bytes: &[u8]) {
        let now = self.clock.now();
        if self.ledger.append(now, id, bytes) {
            self.feed(id);
        } else if self.jobs.contains_key(id) {
            log::warn!(target: "slot", request = &**id; "no space for an answer");
            let _ = self.ways.upstream.push(upstream::Order::Cancel(id.clone()));
            self.ledger.mark_lost(now, id);
            self.feed(id);
        }
    }

    /// Takes the end of a running request.
    pub(crate) fn ended(&mut self, id: &RequestId, end: End) {
        let now = self.clock.now();
        match end {
            End::Whole => self.ledger.finish(now, id),
            End::Failed(kind) => self.ledger.fail(now, id, kind),
            End::Cancelled => self.ledger.fail(now, id, Kind::Cancelled),
            End::Lost => self.ledger.mark_lost(now, id),
        }
        if let Some(job) = self.jobs.remove(id) {
            self.queue.finish(now, id, job.tokens);
            self.stay.finish();
        }
        match end {
            End::Failed(kind) if kind.fate() == Fate::NotRun => {
                self.end_all(id, &Failure::new(kind, "the upstream did not take it"));
            }
            _ => self.feed(id),
        }
        self.pump();
    }

    /// Tells what is known of a request.
    pub(crate) fn locate(&mut self, session: SessionId, reference: Reference) {
        let finding = self.ledger.locate(self.clock.now(), &reference.id);
        let asker = reference.revision;
        self.found(session, reference.id, reference.stream, asker, finding);
    }

    /// Refuses a request for good unless it is known.
    pub(crate) fn fence(&mut self, session: SessionId, stream: Stream, fence: &Fence) {
        let finding = self.ledger.fence(self.clock.now(), fence);
        log::info!(
            target: "decision",
            request = &*fence.id,
            favoured = fence.favoured.as_deref().unwrap_or("-"),
            presence:? = finding.presence;
            "fence"
        );
        self.found(session, fence.id.clone(), stream, fence.revision, finding);
    }

    /// Stops a request and tells what is known of it then.
    pub(crate) fn cancel(&mut self, session: SessionId, reference: Reference) {
        let id = &reference.id;
        match self.queue.cancel(id) {
            Cancelled::Withdrawn(proof) => {
                let now = self.clock.now();
                let cancelled = self.ledger.cancel(now, proof.key());
                debug_assert_eq!(cancelled, Cancellation::NotRun, "the queue held it");
                self.jobs.remove(id);
                self.stay.finish();
                let failure = Failure::new(Kind::Fenced, "cancelled before its start");
                self.end_all(id, &failure);
            }
            Cancelled::Started => {
                let _ = self.ways.upstream.push(upstream::Order::Cancel(id.clone()));
            }
            Cancelled::Absent => {}
        }
        self.locate(session, reference);
    }

    fn found(
        &self,
        session: SessionId,
        id: RequestId,
        stream: Stream,
        asker: Revision,
        mut finding: Finding,
    ) {
        finding.other_candidates = self.candidates.unknown_to(self.clock.now(), asker);
        let found = Found {
            id,
            stream,
            finding,
        };
        self.send(session, Frame::Found(found));
    }
}

fn tokens(work: &Work) -> u64 {
    match work {
        Work::Draft {
            prompt, max_tokens, ..
        } => (prompt.len().div_ceil(BYTES_PER_TOKEN)) as u64 + u64::from(*max_tokens),
        Work::Call { .. } => 1,
    }
}

/// Returns how many bytes of memory a request takes until it has finished.
fn bytes(work: &Work) -> usize {
    let text = match work {
        Work::Draft { model, prompt, .. } => model.len() + prompt.len(),
        Work::Call { path, body, .. } => path.len() + body.len(),
    };
    OWN_BYTES + COPIES * text
}

/// Splits a frame into the request and what the ledger wants to know of it.
fn split(submit: &Submit) -> (Request, Submission) {
    let known = |attempt: Attempt| (attempt > 0).then_some(attempt);
    let request = Request {
        id: submit.id.clone(),
        attempt: known(submit.attempt),
        age: submit.age,
        workspace: submit.workspace.clone(),
        priority: submit.priority,
        deadline: submit.deadline,
        idempotent: submit.idempotent,
        work: submit.work.clone(),
    };
    let submission = Submission {
        id: submit.id.clone(),
        attempt: submit.attempt,
        age: submit.age,
        idempotent: submit.idempotent,
        fingerprint: fingerprint::of(&request),
        incarnation: submit.incarnation,
        revision: submit.revision,
    };
    (request, submission)
}
