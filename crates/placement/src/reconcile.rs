//! Drives one group from what it holds to what the preset in force asks.
//!
//! Load before drain: the new weights are loaded beside the old ones while the group serves. Then
//! the group waits for its turn, stops taking new work, lets its streams end, and switches. A
//! preset that changes in the middle leads to the new target, or back to serving what the group
//! still holds. Orders carry a fencing number; a confirmation of an older one has no effect.

use std::time::Duration;

use auburnline_core::id::Fence;
use auburnline_core::published::Placement;
use auburnline_core::time::Monotonic;

use crate::turn;
use crate::turn::Progress;

/// Time between repetitions of an order.
pub const RETRY: Duration = Duration::from_secs(1);

/// What a group is told to do by its slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Load beside what is in use.
    Load(Placement),
    /// Drop what was loaded beside.
    Unload,
    /// Stop taking new work; streams go on until the deadline.
    Close {
        /// Time left for streams.
        deadline: Duration,
    },
    /// Use what was loaded; no stream is left.
    Switch(Placement),
    /// Take new work.
    Open,
}

/// A command with its fencing number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Grows with each choice of the group's slot.
    pub fence: Fence,
    /// What to do.
    pub command: Command,
}

/// What the slot is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The preset in force asks this of the group; `None` takes it out of service.
    Target(Option<Placement>),
    /// The group has carried out the order of this fencing number.
    Done(Fence),
    /// This many streams run.
    Streams(usize),
    /// Whether the group may stop taking work now.
    Turn(turn::Decision),
}

/// What was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Load the target's weights.
    Load,
    /// Wait for the turn.
    Wait,
    /// Stop taking work.
    Close,
    /// Use the target.
    Switch,
    /// Take work.
    Open,
    /// Give up what was begun and go back to what is held.
    GoBack,
}

/// Why it was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The preset asks for something else than the group holds.
    NewTarget,
    /// The preset asks for what the group holds.
    TargetHeld,
    /// The order before it is carried out.
    Done,
    /// It is the group's turn.
    Turn,
    /// No stream runs any more.
    StreamsEnded,
    /// The drain's deadline has passed.
    Deadline,
}

/// One decision, for one log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// What was chosen.
    pub choice: Choice,
    /// Why.
    pub reason: Reason,
    /// Fencing number of the order that follows, if any.
    pub fence: Fence,
    /// Streams that still run.
    pub streams: usize,
    /// Time since the phase before began.
    pub age: Duration,
}

/// What the slot does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send an order to the group.
    Send(Order),
    /// Log a decision.
    Log(Decision),
}

/// How far the group is.
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

