//! Membership of whole fleets, with only the messages that gateways exchange about each other.

use std::net::SocketAddr;
use std::time::Duration;

use auburnline_gateway::message::Entry;
use auburnline_gateway::message::Heartbeat;
use auburnline_gateway::neighbour::Roster;
use auburnline_gateway::neighbour::news::Record;
use auburnline_gateway::neighbour::news::Tag;
use googletest::prelude::*;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::support::entry;
use crate::support::number;
use crate::support::peers;

const STEP: Duration = Duration::from_millis(100);
/// Steps between two heartbeats of a gateway.
const BEAT_STEPS: usize = 3;
const LOSS_PERCENT: u32 = 1;
const DOMAINS: usize = 5;
/// Numbers of gateways for which each test runs.
const FLEETS: [usize; 3] = [98, 340, 1_300];
/// Time for which a gateway that nobody tells listens before it takes its share.
pub(crate) const LISTENING: Duration = Duration::from_secs(10);
/// Time within which deaths and returns must be known.
const KNOWN_WITHIN: Duration = Duration::from_secs(9);

#[derive(Clone)]
enum Message {
    Heartbeat(Heartbeat, Vec<Record>, Option<u32>),
    JoinReply(Heartbeat, Option<u32>),
    Request(Vec<Tag>),
    Entries(Vec<Entry>),
}

impl Message {
    /// Returns its size on the wire.
    fn bytes(&self) -> usize {
        let bytes = match self {
            Message::Heartbeat(heartbeat, news, size) => {
                postcard::to_stdvec(&(heartbeat, news, size))
            }
            Message::JoinReply(heartbeat, size) => postcard::to_stdvec(&(heartbeat, size)),
            Message::Request(tags) => postcard::to_stdvec(tags),
            Message::Entries(entries) => postcard::to_stdvec(entries),
        };
        bytes.expect("a message").len()
    }
}

/// A fleet of rosters; `None` is a gateway that does not run.
pub(crate) struct World {
    now: Duration,
    steps: usize,
    incarnations: u64,
    pub(crate) rosters: Vec<Option<Roster>>,
    /// When each gateway started.
    started: Vec<Duration>,
    /// Gateways that make no progress; what is sent to them waits.
    pub(crate) frozen: Vec<bool>,
    inboxes: Vec<Vec<(usize, Message)>>,
    rng: ChaCha8Rng,
    /// Bytes of all messages sent.
    bytes: usize,
    /// Number of gateways, the first ones, that exchange messages only with each other.
    pub(crate) cut: usize,
}

impl World {
    pub(crate) fn start(count: usize) -> World {
        let mut world = World {
            now: Duration::ZERO,
            steps: 0,
            incarnations: 0,
            rosters: Vec::new(),
            started: vec![Duration::ZERO; count],
            frozen: vec![false; count],
            inboxes: vec![Vec::new(); count],
            rng: ChaCha8Rng::seed_from_u64(1),
            bytes: 0,
            cut: 0,
        };
        for number in 0..count {
            let roster = world.boot(number);
            world.rosters.push(Some(roster));
        }
        world
    }

    fn boot(&mut self, number: usize) -> Roster {
        self.incarnations += 1;
        let me = Entry {
            failure_domain: format!("domain-{}", number % DOMAINS).into(),
            ..entry(peers(number).port(), self.incarnations, 0)
        };
        Roster::new(me, (0..3).map(peers).collect())
    }

    /// Stops a gateway and starts it again, which then knows nothing.
    pub(crate) fn restart(&mut self, number: usize) {
        self.started[number] = self.now;
        self.inboxes[number].clear();
        self.rosters[number] = Some(self.boot(number));
    }

