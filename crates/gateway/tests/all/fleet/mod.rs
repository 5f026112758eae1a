//! Simulated fleets of gateways that must obey the rate limits, backoff requests and departures of
//! upstreams.
//!
//! Each gateway makes its own decisions on its own clock. Messages between gateways take a few
//! milliseconds and are sometimes lost. Gateways start, stop, freeze and are cut off from each
//! other while callers request far more of a few upstreams than these accept. The requests that
//! reach each upstream are counted.

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
use auburnline_gateway::message::Heartbeat;
use auburnline_gateway::request::Plan;
use auburnline_gateway::upstream::Upstream;
use auburnline_quota::Rate;
use auburnline_quota::home;
use auburnline_quota::home::Reply;
use auburnline_quota::loan::Loan;
use auburnline_quota::registry::Notice;
use rand_chacha::ChaCha8Rng;

/// Time on the simulation's clock.
type Time = Duration;

/// When upstreams begin to announce limits, backoff or their departure: all gateways know each
/// other by then.
const ANNOUNCED: Time = Duration::from_secs(4);
/// Time from an upstream's announcement to a gateway until the gateway's requests count.
const GRACE: Duration = Duration::from_millis(500);
/// End of the simulation.
const END: Time = Duration::from_secs(16);
/// Time from a request to the head of its answer.
const RESPONSE_TIME: Duration = Duration::from_millis(25);
/// Percentage of messages between gateways that are lost.
const LOSS_PERCENT: u32 = 1;
/// Maximum latency of a message between gateways, in microseconds.
const MAX_LATENCY_US: u64 = 4_000;

/// Message between two gateways.
#[derive(Clone)]
enum Message {
    Heartbeat(Heartbeat),
    JoinReply(Heartbeat),
    FleetSize(u32),
    Limits(Vec<Notice>),
    Loan(Loan),
    Ask(home::Request),
    Reply(Reply),
}

/// Event at a gateway.
enum Event {
    Tick,
    Request,
    /// A message of this gateway arrives.
    Deliver(usize, Message),
    /// An upstream answers a request that was sent at the given time.
    Answer(usize, Time),
    Fault(Fault),
}

/// Fault of a gateway.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// It stops, and starts again after this time.
    Restart(Duration),
    /// Its process makes no progress for this time.
    Freeze(Duration),
    /// Messages from and to other gateways are lost for this time; requests go on.
    Cut(Duration),
    /// Its messages to other gateways are lost for this time; it still receives theirs.
    OneWay(Duration),
}

struct Node {
    gateway: Gateway,
    started: Time,
    /// Number of this start; events of an earlier one are dropped.
    incarnation: u32,
    plan: Plan,
    frozen_until: Time,
    inbound_cut_until: Time,
    outbound_cut_until: Time,
    /// When it first got an answer with each upstream's limit.
    limited_at: Vec<Option<Time>>,
    /// When each upstream last asked it to back off.
    backoff_at: Vec<Option<Time>>,
    /// Whether it got an answer that says that each upstream leaves.
    knows_leaving: Vec<bool>,
    /// Unanswered requests for permits by their numbers, with the upstream of each.
    waiting: BTreeMap<u64, (home::Request, usize)>,
}

struct World {
    nodes: Vec<Option<Node>>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, (usize, u32, Event)>,
    number: u64,
    rng: ChaCha8Rng,
    upstreams: Vec<Arc<Upstream>>,
    rate: Rate,
    /// Time for which each answer of the limited upstreams asks its gateway to back off, in place
    /// of announcing a limit.
    backoff: Option<Duration>,
    /// When the limited upstreams begin to say in all answers that they leave; the published list
    /// still has them as ready.
    leaving_from: Option<Time>,
    /// Requests sent to an upstream although its gateway knew that it leaves or asked for backoff.
    unwanted: usize,
    /// Mean time between two requests at a gateway.
    pause: Duration,
    /// Requests that reached each limited upstream: time and gateway.
    arrived: Vec<Vec<(Time, usize)>>,
    incarnations: u32,
    /// When the gateways are partitioned into two halves.
    split: Range<Time>,
    /// When callers send no requests.
    idle: Range<Time>,
    /// Number of gateways that callers use, from the first one on.
    active_gateways: usize,
}

/// Number of upstreams that announce a limit, backoff or their departure; one more accepts
/// everything.
const LIMITED: usize = 2;

/// Number of gateways of each fleet.
const FLEETS: [usize; 3] = [6, 98, 340];

/// Simulates fleets of all sizes, first without faults and then with random faults.
fn run_fleets(start: impl Fn(usize, u64) -> World, expect: impl Fn(&World)) {
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
