//! Simulation of a pool whose groups change their placement, for tests and examples.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use auburnline_core::id::GroupId;
use auburnline_core::id::PoolId;
use auburnline_core::id::Revision;
use auburnline_core::published::Placement;
use auburnline_placement::reconcile::Action;
use auburnline_placement::reconcile::Command;
use auburnline_placement::reconcile::Event;
use auburnline_placement::reconcile::Group;
use auburnline_placement::turn;
use auburnline_placement::turn::Observation;
use auburnline_placement::turn::Progress;
use auburnline_placement::turn::Rule;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Simulated time per step.
pub(crate) const STEP: Duration = Duration::from_millis(200);
/// Steps between two observations of the other groups by a group.
const OBSERVATION_STEPS: u64 = 5;
const DRAIN_DEADLINE: Duration = Duration::from_mins(1);
/// Upper bound of a stream's length, in steps.
const MAX_STREAM_STEPS: u32 = 150;
/// Streams that run in an open group at once.
const STREAMS: usize = 4;

/// Limit on groups that change at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Limit {
    /// At most this many, with the pool's minimum in force.
    Capped(usize),
    /// No limit and no minimum.
    Unlimited,
}

struct Job {
    fence: u64,
    left: u32,
}

struct SimulatedGroup {
    id: GroupId,
    group: Group,
    revision: Revision,
    jobs: Vec<Job>,
    streams: Vec<u32>,
    observed: BTreeMap<GroupId, (Revision, Progress, Duration)>,
}

/// Simulated pool.
pub(crate) struct Fleet {
    pool: PoolId,
    groups: Vec<SimulatedGroup>,
    published: Vec<GroupId>,
    pub(crate) revision: Revision,
    minimum: usize,
    limit: Limit,
    pub(crate) now: Duration,
    steps: u64,
    pub(crate) cut_streams: usize,
}

pub(crate) fn placement(version: u64) -> Placement {
    Placement {
        model: Arc::from("drafts"),
        version: version.to_string(),
        adapters: Vec::new(),
    }
}

impl Fleet {
    pub(crate) fn new(groups: usize, minimum: usize, limit: Limit) -> Fleet {
        let published: Vec<GroupId> = (0..groups).map(|i| Arc::from(format!("g{i}"))).collect();
        let member = |id: &GroupId| SimulatedGroup {
            id: Arc::clone(id),
            group: Group::new(Some(placement(1)), 0, DRAIN_DEADLINE),
            revision: 1,
            jobs: Vec::new(),
            streams: Vec::new(),
            observed: BTreeMap::new(),
        };
        Fleet {
            pool: Arc::from("pool"),
            groups: published.iter().map(member).collect(),
            published,
            revision: 1,
            minimum,
            limit,
            now: Duration::ZERO,
            steps: 0,
            cut_streams: 0,
        }
    }

    pub(crate) fn closed(&self) -> usize {
        self.groups
            .iter()
            .filter(|member| !member.group.is_open())
            .count()
    }

    pub(crate) fn open(&self) -> usize {
        self.groups.len() - self.closed()
    }

    pub(crate) fn is_converged(&self) -> bool {
        let wanted = placement(self.revision);
        self.groups
            .iter()
            .all(|member| member.group.is_open() && member.group.held() == Some(&wanted))
    }

    pub(crate) fn publish(&mut self) {
        self.revision += 1;
    }

    /// Advances the simulation by one step; a group learns of a new revision with probability 1 in `lag`.
    pub(crate) fn step(&mut self, rng: &mut ChaCha8Rng, lag: u32) {
        self.now += STEP;
        self.steps += 1;
        for index in 0..self.groups.len() {
            self.update_target(index, rng, lag);
            self.run_streams_and_jobs(index, rng);
            self.observe_others(index);
            if self.groups[index].group.progress() == Progress::Waiting {
                let turn = self.turn(index);
                self.send_event(index, Event::Turn(turn), rng);
            }
            self.send_event(index, Event::Tick, rng);
        }
    }

    fn update_target(&mut self, index: usize, rng: &mut ChaCha8Rng, lag: u32) {
        if self.groups[index].revision < self.revision && rng.random_ratio(1, lag) {
            self.groups[index].revision = self.revision;
            self.send_event(index, Event::Target(Some(placement(self.revision))), rng);
        }
    }

    fn run_streams_and_jobs(&mut self, index: usize, rng: &mut ChaCha8Rng) {
        let member = &mut self.groups[index];
        for left in &mut member.streams {
            *left -= 1;
        }
        member.streams.retain(|left| *left > 0);
        while member.group.is_open() && member.streams.len() < STREAMS {
            member.streams.push(rng.random_range(1..MAX_STREAM_STEPS));
        }
        let streams = member.streams.len();
        let mut done = Vec::new();
        for job in &mut member.jobs {
            job.left = job.left.saturating_sub(1);
            if job.left == 0 {
                done.push(job.fence);
            }
        }
        member.jobs.retain(|job| job.left > 0);
        self.send_event(index, Event::Streams(streams), rng);
        for fence in done {
            self.send_event(index, Event::Done(fence), rng);
        }
    }

    fn observe_others(&mut self, index: usize) {
        if !(self.steps + index as u64).is_multiple_of(OBSERVATION_STEPS) {
            return;
        }
        let now = self.now;
        let observed: Vec<_> = (self.groups.iter())
            .map(|member| {
                (
                    Arc::clone(&member.id),
                    (member.revision, member.group.progress(), now),
                )
            })
            .collect();
        self.groups[index].observed.extend(observed);
    }

    fn turn(&self, index: usize) -> turn::Decision {
        let member = &self.groups[index];
        let observations: BTreeMap<GroupId, Observation> = (member.observed.iter())
            .filter(|(id, (revision, ..))| **id != member.id && *revision == member.revision)
            .map(|(id, (_, progress, at))| {
                let observation = Observation {
                    progress: *progress,
                    age: self.now.saturating_sub(*at),
                    overdue: Duration::ZERO,
                };
                (Arc::clone(id), observation)
            })
            .collect();
        let (minimum, cap) = match self.limit {
            Limit::Capped(cap) => (self.minimum, cap),
            Limit::Unlimited => (0, usize::MAX),
        };
        let rule = Rule {
            pool: &self.pool,
            revision: member.revision,
            minimum,
            cap,
        };
        turn::decide(rule, &member.id, &self.published, &observations)
    }

    fn send_event(&mut self, index: usize, event: Event, rng: &mut ChaCha8Rng) {
        let now = self.now;
        let member = &mut self.groups[index];
        for action in member.group.handle(event, now) {
            let Action::Send(order) = action else {
                continue;
            };
            let left = match order.command {
                Command::Load(_) => rng.random_range(100..200),
                Command::Switch(_) => {
                    self.cut_streams += member.streams.len();
                    member.streams.clear();
                    rng.random_range(5..15)
                }
                _ => 1,
            };
            // One in ten orders is lost; a repeated order that is already in progress is ignored.
            if rng.random_ratio(9, 10) && !member.jobs.iter().any(|job| job.fence == order.fence) {
                member.jobs.push(Job {
                    fence: order.fence,
                    left,
                });
            }
        }
    }
}
