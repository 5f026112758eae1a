//! Fleets of gateways whose callers are spread unevenly, before one group that is short of capacity.
//!
//! Each gateway decides for itself, on the reports of the group's leader and on what it hears of the
//! demand of six others a heartbeat. Callers come at random times; streams end after some seconds.

use std::collections::BTreeMap;
use std::time::Duration;

use auburnline_admission::demand::Report;
use auburnline_admission::feature::Feature;
use auburnline_admission::feature::Features;
use auburnline_core::hash::stable;
use auburnline_gateway::Gateway;
use auburnline_gateway::neighbour::Roster;
use auburnline_gateway::request::Admission;
use auburnline_gateway::request::Plan;
use auburnline_gateway::upstream::Outcome;
use auburnline_gateway::upstream::State;
use auburnline_gateway::upstream::Upstream;
use auburnline_gateway::upstream::UpstreamId;
use auburnline_lockstep::message::Digest;
use auburnline_lockstep::message::EngineLoad;
use googletest::prelude::*;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::gateway::BOUNDS;
use crate::gateway::ask;
use crate::support::ENGINE;
use crate::support::entry;
use crate::support::heartbeat;
use crate::support::millis;
use crate::support::peers;
use crate::support::table;
use crate::support::upstream;

/// Time of one step.
const STEP: u64 = 20;
/// Steps between two reports of the leader, and between two heartbeats.
const REPORT_STEPS: u64 = 10;
const HEARTBEAT_STEPS: u64 = 15;
/// Time from which results count: gateways have measured demand by then.
const SETTLED: u64 = 6_000;
/// Ranks of the group, and receivers of a heartbeat.
const RANKS: u16 = 64;
const FANOUT: usize = 6;

struct Waiting {
    gateway: usize,
    plan: Plan,
    again: Duration,
}

struct World {
    gateways: Vec<Gateway>,
    rng: ChaCha8Rng,
    now: u64,
    /// Streams in flight, by their end: gateway and rank.
    streams: BTreeMap<(u64, u64), (usize, UpstreamId)>,
    number: u64,
    waiting: Vec<Waiting>,
    /// Whether heartbeats are lost.
    is_silent: bool,
    /// Whether the group's leader is dead.
    is_leaderless: bool,
    /// Demand that all gateways are told of, in place of what others tell.
    forged: Option<Report>,
    result: Outcomes,
    /// Sends since the last report, and what the report allowed.
    sent: u32,
    allowed: f64,
}

/// What became of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Outcomes {
    sent: u32,
    refused: u32,
    /// Refused while the group ran less than nine tenths of what it carries.
    beside_room: u32,
    /// Most sends between two reports beyond what the report allowed.
    excess: f64,
    /// Most streams in flight, relative to what the group carries.
    fullest: f64,
    /// Sum of the streams in flight relative to that, over all reports.
    filled: f64,
    reports: u32,
}

impl World {
    fn start(count: usize, features: &[Feature]) -> World {
        let features: Features = features.iter().copied().collect();
        let gateways = (0..count).map(|number| {
            let me = entry(peers(number).port(), 1, 1);
            let seed = u64::try_from(number).expect("small");
            let mut gateway = Gateway::new("north".into(), BOUNDS, Roster::new(me, vec![]), seed);
            gateway.set_features(features.clone());
            gateway.set_table(table(3));
            for rank in 0..RANKS {
                let id = format!("rank-{rank}");
                gateway.pool.insert(Upstream {
                    address: ([10, 0, 0, 1], rank + 1).into(),
                    ..upstream(&id, "model", State::Ready)
                });
            }
            gateway
        });
        World {
            gateways: gateways.collect(),
            rng: ChaCha8Rng::seed_from_u64(5),
            now: 0,
            streams: BTreeMap::new(),
            number: 0,
            waiting: Vec::new(),
            is_silent: false,
            is_leaderless: false,
            forged: None,
            result: Outcomes::default(),
            sent: 0,
            allowed: f64::INFINITY,
        }
    }

    fn counts(&self) -> bool {
        self.now >= SETTLED
    }

