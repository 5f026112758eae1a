//! What upstreams say of themselves, heeded by whole fleets.
//!
//! All gateways run their own decisions on their own clocks; messages between them take a few milliseconds and are
//! sometimes lost. Gateways start, stop, freeze and are cut off from each other while callers want far more of a few upstreams
//! than these take. What reaches each upstream is counted.

mod backoff;
mod leaving;
mod limit;
mod world;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use auburnline_gateway::Gateway;
use auburnline_gateway::message::Beat;
use auburnline_gateway::request::Plan;
use auburnline_gateway::upstream::Upstream;
use auburnline_quota::Rate;
use auburnline_quota::book::Notice;
use auburnline_quota::home::Ask;
use auburnline_quota::home::Reply;
use auburnline_quota::loan::Loan;
use rand_chacha::ChaCha8Rng;

/// Time on the common clock of a run.
type Time = Duration;

/// Time at which upstreams begin to speak of themselves: all gateways know each other by then.
const NAMED: Time = Duration::from_secs(4);
/// Time after a gateway got an upstream's word from which on its requests count.
const TOLD: Duration = Duration::from_millis(500);
const END: Time = Duration::from_secs(16);
/// Time from a request to its answer's head.
const ANSWER: Duration = Duration::from_millis(25);
/// Messages that are lost, of 100.
const LOST: u32 = 1;
/// Longest time that a message is on its way, in microseconds.
const LATENCY: u64 = 4_000;

/// Message between two gateways.
#[derive(Clone)]
enum Message {
    Beat(Beat),
    Introduction(Beat),
    Limits(Vec<Notice>),
    Loan(Loan),
    Ask(Ask),
    Reply(Reply),
}

/// What happens to a gateway.
enum Event {
    Tick,
    Request,
    Deliver(usize, Message),
    /// The answer of an upstream to a request that was sent at the given time.
    Answer(usize, Time),
    Fault(Fault),
}

/// What goes wrong with a gateway.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// It ends, and starts again after this time.
    Restart(Duration),
    /// It stands still for this time.
    Freeze(Duration),
    /// It reaches no other gateway for this time; requests go on.
    Cut(Duration),
    /// It hears the others, and is not heard by them for this time.
    OneWay(Duration),
}

struct Node {
    gateway: Gateway,
    started: Time,
    /// Number of this start; events of an earlier one are void.
    life: u32,
    plan: Plan,
    frozen_until: Time,
    deaf_until: Time,
    mute_until: Time,
    /// When it first passed on each upstream's limit.
    told: Vec<Option<Time>>,
    /// When each upstream last asked it to back off.
    asked: Vec<Option<Time>>,
    /// Whether it passed on that each upstream leaves.
    knows_leaving: Vec<bool>,
    waiting: BTreeMap<u64, (Ask, usize)>,
}

struct World {
    nodes: Vec<Option<Node>>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, (usize, u32, Event)>,
    number: u64,
    rng: ChaCha8Rng,
    upstreams: Vec<Arc<Upstream>>,
    rate: Rate,
    /// Time for which the limited upstreams ask each gateway to back off with each answer, in place of a limit.
    backoff: Option<Duration>,
    /// When the limited upstreams begin to say in all answers that they leave; the list goes on to have them ready.
    leaving_from: Option<Time>,
    /// Requests sent to an upstream that its gateway knows not to want them.
    unwanted: usize,
    /// Mean time between two requests at one gateway.
    pause: Duration,
    /// Requests that reached each limited upstream, with their gateways.
    arrived: Vec<Vec<(Time, usize)>>,
    lives: u32,
    /// When half of the gateways don't reach the other half.
    split: Range<Time>,
    /// When no caller sends anything.
    quiet: Range<Time>,
    /// Gateways that callers use.
    used: usize,
}

/// Upstreams that name a limit or ask for backoff; one more takes everything.
const LIMITED: usize = 2;

/// Gateways of each fleet.
const FLEETS: [usize; 3] = [6, 98, 340];

/// Plays fleets of all sizes, without faults and then with faults of all kinds.
fn play(start: impl Fn(usize, u64) -> World, expect: impl Fn(&World)) {
    for count in FLEETS {
        let mut world = start(count, 1);
        world.run();
        expect(&world);
        for seed in 1..=3 {
            println!("{count} gateways, seed {seed}");
            let mut world = start(count, seed);
            world.add_faults(seed);
            world.run();
            expect(&world);
        }
    }
}
