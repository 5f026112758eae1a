//! Protocol by which a later attempt may run a request: locate it, fence every slot but one, run it
//! on that one.
//!
//! The claim first queries every slot that an earlier attempt may have reached. If a slot knows the
//! request, the answer is served from there. If a slot can't be reached, or has restarted since the
//! first send, the fate is unknown and nothing is fenced. Otherwise all slots but one permanently
//! refuse the request. An earlier attempt that is still in transit is then refused wherever it
//! arrives, or finds the id in the ledger of the slot that runs it.
//!
//! The claim needs a witness: this process or one of the queried slots must have known the pool's
//! list since [`MAX_LIST_LAG`] before the first send. If all of them started later, possibly none
//! knows a slot that has just been removed and that an entry with a lagging list still sends to.
//!
//! Two claims of one request, from entries with different lists, never both run it. At a slot that
//! both query, the second claim learns which slot the first one favours, queries that slot too, and
//! runs the request only there. A claim that finds a fence that favours another slot than its own
//! target, or no slot, also fences its target and ends as "not run". So a slower claim never runs a
//! request that was already reported as "not run" because of fences.

use std::collections::BTreeMap;
use std::time::Duration;

use auburnline_core::error::Kind;
use auburnline_core::hash::rendezvous_order;
use auburnline_core::id::Attempt;
use auburnline_core::id::Incarnation;
use auburnline_core::id::InstanceId;
use auburnline_core::id::RequestId;
use auburnline_core::id::Revision;
use auburnline_core::time::Monotonic;

use crate::candidates::MAX_LIST_LAG;
use crate::fingerprint::Fingerprint;
use crate::ledger::Fence;
use crate::ledger::Finding;
use crate::ledger::Presence;
use crate::ledger::RETRY_WINDOW;
use crate::ledger::Standing;
use crate::outcome::Cause;
use crate::outcome::Fenced;
use crate::outcome::NotRun;
use crate::outcome::Proof;
use crate::outcome::Refused;
use crate::outcome::Unknown;

/// Greatest number of slots that one claim queries.
pub const MAX_ASKED: usize = 2048;

/// Input of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Input {
    /// Id of the request to claim.
    pub id: RequestId,
    /// Fingerprint of its workspace and work; another one under the same id means key reuse.
    pub fingerprint: Fingerprint,
    /// Upper bound of the time since the caller first sent the request; `None` if not stated.
    pub age: Option<Duration>,
    /// Every slot that an earlier attempt may have reached.
    pub reachable_slots: Vec<InstanceId>,
    /// Slots among them that currently admit work.
    pub admitting: Vec<InstanceId>,
    /// Time for which this process has known the pool's list, from
    /// [`crate::candidates::Candidates::known_for`].
    pub known_for: Duration,
    /// Configuration revision that this process uses.
    pub revision: Revision,
    /// Whether to run the request or only to ensure that it never runs.
    pub mode: Mode,
}

/// How to proceed with a request that no slot knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Fence it at every slot but one and run it there.
    Run,
    /// Fence it at every slot, which proves "not run".
    Withdraw,
}

/// Query to a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Query {
    /// Reports what the slot knows about the request.
    Locate {
        /// Id of the request to look up.
        id: RequestId,
        /// Configuration revision that this process uses.
        revision: Revision,
    },
    /// Refuses the request permanently unless the slot knows it.
    Fence(Fence),
}

/// Query together with its destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Destination slot.
    pub slot: InstanceId,
    /// Query to send.
    pub query: Query,
}

/// Next action of the claim's owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send these queries, if any, and wait for the responses still outstanding.
    Ask(Vec<Ask>),
    /// Serve the answer from this slot's ledger; the claim has ended.
    Serve {
        /// Slot that knows the request.
        slot: InstanceId,
        /// Incarnation of that slot.
        incarnation: Incarnation,
        /// Attempt number that the answer's frames carry.
        attempt: Attempt,
        /// Progress of the request there.
        standing: Standing,
    },
    /// Submit the request to this slot incarnation and no other; the claim has ended.
    Run {
        /// Slot that is not fenced.
        slot: InstanceId,
        /// Incarnation of that slot.
        incarnation: Incarnation,
    },
    /// The request is proved not to have run, or the key belongs to another request.
    NotRun(NotRun),
    /// The request's fate is unknown.
    Unknown(Unknown),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Locate,
    Fence,
    Done,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    Asked,
    Clear(Incarnation),
    Fenced,
    Inconclusive,
}

/// State of a claim; `favoured` lists the distinct choices of earlier claims, `None` for no slot.
#[derive(Clone, Debug)]
pub struct Claim {
    input: Input,
    started_at: Monotonic,
    phase: Phase,
    slots: BTreeMap<InstanceId, State>,
    favoured: Vec<Option<InstanceId>>,
    target: Option<(InstanceId, Incarnation)>,
    inconclusive_cause: Option<Cause>,
    witnessed: bool,
}