    /// Returns the sum of the shares that the running gateways take of what their fleet shares.
    pub(crate) fn shares(&self) -> f64 {
        let running = self.rosters.iter().zip(&self.started);
        let sizes = running.filter_map(|(roster, started)| {
            let now = self.now.saturating_sub(*started);
            roster.as_ref()?.fleet_size(LISTENING, now)
        });
        let shares = sizes.map(|size| 1.0 / f64::from(u32::try_from(size).expect("a fleet")));
        shares.sum()
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            self.steps += 1;
            for number in 0..self.rosters.len() {
                self.step(number);
            }
        }
    }

    fn step(&mut self, number: usize) {
        if self.frozen[number] {
            return;
        }
        let now = self.now.saturating_sub(self.started[number]);
        let inbox = std::mem::take(&mut self.inboxes[number]);
        let Some(mut roster) = self.rosters[number].take() else {
            return;
        };
        for (from, message) in inbox {
            let reply = self.receive(&mut roster, message, now);
            if let Some(reply) = reply {
                self.send(number, peers(from), reply);
            }
        }
        if (self.steps + number).is_multiple_of(BEAT_STEPS) {
            let news = roster.news(now, &mut self.rng);
            let heartbeat = roster.next_heartbeat(Vec::new(), now, &mut self.rng);
            let size = roster.known_size(LISTENING, now);
            for target in roster.targets(now, &mut self.rng) {
                self.send(
                    number,
                    target,
                    Message::Heartbeat(heartbeat.clone(), news.clone(), size),
                );
            }
        }
        self.rosters[number] = Some(roster);
    }

    fn receive(&mut self, roster: &mut Roster, message: Message, now: Duration) -> Option<Message> {
        match message {
            Message::Heartbeat(heartbeat, news, size) => {
                let needs_reply = roster.needs_join_reply(&heartbeat, now);
                roster.receive(&heartbeat, now);
                let requested = roster.apply_news(&news, now);
                if let Some(size) = size {
                    roster.receive_size(size, now);
                }
                if needs_reply {
                    let reply = roster.join_reply(now, &mut self.rng);
                    let size = roster.known_size(LISTENING, now);
                    return Some(Message::JoinReply(reply, size));
                }
                (!requested.is_empty()).then_some(Message::Request(requested))
            }
            Message::JoinReply(heartbeat, size) => {
                roster.receive(&heartbeat, now);
                if let Some(size) = size {
                    roster.receive_size(size, now);
                }
                None
            }
            Message::Request(tags) => Some(Message::Entries(roster.entries(&tags, now))),
            Message::Entries(entries) => {
                roster.apply_entries(&entries, now);
                None
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        let to = number(to);
        let is_lost = self.rng.random_ratio(LOSS_PERCENT, 100);
        let is_cut = (from < self.cut) != (to < self.cut);
        if to == from || is_lost || is_cut || self.rosters.get(to).is_none_or(Option::is_none) {
            return;
        }
        self.bytes += message.bytes();
        self.inboxes[to].push((from, message));
    }

    /// Returns how many gateways each running one counts as live, least first.
    fn live(&self) -> Vec<usize> {
        let running = self.rosters.iter().flatten();
        let mut live: Vec<usize> = running.map(|roster| roster.live(self.now)).collect();
        live.sort_unstable();
        live
    }

    /// Returns the bytes that a gateway sends in a time, in the mean.
    fn bytes_within(&mut self, time: Duration) -> usize {
        self.bytes = 0;
        self.run(time);
        self.bytes / self.rosters.len()
    }
}

/// Expects that all running gateways count `running` live ones: each within a tenth, and half of
/// them within a hundredth.
fn expect_known(world: &World, running: usize) {
    let live = world.live();
    let (least, most) = (live[0], live[live.len() - 1]);
    let middle = live[live.len() / 2];
    expect_that!(least, ge(running - running / 10), "of {running}");
    expect_that!(middle, ge(running - running / 100), "of {running}");
    expect_that!(most, le(running + running / 10), "of {running}");
}

/// Guards against three effects of a large fleet: gateways that take live ones for dead because news
/// of each arrives too rarely, and so divide what a group can take by too few and make themselves
/// readers; a cost of membership that grows with the fleet; and dead gateways that are offered to
/// callers for longer than the platform allows.
#[gtest]
fn the_living_and_the_dead_are_known_at_the_same_cost_in_fleets_of_all_sizes() {
    let bytes = FLEETS.map(|count| {
        let mut world = World::start(count);
        world.run(Duration::from_secs(12));
        expect_known(&world, count);
        let bytes = world.bytes_within(Duration::from_secs(1));
        for number in (0..count).step_by(3) {
            world.rosters[number] = None;
        }
        world.run(KNOWN_WITHIN);
        expect_known(&world, count - count.div_ceil(3));
        bytes
    });
    let [small, _, large] = bytes;
    expect_that!(10 * large, le(13 * small), "bytes in a second: {bytes:?}");
}

/// Guards against a third of the fleet that stays unknown after it was cut off.
#[gtest]
fn a_third_of_the_fleet_that_was_cut_off_is_known_again_within_the_bound() {
    for count in [98, 340] {
        let mut world = World::start(count);
        world.run(Duration::from_secs(8));
        world.cut = count / 3;
        world.run(Duration::from_secs(8));
        world.cut = 0;
        world.run(KNOWN_WITHIN);
        expect_known(&world, count);
    }
}

/// Guards against a state that stays unknown because news of it was overtaken by later heartbeats.
#[gtest]
fn a_change_of_a_gateways_state_reaches_all_others_within_the_bound() {
    let mut world = World::start(FLEETS[1]);
    world.run(Duration::from_secs(6));
    let changed = world.rosters[7].as_mut().expect("a running gateway");
    changed.set_ready(false);
    let callers = entry(peers(7).port(), 0, 0).callers;
    world.run(Duration::from_secs(4));
    let offering = world.rosters.iter().flatten();
    let offering = offering.filter(|roster| {
        let offer = roster.offer(Some("domain-2"), 1, world.now);
        let mut entries = offer.entries.iter();
        entries.any(|entry| entry.address == callers)
    });
    expect_that!(offering.count(), eq(0));
}

/// Guards against shares of what the fleet shares that add up to more than the whole, because its
/// gateways have just started and know only some of the others.
#[gtest]
fn shares_of_a_fleet_that_starts_at_once_add_up_to_no_more_than_the_whole() {
    for count in FLEETS {
        let mut world = World::start(count);
        for _ in 0..60 {
            world.run(STEP);
            let what = format!("{count} gateways after {:?}", world.now);
            expect_that!(world.shares(), le(1.05), "{what}");
        }
        // Nobody tells these gateways, so they listen first.
        world.run(LISTENING);
        let rosters = world.rosters.iter().flatten();
        let sizes = rosters.filter_map(|roster| roster.fleet_size(LISTENING, world.now));
        let is_near = |size: &usize| *size <= count && *size >= count - count / 20;
        let known = sizes.filter(is_near).count();
        expect_that!(known, ge(count - count / 100), "of {count} gateways");
    }
}
