//! Faults that come and go while callers send.

use std::time::Duration;
use std::time::Instant;

use auburnline_core::id::Revision;
use auburnline_standin::engine;
use auburnline_standin::platform;
use auburnline_standin::relay::Mode;
use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::deployment::Deployment;
use crate::process::Signal;
use crate::rehearsal::fault::Kind;
use crate::rehearsal::fault::Target;
use crate::rehearsal::plan::Plan;
use crate::rehearsal::report::Span;
use crate::watch::micros;

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(10);
/// Times that a fault lasts, in milliseconds; the longest passes for a pause of the process.
const LASTS: std::ops::Range<u64> = 50..4_000;
/// Time that a process gets for a planned stop before it is killed after all.
const STOPS: Duration = Duration::from_secs(15);
/// Name of the platform and of the operators among targets.
const PLATFORM: &str = "platform";
const OPERATOR: &str = "operator";

/// What a director leaves behind.
#[derive(Debug, Default)]
pub(crate) struct Past {
    pub(crate) spans: Vec<Span>,
    /// Revisions that two operators published at once.
    pub(crate) raced: Vec<Revision>,
    pub(crate) seconds: f64,
}

/// A fault that stands.
struct Open {
    kind: Kind,
    target: String,
    since: Instant,
    until: Instant,
}

/// Draws faults, brings them about and heals them.
pub(crate) struct Director<'a> {
    plan: &'a Plan,
    deployment: &'a mut Deployment,
    rng: ChaCha8Rng,
    start: Instant,
    next: Instant,
    open: Vec<Open>,
    past: Past,
}

impl<'a> Director<'a> {
    pub(crate) fn new(plan: &'a Plan, deployment: &'a mut Deployment, start: Instant) -> Self {
        Director {
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            plan,
            deployment,
            start,
            next: start + plan.every,
            open: Vec::new(),
            past: Past::default(),
        }
    }

    /// Heals what is due, brings the next fault about if it is time, and waits a moment.
    pub(crate) fn step(&mut self) {
        self.mend(Instant::now());
        if Instant::now() >= self.next {
            self.next += self.plan.every;
            self.draw();
        }
        std::thread::sleep(LOOK);
    }

    /// Heals everything.
    pub(crate) fn heal(mut self) -> Past {
        while !self.open.is_empty() {
            self.mend(Instant::now() + Duration::from_millis(LASTS.end));
            std::thread::sleep(LOOK);
        }
        let last = self.deployment.publish("ordinary", &[]);
        self.deployment.in_force(last);
        self.past.seconds = self.start.elapsed().as_secs_f64();
        self.past
    }

    fn draw(&mut self) {
        let lasts = Duration::from_millis(self.rng.random_range(LASTS));
        let Some(&kind) = self.plan.kinds.choose(&mut self.rng) else {
            return;
        };
        let Some(target) = self.target(kind) else {
            return;
        };
        self.begin(kind, &target);
        let now = Instant::now();
        self.open.push(Open {
            kind,
            target,
            since: now,
            until: now + lasts,
        });
    }

    /// Returns something that has no fault, as long as more than half of its kind have none.
    fn target(&mut self, kind: Kind) -> Option<String> {
        let all: Vec<String> = match kind.target() {
            Target::Entry => self.deployment.entries().collect(),
            Target::Slot => self.deployment.slots().collect(),
            Target::Engine => self.engines(),
            Target::Platform => vec![PLATFORM.to_owned()],
            Target::Operator => vec![OPERATOR.to_owned()],
        };
        let free = |name: &&String| self.open.iter().all(|open| open.target != **name);
        let free: Vec<&String> = all.iter().filter(free).collect();
        let spare = free.len() * 2 > all.len();
        let chosen = free.choose(&mut self.rng).map(|name| (*name).clone());
        chosen.filter(|_| spare)
    }

    fn engines(&self) -> Vec<String> {
        let slots = self.deployment.slots();
        slots.filter(|name| name.starts_with("draft-")).collect()
    }

    fn begin(&mut self, kind: Kind, target: &str) {
        if let Some(mode) = kind.relay() {
            return self.deployment.relay(target, mode);
        }
        if let Some(fault) = kind.platform() {
            return self.deployment.platform_fault(fault);
        }
        if let Some(fault) = kind.engine() {
            return self.deployment.upstream_fault(target, &fault);
        }
        match kind {
            Kind::KillSlot | Kind::KillEntry => self.deployment.kill(target),
            Kind::FreezeSlot | Kind::FreezeEntry => self.deployment.signal(target, Signal::Stop),
            Kind::StopSlot | Kind::StopEntry => self.deployment.signal(target, Signal::Terminate),
            Kind::Race => self.race(),
            _ => {
                let drain = self.engines().choose(&mut self.rng).cloned();
                let drain: Vec<String> = drain.into_iter().collect();
                self.deployment.publish("maintenance", &drain);
            }
        }
    }

    fn race(&mut self) {
        let drain = self.engines().choose(&mut self.rng).cloned();
        let drain: Vec<String> = drain.into_iter().collect();
        let revision = self.deployment.publish("ordinary", &[]);
        let other = self.deployment.source(revision, "maintenance", &drain);
        self.deployment.put_source(&other);
        self.past.raced.push(revision);
    }

    fn mend(&mut self, now: Instant) {
        for open in std::mem::take(&mut self.open) {
            if open.until > now || !self.end(&open) {
                self.open.push(open);
                continue;
            }
            self.past.spans.push(Span {
                kind: open.kind,
                from: micros(self.start) - micros(open.since),
                to: micros(self.start),
            });
        }
    }

    /// Ends a fault; returns whether it has ended.
    fn end(&mut self, open: &Open) -> bool {
        let target = open.target.as_str();
        if let Some(mode) = open.kind.relay() {
            if matches!(mode, Mode::Silent { .. }) {
                self.deployment.relay(target, Mode::Cut);
            }
            self.deployment.relay(target, Mode::Pass);
        } else if open.kind.platform().is_some() {
            self.deployment.platform_fault(platform::Fault::None);
        } else if open.kind.engine().is_some() {
            let none = engine::Fault::default();
            self.deployment.upstream_fault(target, &none);
        } else {
            return self.restore(open);
        }
        true
    }

    fn restore(&mut self, open: &Open) -> bool {
        let target = open.target.as_str();
        match open.kind {
            Kind::FreezeSlot | Kind::FreezeEntry => {
                self.deployment.signal(target, Signal::Continue);
            }
            Kind::StopSlot | Kind::StopEntry if !self.has_stopped(open) => return false,
            Kind::Race | Kind::Drain => {
                self.deployment.publish("ordinary", &[]);
            }
            _ => {
                self.deployment.kill(target);
                self.deployment.spawn(target).expect("a process");
            }
        }
        true
    }

    fn has_stopped(&mut self, open: &Open) -> bool {
        let Some(process) = self.deployment.process(&open.target) else {
            return true;
        };
        let ended = process.wait(Duration::ZERO).is_ok_and(|end| end.is_some());
        ended || open.since.elapsed() > STOPS
    }
}