impl Claim {
    /// Starts a claim at `now` and returns its first step.
    #[must_use]
    pub fn begin(now: Monotonic, input: Input) -> (Claim, Step) {
        let mut claim = Claim {
            input,
            started_at: now,
            phase: Phase::Locate,
            slots: BTreeMap::new(),
            favoured: Vec::new(),
            target: None,
            inconclusive_cause: None,
            witnessed: false,
        };
        claim.witness(now, claim.input.known_for);
        let step = claim.query_cover(now);
        (claim, step)
    }

    /// Applies a slot's response. One that was not awaited is ignored.
    #[must_use]
    pub fn answer(&mut self, now: Monotonic, from: &InstanceId, finding: &Finding) -> Step {
        if self.slots.get(from) != Some(&State::Asked) || self.phase == Phase::Done {
            return Step::Ask(Vec::new());
        }
        match &finding.presence {
            Presence::Known {
                fingerprint,
                attempt,
                standing,
            } => {
                if *fingerprint != self.input.fingerprint {
                    return self.key_reused();
                }
                return self.serve(from, finding.incarnation, *attempt, *standing);
            }
            Presence::Fenced { favoured } => self.record_fence(from, favoured.as_ref()),
            Presence::Absent if self.phase == Phase::Fence => return Step::Ask(Vec::new()),
            Presence::Absent => {
                let state = State::Clear(finding.incarnation);
                self.slots.insert(from.clone(), state);
            }
            Presence::Full => self.mark_inconclusive(from, Cause::Refused(Kind::Overloaded)),
            Presence::Stale(_) => self.mark_inconclusive(from, Cause::Refused(Kind::StaleRevision)),
        }
        if finding.uptime < self.age(now) {
            self.mark_inconclusive(from, Cause::Restarted);
        }
        self.witness(now, finding.uptime);
        let asks = self.query_new(&finding.other_candidates);
        self.advance(asks)
    }

    /// Records that a slot can't be reached. Call it for each slot still awaited at the timeout.
    #[must_use]
    pub fn unreachable(&mut self, from: &InstanceId) -> Step {
        if self.slots.get(from) != Some(&State::Asked) || self.phase == Phase::Done {
            return Step::Ask(Vec::new());
        }
        self.mark_inconclusive(from, Cause::Unreachable);
        self.advance(Vec::new())
    }

    /// Returns the slots whose responses are outstanding.
    pub fn awaited(&self) -> impl Iterator<Item = &InstanceId> {
        let is_awaited = |(_, state): &(&InstanceId, &State)| **state == State::Asked;
        self.slots.iter().filter(is_awaited).map(|(name, _)| name)
    }

    /// Returns the admitting slots in rendezvous order, most preferred first, for the decision's
    /// log line.
    #[must_use]
    pub fn preference(&self) -> Vec<InstanceId> {
        let mut order = self.input.admitting.clone();
        rendezvous_order(&self.input.id, &mut order);
        order
    }

    fn query_cover(&mut self, now: Monotonic) -> Step {
        if self.age(now) > RETRY_WINDOW {
            return self.unknown(Cause::TooOld);
        }
        if self.input.reachable_slots.is_empty() {
            return self.unknown(Cause::NoSlot);
        }
        let reachable_slots = std::mem::take(&mut self.input.reachable_slots);
        let asks = self.query_new(&reachable_slots);
        self.advance(asks)
    }

    /// Returns the request's greatest possible age; [`RETRY_WINDOW`] if the caller did not state
    /// it.
    fn age(&self, now: Monotonic) -> Duration {
        match self.input.age {
            Some(age) => age + now.saturating_sub(self.started_at),
            None => RETRY_WINDOW,
        }
    }

    /// Counts a process as witness if it has known the list for long enough.
    fn witness(&mut self, now: Monotonic, known_for: Duration) {
        self.witnessed |= known_for >= self.age(now) + MAX_LIST_LAG;
    }

    fn record_fence(&mut self, from: &InstanceId, favoured: Option<&InstanceId>) {
        self.slots.insert(from.clone(), State::Fenced);
        let favoured = favoured.cloned();
        if !self.favoured.contains(&favoured) {
            self.favoured.push(favoured);
        }
    }

    fn mark_inconclusive(&mut self, from: &InstanceId, cause: Cause) {
        self.inconclusive_cause.get_or_insert(cause);
        self.slots.insert(from.clone(), State::Inconclusive);
    }

    /// Returns queries to those of `slots` and of the favoured slots that were not queried before.
    fn query_new(&mut self, slots: &[InstanceId]) -> Vec<Ask> {
        let mut asks = Vec::new();
        let favoured = self.favoured.clone();
        for slot in slots.iter().chain(favoured.iter().flatten()) {
            if self.slots.contains_key(slot) {
                continue;
            }
            if self.slots.len() >= MAX_ASKED {
                self.inconclusive_cause.get_or_insert(Cause::UnknownPool);
                break;
            }
            asks.push(self.ask(slot));
        }
        asks
    }