    fn beat(&mut self, beats: u64) {
        let count = self.gateways.len();
        let now = millis(self.now);
        for number in 0..count {
            let (gateways, rng) = (&mut self.gateways, &mut self.rng);
            let heartbeat = heartbeat(entry(peers(number).port(), 1, beats + 2));
            // News of who lives reach all of them.
            for (other, gateway) in gateways.iter_mut().enumerate() {
                if other != number && beats.is_multiple_of(5) {
                    gateway.roster.receive(&heartbeat, now);
                }
            }
            let _ = gateways[number].freshness.record_success(now, now);
            let mut told = gateways[number].tell_demand(now);
            told.extend(self.forged);
            for _ in 0..FANOUT {
                let to = rng.random_range(0..count);
                if to != number && !self.is_silent && !told.is_empty() {
                    gateways[to].receive_demand(&told, peers(number), now);
                }
            }
        }
    }

    /// Lets the group's leader report its load.
    fn report(&mut self) {
        let running = u32::try_from(self.streams.len()).expect("few");
        let ranks = u32::from(RANKS);
        let busy = |rank: u16| EngineLoad {
            engine: ([10, 0, 0, 1], rank + 1).into(),
            requests: running / ranks + u32::from(u32::from(rank) < running % ranks),
            slowdown_percent: 100,
        };
        let digest = Digest {
            service: "model".to_owned(),
            group: "g0".to_owned(),
            is_open: true,
            engines: (0..RANKS).map(busy).collect(),
        };
        for gateway in &mut self.gateways {
            gateway.apply_digest(&digest, millis(self.now));
        }
        let pace = self.gateways[0].pace("g0").cloned().unwrap_or_default();
        let load = auburnline_gateway::pace::Load {
            ranks,
            in_flight: running,
            slowest: 100,
            slowest_busy: 100,
        };
        let prediction = pace.predict(&ENGINE, millis(120), load);
        if self.counts() {
            let excess = f64::from(self.sent) - self.allowed.max(0.0);
            self.result.excess = self.result.excess.max(excess);
            let filled = f64::from(running) / prediction.most;
            self.result.fullest = self.result.fullest.max(filled);
            self.result.filled += filled;
            self.result.reports += 1;
        }
        let ending = f64::from(running) * 0.2 / prediction.stream(&ENGINE).as_secs_f64();
        self.allowed = prediction.most - f64::from(running) + ending;
        self.sent = 0;
    }

    /// Returns the lifetime of streams that come now.
    fn lifetime(&mut self) -> u64 {
        self.rng.random_range(2_000..4_000)
    }

    fn decide(&mut self, gateway: usize, plan: Plan) {
        let now = millis(self.now);
        match self.gateways[gateway].admit(&plan, now) {
            Admission::Admit(_) => {
                let (choice, _) = self.gateways[gateway]
                    .assign(&plan, &[], now)
                    .expect("an upstream");
                let end = self.now + self.lifetime();
                self.number += 1;
                let id = choice.upstream.id.clone();
                self.streams.insert((end, self.number), (gateway, id));
                self.sent += 1;
                self.result.sent += u32::from(self.counts());
            }
            Admission::Wait(again) => self.waiting.push(Waiting {
                gateway,
                plan,
                again,
            }),
            Admission::Refuse(refusal) if self.counts() => {
                self.result.refused += 1;
                let basis = refusal.basis.expect("a refusal for load");
                let running = f64::from(u32::try_from(self.streams.len()).expect("few"));
                self.result.beside_room += u32::from(running < basis.prediction.most * 0.9);
            }
            Admission::Refuse(_) => {}
        }
    }

    /// Runs until `end` while `rate` requests a second come to each gateway.
    fn run(&mut self, end: u64, rate: impl Fn(usize, u64) -> f64) -> Outcomes {
        while self.now < end {
            let step = self.now / STEP;
            if step.is_multiple_of(HEARTBEAT_STEPS) {
                self.beat(step / HEARTBEAT_STEPS);
            }
            while let Some(entry) = self.streams.first_entry()
                && entry.key().0 <= self.now
            {
                let (gateway, id) = entry.remove();
                self.gateways[gateway].end(&id, Outcome::Cancelled, millis(self.now));
            }
            if step.is_multiple_of(REPORT_STEPS) && !self.is_leaderless {
                self.report();
            }
            for waiting in std::mem::take(&mut self.waiting) {
                if waiting.again <= millis(self.now) {
                    self.decide(waiting.gateway, waiting.plan);
                } else {
                    self.waiting.push(waiting);
                }
            }
            for gateway in 0..self.gateways.len() {
                let mut expected = rate(gateway, self.now) * 0.001 * real(STEP);
                while self.rng.random::<f64>() < expected {
                    expected -= 1.0;
                    let now = self.now;
                    let plan = ask(&mut self.gateways[gateway], "/draft/", Some("key-1"), now);
                    self.decide(gateway, plan.expect("a plan"));
                }
            }
            self.now += STEP;
        }
        self.result
    }
}

