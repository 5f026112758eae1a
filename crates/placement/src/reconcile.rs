//! State machine that takes one group from its current placement to its target.
//!
//! Weights are loaded before the drain: the new ones are staged beside the old ones while the group
//! serves. Then the group waits for its turn, stops accepting work, lets its streams end, and
//! switches. When the preset changes in the meantime, the group goes on to the new target, or back to
//! serving its current placement. Orders carry a fencing number; a confirmation of an older order has
//! no effect.

use std::time::Duration;

use auburnline_core::id::Fence;
use auburnline_core::published::Placement;
use auburnline_core::time::Monotonic;

use crate::turn;
use crate::turn::Progress;

/// Interval at which an unconfirmed order is sent again.
pub const RETRY: Duration = Duration::from_secs(1);

/// Command of a slot to its group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Stage these weights beside those in use.
    Load(Placement),
    /// Drop the staged weights.
    Unload,
    /// Stop accepting new work; running streams continue until the deadline.
    Close {
        /// Time that running streams have to end.
        deadline: Duration,
    },
    /// Use the staged weights; sent once no stream runs or the drain deadline has passed.
    Switch(Placement),
    /// Accept new work.
    Open,
}

/// A command with its fencing number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Grows by one with each order to the group.
    pub fence: Fence,
    /// Command to carry out.
    pub command: Command,
}

/// Input of the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time has passed; sent periodically.
    Tick,
    /// Placement that the preset in force assigns to the group; `None` takes it out of service.
    Target(Option<Placement>),
    /// The group has carried out the order with this fencing number.
    Done(Fence),
    /// Number of streams that run.
    Streams(usize),
    /// Decision whether the group may stop accepting work now.
    Turn(turn::Decision),
}

/// Step that was decided on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Load the target's weights.
    Load,
    /// Wait for the turn, or for streams to end after closing.
    Wait,
    /// Stop accepting work.
    Close,
    /// Switch to the target.
    Switch,
    /// Accept work.
    Open,
    /// Abandon the change and return to the current placement.
    Revert,
}

/// Reason for a [`Choice`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The preset assigns a new target to the group.
    NewTarget,
    /// The target is the current placement.
    TargetHeld,
    /// The previous order was carried out.
    Done,
    /// It is the group's turn.
    Turn,
    /// All streams have ended.
    StreamsEnded,
    /// The drain deadline has passed.
    Deadline,
}

/// One decision, to be written as one log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Step that was decided on.
    pub choice: Choice,
    /// Reason for the choice.
    pub reason: Reason,
    /// Fencing number of the order sent with it, or of the last one if none is sent.
    pub fence: Fence,
    /// Number of streams that still run.
    pub streams: usize,
    /// Time that the previous phase took.
    pub age: Duration,
}

/// Output of the state machine, for the slot to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send an order to the group.
    Send(Order),
    /// Log a decision.
    Log(Decision),
}

/// Phase of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Serving,
    Unloading,
    Loading,
    Waiting,
    Closing,
    Draining,
    Switching,
    Opening,
    OutOfService,
}

/// State machine of one group.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    held: Option<Placement>,
    staged: Option<Placement>,
    target: Option<Placement>,
    phase: Phase,
    since: Monotonic,
    sent_at: Monotonic,
    order: Option<Order>,
    fence: Fence,
    streams: usize,
    drain_deadline: Duration,
}

impl Group {
    /// Creates a group that serves `held`, or is out of service without it.
    ///
    /// `fence` must be above every fencing number that the group has seen.
    #[must_use]
    pub fn new(held: Option<Placement>, fence: Fence, drain_deadline: Duration) -> Group {
        let phase = match held {
            Some(_) => Phase::Serving,
            None => Phase::OutOfService,
        };
        Group {
            target: held.clone(),
            held,
            staged: None,
            phase,
            since: Duration::ZERO,
            sent_at: Duration::ZERO,
            order: None,
            fence,
            streams: 0,
            drain_deadline,
        }
    }

    /// Returns the placement in use; `None` when out of service.
    #[must_use]
    pub const fn held(&self) -> Option<&Placement> {
        self.held.as_ref()
    }

    /// Returns the state that other slots observe.
    #[must_use]
    pub fn progress(&self) -> Progress {
        match self.phase {
            Phase::Serving if self.held == self.target => Progress::Ready,
            Phase::OutOfService if self.target.is_none() => Progress::OutOfService,
            Phase::Serving | Phase::Waiting => Progress::Waiting,
            Phase::Loading | Phase::Unloading if self.held.is_some() => Progress::Loading,
            _ => Progress::Closed,
        }
    }