    fn ask(&mut self, slot: &InstanceId) -> Ask {
        self.slots.insert(slot.clone(), State::Asked);
        let query = match self.phase {
            Phase::Locate => Query::Locate {
                id: self.input.id.clone(),
                revision: self.input.revision,
            },
            Phase::Fence | Phase::Done => Query::Fence(Fence {
                id: self.input.id.clone(),
                favoured: self.target.as_ref().map(|(name, _)| name.clone()),
                revision: self.input.revision,
            }),
        };
        Ask {
            slot: slot.clone(),
            query,
        }
    }

    fn advance(&mut self, asks: Vec<Ask>) -> Step {
        let is_waiting = self.awaited().next().is_some();
        if is_waiting {
            return Step::Ask(asks);
        }
        if let Some(cause) = self.inconclusive_cause {
            return self.unknown(cause);
        }
        if !self.witnessed {
            return self.unknown(Cause::UnknownPool);
        }
        match self.phase {
            Phase::Locate => self.fence(),
            Phase::Fence | Phase::Done => self.conclude(),
        }
    }

    /// Fences all slots but the target, after every slot has responded and none knows the request.
    fn fence(&mut self) -> Step {
        self.phase = Phase::Fence;
        self.target = self.choose();
        let is_unassigned = self.target.is_none() && self.favoured.is_empty();
        if is_unassigned && self.input.mode == Mode::Run {
            return self.unknown(Cause::NoSlot);
        }
        self.fence_clear()
    }

    fn fence_clear(&mut self) -> Step {
        let target = self.target.as_ref().map(|(name, _)| name.clone());
        let to_fence = |(name, state): (&InstanceId, &State)| {
            let clear = matches!(state, State::Clear(_));
            (clear && Some(name) != target.as_ref()).then(|| name.clone())
        };
        let others: Vec<InstanceId> = self.slots.iter().filter_map(to_fence).collect();
        let asks = others.iter().map(|slot| self.ask(slot)).collect();
        self.advance(asks)
    }

    /// Chooses the target: the slot that all earlier claims favour, or the most preferred if there
    /// were none. Returns `None` if earlier claims disagree or the slot is not clear.
    fn choose(&self) -> Option<(InstanceId, Incarnation)> {
        if self.input.mode == Mode::Withdraw {
            return None;
        }
        let clear = |name: &InstanceId| match self.slots.get(name) {
            Some(State::Clear(incarnation)) => Some((name.clone(), *incarnation)),
            _ => None,
        };
        let favoured = |name: &&InstanceId| {
            let is_favoured = |choice: &Option<InstanceId>| choice.as_ref() == Some(*name);
            self.favoured.iter().all(is_favoured)
        };
        self.preference().iter().filter(favoured).find_map(clear)
    }

    /// Returns whether an earlier claim favours another slot than this claim's target, or none.
    fn contested(&self) -> bool {
        let target = self.target.as_ref().map(|(name, _)| name);
        let differs = |slot: &Option<InstanceId>| slot.as_ref() != target;
        target.is_some() && self.favoured.iter().any(differs)
    }

    fn conclude(&mut self) -> Step {
        if self.contested() {
            self.target = None;
            return self.fence_clear();
        }
        self.phase = Phase::Done;
        assert!(self.invariant_fenced(), "invariant: all but one are fenced");
        if let Some((slot, incarnation)) = self.target.clone() {
            return Step::Run { slot, incarnation };
        }
        let proof = Proof::Fenced(Fenced::new());
        Step::NotRun(NotRun::new(Kind::Fenced, proof))
    }

    /// Returns whether every slot but the target has permanently refused the request, a witness was
    /// found, and no response was inconclusive.
    #[must_use]
    pub fn invariant_fenced(&self) -> bool {
        let target = self.target.as_ref().map(|(name, _)| name);
        let is_closed = |(name, state): (&InstanceId, &State)| match state {
            State::Fenced => true,
            State::Clear(_) => Some(name) == target,
            State::Asked | State::Inconclusive => false,
        };
        self.inconclusive_cause.is_none() && self.witnessed && self.slots.iter().all(is_closed)
    }

    fn serve(
        &mut self,
        from: &InstanceId,
        incarnation: Incarnation,
        attempt: Attempt,
        standing: Standing,
    ) -> Step {
        self.phase = Phase::Done;
        Step::Serve {
            slot: from.clone(),
            incarnation,
            attempt,
            standing,
        }
    }

    fn key_reused(&mut self) -> Step {
        self.phase = Phase::Done;
        let proof = Proof::Refused(Refused::new());
        Step::NotRun(NotRun::new(Kind::KeyReused, proof))
    }

    fn unknown(&mut self, cause: Cause) -> Step {
        self.phase = Phase::Done;
        Step::Unknown(Unknown::new(cause))
    }
}
