//! A long random run of real processes, and the check of what came of it.
//!
//! [`run`] starts a deployment, lets callers send while [`fault`]s come and go, all drawn from one
//! seed, heals everything at the end and gives the whole history to the checker. The order in which
//! processes act is the machine's: a seed brings the same requests and the same faults again, not
//! the same interleaving. The verdict does not depend on it.

pub mod fault;
pub mod plan;
pub mod plant;
pub mod report;

mod director;
mod effects;
mod load;
mod trail;
mod work;

use std::io;
use std::time::Instant;

use auburnline_history::checker::Checker;
use auburnline_history::checker::Violation;
use auburnline_history::record::Line;

use crate::deployment::Deployment;
use crate::deployment::Programs;
use crate::rehearsal::director::Director;
use crate::rehearsal::director::Past;
use crate::rehearsal::load::Load;
use crate::rehearsal::load::Sent;
use crate::rehearsal::plan::Plan;
use crate::rehearsal::plant::plant;
use crate::rehearsal::report::Report;
use crate::shape::Shape;
use crate::watch;
use crate::watch::Sample;

/// A history with what was found in it.
#[derive(Debug)]
pub struct Run {
    /// All lines.
    pub lines: Vec<Line>,
    /// Counts and violations.
    pub report: Report,
}

/// Carries a plan out.
///
/// # Errors
///
/// The system's error if a process can't be started.
///
/// # Panics
///
/// If a caller's thread did, or the deployment does not come to rest after the faults.
pub fn run(programs: Programs, plan: &Plan) -> io::Result<Run> {
    let shape = Shape::default()
        .entries(plan.entries)
        .groups(plan.groups)
        .services(plan.services)
        .relays(true);
    let mut deployment = Deployment::start(programs, shape)?;
    let start = Instant::now();
    let watched = deployment.watch(start);
    let load = Load::new(plan, &deployment, start);
    let (past, sent) = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..plan.callers)
            .map(|_| scope.spawn(|| load.call()))
            .collect();
        let mut director = Director::new(plan, &mut deployment, start);
        while !callers
            .iter()
            .all(std::thread::ScopedJoinHandle::is_finished)
        {
            director.step();
        }
        let past = director.heal();
        let sent = callers.into_iter().map(|it| it.join().expect("a caller"));
        let sent = Sent::gather(sent);
        (past, sent)
    });
    rest(&deployment);
    let samples = watched.stop();
    Ok(judge(plan, &deployment, past, sent, &samples))
}

/// Waits until nothing is in flight.
fn rest(deployment: &Deployment) {
    deployment.settle();
    for name in deployment.entries().chain(deployment.slots()) {
        deployment.until(&format!("{name} rests"), || {
            (deployment.status(&name)?.in_flight == 0).then_some(())
        });
    }
}

fn judge(plan: &Plan, deployment: &Deployment, past: Past, sent: Sent, samples: &[Sample]) -> Run {
    let mut lines = sent.lines;
    lines.extend(effects::lines(&deployment.effects(), &sent.works));
    lines.extend(watch::lines(samples));
    if let Some(planted) = plan.planted {
        plant(planted, &mut lines);
    }
    let checker = Checker::new(&lines);
    let mut violations: Vec<String> = checker
        .violations()
        .iter()
        .filter(|found| !is_raced(found, &past))
        .map(|found| format!("{found:?}"))
        .collect();
    violations.extend(sent.foreign);
    violations.extend(own(samples));
    let trail = trail::of(&checker.violations(), &lines, deployment);
    let report = Report {
        seed: plan.seed,
        summary: checker.summary(),
        seconds: past.seconds,
        spans: past.spans,
        ends: sent.ends,
        violations,
        trail,
    };
    Run { lines, report }
}

/// Whether it is the split that two racing operators made themselves; the next revision ends it.
fn is_raced(found: &Violation, past: &Past) -> bool {
    matches!(found, Violation::Split { revision } if past.raced.contains(revision))
}

/// Returns the broken invariants that processes told of themselves.
fn own(samples: &[Sample]) -> Vec<String> {
    let mut found: Vec<String> = samples
        .iter()
        .flat_map(|sample| {
            let told = sample.status.violations.iter();
            told.map(|it| format!("{}: {it:?}", sample.status.instance))
        })
        .collect();
    found.sort();
    found.dedup();
    found
}
