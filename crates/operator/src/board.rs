//! The source that the daemons use.
//!
//! A daemon's deciding duty publishes snapshots; operators' calls read the last ones and never wait.
//! Times in a snapshot grow with its age, so that it needs no new one only for that. A deciding duty
//! that has said nothing for ten seconds makes the process unhealthy.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use auburnline_core::error::Kind;
use auburnline_duty::decisions::Filter;
use auburnline_duty::decisions::Ring;
use auburnline_duty::metrics::Handle;

use crate::failure::Failure;
use crate::metric;
use crate::process;
use crate::shape::Configuration;
use crate::shape::Decision;
use crate::shape::Drain;
use crate::shape::Status;
use crate::source::Source;

/// Silence of the deciding duty after which the process is unhealthy.
const STUCK: Duration = Duration::from_secs(10);

/// What a call for a planned stop does; it tells whether the order was taken, and must not wait.
type Stop = Box<dyn Fn() -> bool + Send + Sync>;

/// State of a daemon at one moment.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The process at a glance.
    pub status: Status,
    /// What is in force.
    pub configuration: Configuration,
    /// Progress of a planned stop.
    pub drain: Drain,
}

/// Holds the last snapshot of a daemon, and the ways to its decisions, metrics and stop.
pub struct Board {
    last: ArcSwap<(Snapshot, Instant)>,
    decisions: Arc<Ring>,
    metrics: Handle,
    stop: Stop,
    /// Groups whose metrics have a value.
    told: Mutex<BTreeSet<String>>,
}

fn milliseconds(age: Duration) -> u64 {
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}

impl Board {
    /// Returns a board with nothing on it; `stop` starts a planned stop when an operator asks for it.
    #[must_use]
    pub fn new(
        decisions: Arc<Ring>,
        metrics: Handle,
        stop: impl Fn() -> bool + Send + Sync + 'static,
    ) -> Board {
        metric::describe();
        Board {
            last: ArcSwap::from_pointee((Snapshot::default(), Instant::now())),
            decisions,
            metrics,
            stop: Box::new(stop),
            told: Mutex::default(),
        }
    }

    /// Publishes the state of this moment; the deciding duty does so at least once a second.
    pub fn publish(&self, snapshot: Snapshot) {
        self.last.store(Arc::new((snapshot, Instant::now())));
    }

    /// Returns how long ago the last snapshot was published.
    fn age(&self) -> Duration {
        self.last.load().1.elapsed()
    }

    /// Takes the values of groups that are no longer told of.
    fn forget_all_but(&self, status: Status) {
        let groups = status.groups.into_iter().map(|group| group.group);
        let mut told = self.told.lock().unwrap_or_else(PoisonError::into_inner);
        let gone = std::mem::replace(&mut *told, groups.collect());
        for group in gone.difference(&told) {
            metric::forget(group);
        }
    }
}

impl Source for Board {
    fn healthy(&self) -> Result<(), Failure> {
        let age = self.age();
        if age < STUCK {
            return Ok(());
        }
        let silence = milliseconds(age);
        let message = format!("the deciding duty has said nothing for {silence} ms");
        Err(Failure::new(Kind::Internal, message))
    }

    fn status(&self) -> Status {
        let last = self.last.load();
        let age = milliseconds(last.1.elapsed());
        let mut status = last.0.status.clone();
        status.age_ms = age;
        status.uptime_ms += age;
        for group in &mut status.groups {
            group.age_ms += age;
        }
        status
    }

    fn decisions(&self, filter: &Filter, most: usize) -> Vec<Decision> {
        let lines = self.decisions.lines(filter, most);
        lines.into_iter().map(Decision::from).collect()
    }

    fn configuration(&self) -> Configuration {
        let last = self.last.load();
        let age = milliseconds(last.1.elapsed());
        let mut configuration = last.0.configuration.clone();
        configuration.in_force_ms = configuration.in_force_ms.map(|time| time + age);
        configuration
    }

    fn drain(&self) -> Drain {
        let last = self.last.load();
        let age = milliseconds(last.1.elapsed());
        let mut drain = last.0.drain.clone();
        drain.elapsed_ms = drain.elapsed_ms.map(|time| time + age);
        drain.deadline_ms = drain.deadline_ms.map(|time| time.saturating_sub(age));
        drain.last_new_work_ms = drain.last_new_work_ms.map(|time| time + age);
        drain
    }

    fn start_drain(&self) -> Result<Drain, Failure> {
        let mut drain = self.drain();
        if !drain.leaving && !(self.stop)() {
            let message = "the deciding duty has no room for the order";
            return Err(Failure::new(Kind::Overloaded, message));
        }
        drain.leaving = true;
        Ok(drain)
    }

    fn metrics(&self) -> String {
        let status = self.status();
        metric::record(&status, &self.configuration(), &self.drain());
        metric::record_process(process::usage());
        self.forget_all_but(status);
        self.metrics.render()
    }
}