/// State of one group.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    held: Option<Placement>,
    beside: Option<Placement>,
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
    /// Returns a group that serves `held`.
    ///
    /// `fence` is above every fencing number that the group has seen.
    #[must_use]
    pub fn new(held: Option<Placement>, fence: Fence, drain_deadline: Duration) -> Group {
        let phase = match held {
            Some(_) => Phase::Serving,
            None => Phase::OutOfService,
        };
        Group {
            target: held.clone(),
            held,
            beside: None,
            phase,
            since: Duration::ZERO,
            sent_at: Duration::ZERO,
            order: None,
            fence,
            streams: 0,
            drain_deadline,
        }
    }

    /// Returns what the group uses.
    #[must_use]
    pub const fn held(&self) -> Option<&Placement> {
        self.held.as_ref()
    }

    /// Returns what other groups see of this one.
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

    /// Whether the group takes new work.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        let takes_work = matches!(
            self.phase,
            Phase::Serving | Phase::Unloading | Phase::Loading | Phase::Waiting
        );
        takes_work && self.held.is_some()
    }

    /// Takes an event and returns what to do.
    pub fn handle(&mut self, event: Event, now: Monotonic) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.repeat(now, &mut actions),
            Event::Target(target) => self.retarget(target, now, &mut actions),
            Event::Done(fence) if fence == self.fence && self.order.is_some() => {
                let loaded = self.loading().cloned();
                self.beside = loaded.or(self.beside.take());
                self.order = None;
                self.done(now, &mut actions);
            }
            Event::Done(_) => {}
            Event::Streams(streams) => self.streams = streams,
            Event::Turn(turn) => self.turn(&turn, now, &mut actions),
        }
        self.check_drain(now, &mut actions);
        actions
    }

    fn repeat(&mut self, now: Monotonic, actions: &mut Vec<Action>) {
        if let Some(order) = &self.order
            && now >= self.sent_at + RETRY
        {
            self.sent_at = now;
            actions.push(Action::Send(order.clone()));
        }
    }

    fn go(
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
        // A switch or close under way is finished first; what follows it looks at the target.
        match self.phase {
            Phase::Switching | Phase::Closing | Phase::Opening => {}
            Phase::Draining => self.leave_drain(now, actions),
            _ => self.approach(Reason::NewTarget, now, actions),
        }
    }

    fn leave_drain(&mut self, now: Monotonic, actions: &mut Vec<Action>) {
        if self.target.is_none() || self.target == self.beside {
            return;
        }
        if self.held.is_some() {
            let why = (Choice::GoBack, Reason::NewTarget);
            self.go(Phase::Opening, Some(Command::Open), why, now, actions);
        }
    }

    /// Returns what the group was told to load and has not confirmed.
    fn loading(&self) -> Option<&Placement> {
        match &self.order.as_ref()?.command {
            Command::Load(placement) => Some(placement),
            _ => None,
        }
    }

    /// Takes the next step from an open or empty group towards the target.
    fn approach(&mut self, reason: Reason, now: Monotonic, actions: &mut Vec<Action>) {
        let target = self.target.clone();
        if target == self.held {
            if self.beside.is_some() || self.loading().is_some() {
                let why = (Choice::GoBack, Reason::TargetHeld);
                return self.go(Phase::Unloading, Some(Command::Unload), why, now, actions);
            }
            let phase = if target.is_some() {
                Phase::Serving
            } else {
                Phase::OutOfService
            };
            return self.go(
                phase,
                None,
                (Choice::Open, Reason::TargetHeld),
                now,
                actions,
            );
        }
        match target {
            Some(placement) if self.beside.as_ref() != Some(&placement) => {
                if self.loading() == Some(&placement) {
                    return;
                }
                self.beside = None;
                let command = Some(Command::Load(placement));
                self.go(
                    Phase::Loading,
                    command,
                    (Choice::Load, reason),
                    now,
                    actions,
                );
            }
            Some(_) if self.phase == Phase::Unloading => {}
            Some(_) if self.held.is_none() => self.switch(reason, now, actions),
            _ => self.go(Phase::Waiting, None, (Choice::Wait, reason), now, actions),
        }
    }

    fn switch(&mut self, reason: Reason, now: Monotonic, actions: &mut Vec<Action>) {
        let why = (Choice::Switch, reason);
        let beside = self.beside.clone();
        if let Some(placement) = beside.filter(|beside| Some(beside) == self.target.as_ref()) {
            let command = Some(Command::Switch(placement));
            self.go(Phase::Switching, command, why, now, actions);
        } else {
            self.held = None;
            self.go(Phase::OutOfService, None, why, now, actions);
        }
    }

    fn done(&mut self, now: Monotonic, actions: &mut Vec<Action>) {
        match self.phase {
            Phase::Unloading => {
                self.beside = None;
                self.approach(Reason::Done, now, actions);
            }
            Phase::Loading => self.approach(Reason::Done, now, actions),
            Phase::Closing => {
                let why = (Choice::Wait, Reason::Done);
                self.go(Phase::Draining, None, why, now, actions);
                self.leave_drain(now, actions);
            }
            Phase::Switching => {
                self.held = self.beside.take();
                let command = Some(Command::Open);
                self.go(
                    Phase::Opening,
                    command,
                    (Choice::Open, Reason::Done),
                    now,
                    actions,
                );
            }
            Phase::Opening => {
                self.phase = Phase::Serving;
                self.approach(Reason::Done, now, actions);
            }
            Phase::Serving | Phase::Waiting | Phase::Draining | Phase::OutOfService => {}
        }
    }

    fn turn(&mut self, turn: &turn::Decision, now: Monotonic, actions: &mut Vec<Action>) {
        if self.phase == Phase::Waiting && turn.may_close {
            let deadline = self.drain_deadline;
            let command = Some(Command::Close { deadline });
            let why = (Choice::Close, Reason::Turn);
            self.go(Phase::Closing, command, why, now, actions);
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