fn real(count: u64) -> f64 {
    f64::from(u32::try_from(count).expect("small"))
}

/// Requests a second of all callers together: more than the group carries.
const CALLERS: f64 = 280.0;

/// Half of all callers use a tenth of the gateways, at least one.
fn uneven(count: usize) -> impl Fn(usize, u64) -> f64 {
    let busy = count.div_ceil(10);
    let of = |part: usize| CALLERS / 2.0 / real(u64::try_from(part).expect("small"));
    move |gateway, _| {
        if gateway < busy {
            of(busy)
        } else {
            of(count - busy)
        }
    }
}

const FLEETS: [usize; 3] = [6, 98, 340];

/// Checks that a report's room is not exceeded by more than a request of each gateway.
fn expect_within_room(outcomes: &Outcomes, count: usize) {
    let gateways = real(u64::try_from(count).expect("small"));
    expect_that!(outcomes.excess, le(gateways), "{count} gateways");
    expect_that!(outcomes.fullest, lt(1.1), "{count} gateways");
}

#[gtest]
fn half_of_all_callers_at_a_tenth_of_the_gateways_get_the_room_that_is_there() {
    for count in FLEETS {
        let run = |features: &[Feature]| World::start(count, features).run(12_000, uneven(count));
        let equal = run(&[]);
        let following = run(&[Feature::DemandShares]);
        println!("{count}: {equal:?} {following:?}");
        expect_within_room(&following, count);
        let (before, after) = (f64::from(equal.refused), f64::from(following.refused));
        expect_that!(after, lt(before * 0.85), "{count} gateways");
        expect_that!(
            following.beside_room * 4,
            le(equal.beside_room),
            "{count} gateways"
        );
        expect_that!(following.filled, gt(equal.filled), "{count} gateways");
    }
}

/// Every 17 s comes a wave of one and a half times what the group carries, evenly to all gateways.
#[gtest]
fn waves_of_callers_stay_within_the_room() {
    for count in [6, 98] {
        let gateways = real(u64::try_from(count).expect("small"));
        let rate = move |_, now: u64| {
            let callers = if now % 17_000 < 7_000 { 80.0 } else { 300.0 };
            callers / gateways
        };
        let run = |features: &[Feature]| World::start(count, features).run(27_000, rate);
        let equal = run(&[]);
        let following = run(&[Feature::DemandShares]);
        println!("{count}: {equal:?} {following:?}");
        expect_within_room(&following, count);
        let (before, after) = (f64::from(equal.refused), f64::from(following.refused));
        expect_that!(after, lt(before * 1.1), "{count} gateways");
    }
}

/// All heartbeats are lost from the time on at which results count: shares are equal again.
#[gtest]
fn shares_are_equal_when_no_demand_is_heard() {
    let mut world = World::start(98, &[Feature::DemandShares]);
    world.run(SETTLED, uneven(98));
    let now = millis(world.now);
    expect_that!(world.gateways[0].grounds("model", now), some(anything()));
    world.is_silent = true;
    let outcomes = world.run(9_000, uneven(98));
    expect_within_room(&outcomes, 98);
    let now = millis(world.now);
    for gateway in &world.gateways {
        expect_that!(gateway.grounds("model", now), none());
    }
}

/// The group's leader dies: without its reports, shares are those of the counts, and equal.
#[gtest]
fn without_a_leader_gateways_keep_to_their_part_of_the_group() {
    let mut world = World::start(98, &[Feature::DemandShares]);
    world.run(SETTLED, uneven(98));
    world.is_leaderless = true;
    world.run(10_000, uneven(98));
    let most = f64::from(RANKS) * 12.0 * 1.5 + 98.0;
    let running = real(u64::try_from(world.streams.len()).expect("few"));
    expect_that!(running, lt(most));
}

#[gtest]
fn without_the_feature_nothing_is_told_and_what_is_heard_decides_nothing() {
    let run = |forged: bool| {
        let mut world = World::start(6, &[]);
        if forged {
            world.forged = Some(Report {
                service: stable(0, b"model"),
                rate: 900.0,
                waiting: 9,
            });
        }
        let outcomes = world.run(9_000, uneven(6));
        let told = world.gateways[0].tell_demand(millis(9_000));
        expect_that!(told.is_empty(), eq(true));
        outcomes
    };
    expect_that!(run(true), eq(run(false)));
}
