//! A pool of groups that change their placement, in steps of time; for tests and examples.

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

/// Length of one step of time.
pub(crate) const STEP: Duration = Duration::from_millis(200);
/// Steps between two sights of a group by another.
const SIGHT_STEPS: u64 = 5;
const DRAIN_DEADLINE: Duration = Duration::from_mins(1);
const LONGEST_STREAM: u32 = 150;
const STREAMS: usize = 4;

/// How groups take their turns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Limit {
    /// At most this many at once.
    Capped(usize),
    /// None waits for another.
    Unlimited,
}

struct Job {
    fence: u64,
    left: u32,
}

struct Unit {
    id: GroupId,
    group: Group,
    revision: Revision,
    jobs: Vec<Job>,
    streams: Vec<u32>,
    seen: BTreeMap<GroupId, (Revision, Progress, Duration)>,
}

/// The pool and its groups.
pub(crate) struct Fleet {
    pool: PoolId,
    units: Vec<Unit>,
    published: Vec<GroupId>,
    pub(crate) revision: Revision,
    minimum: usize,
    turns: Limit,
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
    pub(crate) fn new(groups: usize, minimum: usize, turns: Limit) -> Fleet {
        let published: Vec<GroupId> = (0..groups).map(|i| Arc::from(format!("g{i}"))).collect();
        let unit = |id: &GroupId| Unit {
            id: Arc::clone(id),
            group: Group::new(Some(placement(1)), 0, DRAIN_DEADLINE),
            revision: 1,
            jobs: Vec::new(),
            streams: Vec::new(),
            seen: BTreeMap::new(),
        };
        Fleet {
            pool: Arc::from("pool"),
            units: published.iter().map(unit).collect(),
            published,
            revision: 1,
            minimum,
            turns,
            now: Duration::ZERO,
            steps: 0,
            cut_streams: 0,
        }
    }

    pub(crate) fn closed(&self) -> usize {
        self.units
            .iter()
            .filter(|unit| !unit.group.is_open())
            .count()
    }

    pub(crate) fn open(&self) -> usize {
        self.units.len() - self.closed()
    }

    pub(crate) fn is_converged(&self) -> bool {
        let wanted = placement(self.revision);
        self.units
            .iter()
            .all(|unit| unit.group.is_open() && unit.group.held() == Some(&wanted))
    }

    pub(crate) fn publish(&mut self) {
        self.revision += 1;
    }

    /// Passes one step of time; a group learns a new revision with odds of one in `lag`.
    pub(crate) fn step(&mut self, rng: &mut ChaCha8Rng, lag: u32) {
        self.now += STEP;
        self.steps += 1;
        for index in 0..self.units.len() {
            self.learn(index, rng, lag);
            self.work(index, rng);
            self.look(index);
            if self.units[index].group.progress() == Progress::Waiting {
                let turn = self.turn(index);
                self.tell(index, Event::Turn(turn), rng);
            }
            self.tell(index, Event::Tick, rng);
        }
    }

    fn learn(&mut self, index: usize, rng: &mut ChaCha8Rng, lag: u32) {
        if self.units[index].revision < self.revision && rng.random_ratio(1, lag) {
            self.units[index].revision = self.revision;
            self.tell(index, Event::Target(Some(placement(self.revision))), rng);
        }
    }

    fn work(&mut self, index: usize, rng: &mut ChaCha8Rng) {
        let unit = &mut self.units[index];
        for left in &mut unit.streams {
            *left -= 1;
        }
        unit.streams.retain(|left| *left > 0);
        while unit.group.is_open() && unit.streams.len() < STREAMS {
            unit.streams.push(rng.random_range(1..LONGEST_STREAM));
        }
        let streams = unit.streams.len();
        let mut done = Vec::new();
        for job in &mut unit.jobs {
            job.left = job.left.saturating_sub(1);
            if job.left == 0 {
                done.push(job.fence);
            }
        }
        unit.jobs.retain(|job| job.left > 0);
        self.tell(index, Event::Streams(streams), rng);
        for fence in done {
            self.tell(index, Event::Done(fence), rng);
        }
    }

    fn look(&mut self, index: usize) {
        if !(self.steps + index as u64).is_multiple_of(SIGHT_STEPS) {
            return;
        }
        let now = self.now;
        let seen: Vec<_> = (self.units.iter())
            .map(|unit| {
                (
                    Arc::clone(&unit.id),
                    (unit.revision, unit.group.progress(), now),
                )
            })
            .collect();
        self.units[index].seen.extend(seen);
    }

    fn turn(&self, index: usize) -> turn::Decision {
        let unit = &self.units[index];
        let sights: BTreeMap<GroupId, Observation> = (unit.seen.iter())
            .filter(|(id, (revision, ..))| **id != unit.id && *revision == unit.revision)
            .map(|(id, (_, progress, at))| {
                let sight = Observation {
                    progress: *progress,
                    age: self.now.saturating_sub(*at),
                    overdue: Duration::ZERO,
                };
                (Arc::clone(id), sight)
            })
            .collect();
        let (minimum, cap) = match self.turns {
            Limit::Capped(cap) => (self.minimum, cap),
            Limit::Unlimited => (0, usize::MAX),
        };
        let rule = Rule {
            pool: &self.pool,
            revision: unit.revision,
            minimum,
            cap,
        };
        turn::decide(rule, &unit.id, &self.published, &sights)
    }

    fn tell(&mut self, index: usize, event: Event, rng: &mut ChaCha8Rng) {
        let now = self.now;
        let unit = &mut self.units[index];
        for action in unit.group.handle(event, now) {
            let Action::Send(order) = action else {
                continue;
            };
            let left = match order.command {
                Command::Load(_) => rng.random_range(100..200),
                Command::Switch(_) => {
                    self.cut_streams += unit.streams.len();
                    unit.streams.clear();
                    rng.random_range(5..15)
                }
                _ => 1,
            };
            // Some orders are lost and some are given twice.
            if rng.random_ratio(9, 10) && !unit.jobs.iter().any(|job| job.fence == order.fence) {
                unit.jobs.push(Job {
                    fence: order.fence,
                    left,
                });
            }
        }
    }
}