    /// Returns whether the group accepts new work.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        let accepts_work = matches!(
            self.phase,
            Phase::Serving | Phase::Unloading | Phase::Loading | Phase::Waiting
        );
        accepts_work && self.held.is_some()
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, event: Event, now: Monotonic) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.resend(now, &mut actions),
            Event::Target(target) => self.retarget(target, now, &mut actions),
            Event::Done(fence) if fence == self.fence && self.order.is_some() => {
                let loaded = self.loading().cloned();
                self.staged = loaded.or(self.staged.take());
                self.order = None;
                self.handle_done(now, &mut actions);
            }
            Event::Done(_) => {}
            Event::Streams(streams) => self.streams = streams,
            Event::Turn(turn) => self.handle_turn(&turn, now, &mut actions),
        }
        self.check_drain(now, &mut actions);
        actions
    }

    fn resend(&mut self, now: Monotonic, actions: &mut Vec<Action>) {
        if let Some(order) = &self.order
            && now >= self.sent_at + RETRY
        {
            self.sent_at = now;
            actions.push(Action::Send(order.clone()));
        }
    }

    fn enter(
        &mut self,
        phase: Phase,
        command: Option<Command>,
        (choice, reason): (Choice, Reason),
        now: Monotonic,
        actions: &mut Vec<Action>,
    ) {
        let age = now.saturating_sub(self.since);
        self.phase = phase;
        self.since = now;
        self.order = None;
        if let Some(command) = command {
            self.fence += 1;
            self.sent_at = now;
            let fence = self.fence;
            let order = Order { fence, command };
            self.order = Some(order.clone());
            actions.push(Action::Send(order));
        }
        actions.push(Action::Log(Decision {
            choice,
            reason,
            fence: self.fence,
            streams: self.streams,
            age,
        }));
    }

    fn retarget(&mut self, target: Option<Placement>, now: Monotonic, actions: &mut Vec<Action>) {
        if target == self.target {
            return;
        }
        self.target = target;
        // A close, switch or open in progress is finished first; the next step then uses the new target.
        match self.phase {
            Phase::Switching | Phase::Closing | Phase::Opening => {}
            Phase::Draining => self.leave_drain(now, actions),
            _ => self.advance(Reason::NewTarget, now, actions),
        }
    }

    fn leave_drain(&mut self, now: Monotonic, actions: &mut Vec<Action>) {
        if self.target.is_none() || self.target == self.staged {
            return;
        }
        if self.held.is_some() {
            let why = (Choice::Revert, Reason::NewTarget);
            self.enter(Phase::Opening, Some(Command::Open), why, now, actions);
        }
    }

    /// Returns the placement of an unconfirmed load order.
    fn loading(&self) -> Option<&Placement> {
        match &self.order.as_ref()?.command {
            Command::Load(placement) => Some(placement),
            _ => None,
        }
    }

    /// Takes the next step towards the target, for a group that is open or has no weights in use.
    fn advance(&mut self, reason: Reason, now: Monotonic, actions: &mut Vec<Action>) {
        let target = self.target.clone();
        if target == self.held {
            if self.staged.is_some() || self.loading().is_some() {
                let why = (Choice::Revert, Reason::TargetHeld);
                return self.enter(Phase::Unloading, Some(Command::Unload), why, now, actions);
            }
            let phase = if target.is_some() {
                Phase::Serving
            } else {
                Phase::OutOfService
            };
            return self.enter(
                phase,
                None,
                (Choice::Open, Reason::TargetHeld),
                now,
                actions,
            );
        }
        match target {
            Some(placement) if self.staged.as_ref() != Some(&placement) => {
                if self.loading() == Some(&placement) {
                    return;
                }
                self.staged = None;
                let command = Some(Command::Load(placement));
                self.enter(
                    Phase::Loading,
                    command,
                    (Choice::Load, reason),
                    now,
                    actions,
                );
            }
            Some(_) if self.phase == Phase::Unloading => {}
            Some(_) if self.held.is_none() => self.switch(reason, now, actions),
            _ => self.enter(Phase::Waiting, None, (Choice::Wait, reason), now, actions),
        }
    }

    fn switch(&mut self, reason: Reason, now: Monotonic, actions: &mut Vec<Action>) {
        let why = (Choice::Switch, reason);
        let staged = self.staged.clone();
        if let Some(placement) = staged.filter(|staged| Some(staged) == self.target.as_ref()) {
            let command = Some(Command::Switch(placement));
            self.enter(Phase::Switching, command, why, now, actions);
        } else {
            self.held = None;
            self.enter(Phase::OutOfService, None, why, now, actions);
        }
    }

    fn handle_done(&mut self, now: Monotonic, actions: &mut Vec<Action>) {
        match self.phase {
            Phase::Unloading => {
                self.staged = None;
                self.advance(Reason::Done, now, actions);
            }
            Phase::Loading => self.advance(Reason::Done, now, actions),
            Phase::Closing => {
                let why = (Choice::Wait, Reason::Done);
                self.enter(Phase::Draining, None, why, now, actions);
                self.leave_drain(now, actions);
            }
            Phase::Switching => {
                self.held = self.staged.take();
                let command = Some(Command::Open);
                self.enter(
                    Phase::Opening,
                    command,
                    (Choice::Open, Reason::Done),
                    now,
                    actions,
                );
            }
            Phase::Opening => {
                self.phase = Phase::Serving;
                self.advance(Reason::Done, now, actions);
            }
            Phase::Serving | Phase::Waiting | Phase::Draining | Phase::OutOfService => {}
        }
    }

    fn handle_turn(&mut self, turn: &turn::Decision, now: Monotonic, actions: &mut Vec<Action>) {
        if self.phase == Phase::Waiting && turn.may_close {
            let deadline = self.drain_deadline;
            let command = Some(Command::Close { deadline });
            let why = (Choice::Close, Reason::Turn);
            self.enter(Phase::Closing, command, why, now, actions);
        }
    }

    fn check_drain(&mut self, now: Monotonic, actions: &mut Vec<Action>) {
        if self.phase != Phase::Draining {
            return;
        }
        if self.streams == 0 {
            self.switch(Reason::StreamsEnded, now, actions);
        } else if now >= self.since + self.drain_deadline {
            self.switch(Reason::Deadline, now, actions);
        }
    }
}
