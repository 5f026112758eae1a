//! A simulated fleet of entries: views with skew, messages with delay, loss and doubling.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use auburnline_core::id::InstanceId;
use auburnline_core::id::WorkspaceId;
use auburnline_limits::bucket::Charge;
use auburnline_limits::bucket::Holder;
use auburnline_limits::bucket::Verdict;
use auburnline_limits::lease::Ask;
use auburnline_limits::lease::Grants;
use auburnline_limits::lease::Home;
use auburnline_limits::lease::Limit;
use auburnline_limits::lease::Reserve;
use auburnline_limits::lease::Settings;
use auburnline_limits::lease::View;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Step of simulated time.
pub(crate) const STEP: Duration = Duration::from_millis(10);
/// Least and most time until an entry sees a change of the fleet, in milliseconds.
const DETECTION: [u64; 2] = [500, 2_000];
/// Time before use and refusals are counted.
const WARM_UP: Duration = Duration::from_secs(10);
/// Least and most cost of a request in tokens.
pub(crate) const COST: [u64; 2] = [100, 1_000];
/// Bytes of a message's frame and head, and of one workspace in it.
const MESSAGE_BYTES: u64 = 90;
const WANT_BYTES: u64 = 40;

/// How entries share a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    /// Leases from a home.
    Leases,
    /// The same part of the limit at each entry.
    Split,
    /// The whole limit at each entry.
    Alone,
}

/// What goes wrong in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Nothing.
    Calm,
    /// An entry is killed or comes back every four seconds.
    Churn,
    /// Two fifths of the entries are cut off from 20 s to 40 s.
    Partition,
    /// Both.
    Both,
    /// From 20 s to 40 s two fifths of the entries don't see the rest, which see them.
    OneSided,
}

/// One run.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) seed: u64,
    pub(crate) entries: usize,
    pub(crate) workspaces: usize,
    pub(crate) seconds: u64,
    pub(crate) requests_per_second: f64,
    pub(crate) policy: Policy,
    pub(crate) fault: Fault,
    /// Share of a workspace's requests that come through one entry.
    pub(crate) skew: f64,
    /// Entries that a workspace's callers use, from its favourite on.
    pub(crate) entries_per_workspace: usize,
    pub(crate) settings: Settings,
    /// Messages lost and doubled, of a hundred.
    pub(crate) message_fault_percent: u32,
    /// Planted fault: a home takes what it sees for all that is published.
    pub(crate) ignores_published: bool,
    /// Whether the sum of parts is looked at.
    pub(crate) audit: bool,
}

/// What a run showed.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Outcome {
    /// Worst use beyond a token bucket of the limit, in seconds of the rate.
    pub(crate) overshoot: f64,
    /// Worst use beyond the bucket and the declared bound, in tokens.
    pub(crate) beyond_bound: f64,
    /// Worst sum of all homes' grants beyond the bucket, in tokens.
    pub(crate) beyond_grants: f64,
    /// Worst sum of the parts of one limit that homes may grant at one instant, in millionths.
    pub(crate) max_share_ppm: u64,
    /// Share of the usable limit that was not used by workspaces that asked for more.
    pub(crate) unused: f64,
    /// Share of requests refused to workspaces that asked for less than their limit.
    pub(crate) wrongly_refused: f64,
    /// Bytes a second that an entry sends and receives for leases: mean and worst.
    pub(crate) bytes: [f64; 2],
}

enum Body {
    Ask(Ask),
    Grants(Grants),
}

struct Node {
    id: InstanceId,
    up: bool,
    side: u8,
    view: View,
    home: Home,
    holder: Holder,
    reserve: Reserve,
    views: Vec<(Duration, BTreeSet<InstanceId>)>,
    local: BTreeMap<usize, (f64, Duration)>,
    pending: Vec<(usize, u64, Duration)>,
    bytes: u64,
}

/// A workspace's account in truth: a token bucket that all entries together must respect.
struct Truth {
    name: WorkspaceId,
    limit: Limit,
    hot: bool,
    favourite: usize,
    arrivals: f64,
    level: f64,
    bounded: f64,
    net: f64,
    offered: u64,
    refused: u64,
    /// Bucket of what homes grant and take back.
    granted: f64,
    worst: f64,
    worst_bounded: f64,
    worst_granted: f64,
    /// Use before the measurement starts.
    before: f64,
}

/// A simulated fleet.
pub(crate) struct World {
    plan: Plan,
    rng: ChaCha8Rng,
    now: Duration,
    nodes: Vec<Node>,
    truths: Vec<Truth>,
    mail: BTreeMap<(Duration, u64), (usize, usize, Body)>,
    posted: u64,
    credits: BTreeMap<(Duration, u64), (usize, usize, Paid, u64)>,
    published: BTreeSet<InstanceId>,
    max_share_ppm: u64,
    one_sided: bool,
}

enum Paid {
    Leased(Charge),
    Reserved(u64),
    Local(u64),
}

impl World {
    pub(crate) fn new(plan: Plan) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
        let ids: Vec<InstanceId> = (0..plan.entries)
            .map(|index| format!("entry-{index:03}").into())
            .collect();
        let published: BTreeSet<InstanceId> = ids.iter().cloned().collect();
        let nodes = ids
            .iter()
            .map(|id| Node::new(id, Duration::ZERO, &plan, rng.random()))
            .collect();
        let truths = (0..plan.workspaces)
            .map(|index| Truth::new(index, &plan, &mut rng))
            .collect();
        let mut world = World {
            plan,
            rng,
            now: Duration::ZERO,
            nodes,
            truths,
            mail: BTreeMap::new(),
            posted: 0,
            credits: BTreeMap::new(),
            published,
            max_share_ppm: 0,
            one_sided: false,
        };
        for index in 0..world.nodes.len() {
            world.see(index, Duration::ZERO);
        }
        world
    }

    /// Runs the plan to its end.
    pub(crate) fn run(mut self) -> Outcome {
        let end = Duration::from_secs(self.plan.seconds);
        while self.now < end {
            self.now += STEP;
            self.disturb();
            self.refill();
            self.deliver();
            self.repay();
            self.arrive();
            for index in 0..self.nodes.len() {
                self.turn(index);
            }
            if self.plan.audit {
                self.audit();
            }
        }
        self.outcome()
    }

    /// Adds up what all homes may grant of each limit.
    fn audit(&mut self) {
        for truth in &self.truths {
            let up = self.nodes.iter().filter(|node| node.up);
            let homes = up.filter(|node| node.view.share() > 0 && node.view.is_home(&truth.name));
            let share_ppm = homes.map(|node| node.view.share()).sum();
            self.max_share_ppm = self.max_share_ppm.max(share_ppm);
        }
    }

    fn disturb(&mut self) {
        let tick = self.now.as_millis() / STEP.as_millis();
        let churns = matches!(self.plan.fault, Fault::Churn | Fault::Both);
        let splits = matches!(self.plan.fault, Fault::Partition | Fault::Both);
        let mut changed = false;
        if churns && tick.is_multiple_of(400) {
            self.restart();
            changed = true;
        }
        let one_sided = self.plan.fault == Fault::OneSided;
        if one_sided && (tick == 2_000 || tick == 4_000) {
            self.one_sided = tick == 2_000;
            changed = true;
        }
        if splits && (tick == 2_000 || tick == 4_000) {
            let cut = self.nodes.len() * 2 / 5;
            for node in &mut self.nodes[..cut] {
                node.side ^= 1;
            }
            changed = true;
        }
        if changed {
            for index in 0..self.nodes.len() {
                let delay = self.rng.random_range(DETECTION[0]..DETECTION[1]);
                self.see(index, Duration::from_millis(delay));
            }
        }
    }

    /// Brings back the entry that is down, and kills another.
    fn restart(&mut self) {
        let chosen = self.rng.random_range(0..self.nodes.len());
        for index in 0..self.nodes.len() {
            if index == chosen || !self.nodes[index].up {
                let side = self.nodes[index].side;
                let id = self.nodes[index].id.clone();
                self.nodes[index] = Node::new(&id, self.now, &self.plan, self.rng.random());
                self.nodes[index].up = index != chosen;
                self.nodes[index].side = side;
            }
        }
    }

    /// Plans the entry's next view: all that are up on its side.
    fn see(&mut self, index: usize, delay: Duration) {
        let side = self.nodes[index].side;
        let cut = self.nodes.len() * 2 / 5;
        let hidden = self.one_sided && index < cut;
        let last = if hidden { cut } else { self.nodes.len() };
        let nodes = self.nodes[..last].iter();
        let seen = nodes.filter(|node| node.up && node.side == side);
        let live = seen.map(|node| node.id.clone()).collect();
        let at = self.now + delay;
        self.nodes[index].views.push((at, live));
    }

    fn refill(&mut self) {
        let step = STEP.as_secs_f64();
        let lease = self.plan.settings.lease.as_secs_f64();
        for truth in &mut self.truths {
            let rate = truth.limit.rate as f64;
            let cap = truth.limit.burst as f64;
            truth.level = (truth.level + rate * step).min(cap);
            truth.bounded = (truth.bounded + rate * step).min(cap + rate * lease);
            truth.granted = (truth.granted + rate * step).min(cap);
            if self.now == WARM_UP {
                truth.before = truth.net;
                truth.offered = 0;
                truth.refused = 0;
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.mail.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (from, to, body) = entry.remove();
            let reachable = self.nodes[from].side == self.nodes[to].side;
            if reachable && self.nodes[to].up {
                self.receive(from, to, &body);
            }
        }
    }

    fn receive(&mut self, from: usize, to: usize, body: &Body) {
        self.nodes[to].bytes += body.bytes();
        let sender = self.nodes[from].id.clone();
        let node = &mut self.nodes[to];
        match body {
            Body::Grants(grants) => node.holder.granted(self.now, grants),
            Body::Ask(ask) => {
                let truths = &self.truths;
                let limit = |name: &WorkspaceId| Some(truths[index_of(name)].limit);
                node.view.tick(self.now);
                let grants = node.home.ask(self.now, &node.view, &sender, ask, limit);
                if let Some(grants) = &grants {
                    self.count(ask, grants);
                }
                if let Some(grants) = grants.filter(|grants| !grants.grants.is_empty()) {
                    self.post(to, from, Body::Grants(grants));
                }
            }
        }
    }

    fn count(&mut self, ask: &Ask, grants: &Grants) {
        for want in &ask.wants {
            let truth = &mut self.truths[index_of(&want.workspace)];
            let level = truth.granted + want.returned as f64;
            truth.granted = level.min(truth.limit.burst as f64);
        }
        for grant in &grants.grants {
            let truth = &mut self.truths[index_of(&grant.workspace)];
            truth.granted -= grant.tokens as f64;
            truth.worst_granted = truth.worst_granted.max(-truth.granted);
        }
    }

    fn post(&mut self, from: usize, to: usize, body: Body) {
        self.nodes[from].bytes += body.bytes();
        if self.rng.random_range(0..100) < self.plan.message_fault_percent {
            return;
        }
        let twice = self.rng.random_range(0..100) < self.plan.message_fault_percent;
        if twice {
            self.enqueue(from, to, body.copy());
        }
        self.enqueue(from, to, body);
    }

    fn enqueue(&mut self, from: usize, to: usize, body: Body) {
        let late = self.rng.random_range(0..100) < self.plan.message_fault_percent;
        let most = if late { 3_000 } else { 30 };
        let at = self.now + Duration::from_millis(self.rng.random_range(1..most));
        self.posted += 1;
        self.mail.insert((at, self.posted), (from, to, body));
    }

    fn repay(&mut self) {
        while let Some(entry) = self.credits.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (index, workspace, paid, used) = entry.remove();
            let truth = &mut self.truths[workspace];
            let tokens = match &paid {
                Paid::Leased(charge) => charge.tokens(),
                Paid::Reserved(tokens) | Paid::Local(tokens) => *tokens,
            };
            let unused = (tokens - used) as f64;
            truth.net -= unused;
            let cap = truth.limit.burst as f64;
            let lease = self.plan.settings.lease.as_secs_f64() * truth.limit.rate as f64;
            truth.level = (truth.level + unused).min(cap);
            truth.bounded = (truth.bounded + unused).min(cap + lease);
            let node = &mut self.nodes[index];
            match paid {
                Paid::Leased(charge) => node.holder.credit(self.now, charge, used),
                // The reserve fills by itself.
                Paid::Reserved(_) => {}
                Paid::Local(_) => {
                    let local = node.local.entry(workspace).or_insert((0.0, self.now));
                    local.0 += unused;
                }
            }
        }
    }

    fn arrive(&mut self) {
        for workspace in 0..self.truths.len() {
            let truth = &self.truths[workspace];
            let mean = truth.arrivals * STEP.as_secs_f64();
            let favourite = truth.favourite;
            let mut count = mean.floor();
            if self.rng.random_bool(mean.fract()) {
                count += 1.0;
            }
            for _ in 0..count as u64 {
                let near = self
                    .rng
                    .random_range(0..self.plan.entries_per_workspace.min(self.nodes.len()));
                let anyone = (favourite + near) % self.nodes.len();
                let skewed = self.rng.random_bool(self.plan.skew);
                let index = if skewed { favourite } else { anyone };
                let index = if self.nodes[index].up { index } else { anyone };
                let cost = self.rng.random_range(COST[0]..COST[1]);
                if self.nodes[index].up {
                    self.truths[workspace].offered += cost;
                    self.request(index, workspace, cost);
                }
            }
        }
    }

    fn request(&mut self, index: usize, workspace: usize, cost: u64) {
        if self.plan.policy != Policy::Leases {
            return self.request_local(index, workspace, cost);
        }
        let name = self.truths[workspace].name.clone();
        let verdict = self.nodes[index].holder.charge(self.now, &name, cost);
        self.settle(index, workspace, cost, self.now, verdict);
    }

    fn settle(
        &mut self,
        index: usize,
        workspace: usize,
        cost: u64,
        since: Duration,
        verdict: Verdict,
    ) {
        match verdict {
            Verdict::Admitted(charge) => self.pay(index, workspace, Paid::Leased(charge), cost),
            Verdict::Pending(_) => self.nodes[index].pending.push((workspace, cost, since)),
            Verdict::Refused(_) if self.reserved(index, workspace, cost) => {
                self.pay(index, workspace, Paid::Reserved(cost), cost);
            }
            Verdict::Refused(_) => self.truths[workspace].refused += cost,
        }
    }

    /// Spends from an entry's own part of the limit; what it gives counts like a home's grants.
    fn reserved(&mut self, index: usize, workspace: usize, cost: u64) -> bool {
        let truth = &mut self.truths[workspace];
        let reserve = &mut self.nodes[index].reserve;
        let is_paid = reserve.spend(self.now, &truth.name, truth.limit, cost);
        if is_paid {
            truth.granted -= cost as f64;
            truth.worst_granted = truth.worst_granted.max(-truth.granted);
        }
        is_paid
    }

    fn request_local(&mut self, index: usize, workspace: usize, cost: u64) {
        let limit = self.truths[workspace].limit;
        let parts = match self.plan.policy {
            Policy::Split => self.nodes.len() as f64,
            _ => 1.0,
        };
        let (rate, burst) = (limit.rate as f64 / parts, limit.burst as f64 / parts);
        let local = &mut self.nodes[index].local;
        let (level, updated) = local.entry(workspace).or_insert((burst, self.now));
        *level = (*level + rate * self.now.saturating_sub(*updated).as_secs_f64()).min(burst);
        *updated = self.now;
        if *level <= 0.0 {
            self.truths[workspace].refused += cost;
            return;
        }
        *level -= cost as f64;
        self.pay(index, workspace, Paid::Local(cost), cost);
    }

    fn pay(&mut self, index: usize, workspace: usize, paid: Paid, cost: u64) {
        let truth = &mut self.truths[workspace];
        truth.net += cost as f64;
        truth.level -= cost as f64;
        truth.bounded -= cost as f64;
        truth.worst = truth.worst.max(-truth.level);
        truth.worst_bounded = truth.worst_bounded.max(-truth.bounded);
        let used = self.rng.random_range(cost / 3..=cost);
        let at = self.now + Duration::from_millis(self.rng.random_range(300..3_000));
        self.posted += 1;
        self.credits
            .insert((at, self.posted), (index, workspace, paid, used));
    }

    /// One entry's turn: new views, what is pending, what to ask.
    fn turn(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if !node.up {
            return;
        }
        while let Some(at) = node.views.iter().position(|(at, _)| *at <= now) {
            let (_, live) = node.views.remove(at);
            let published = if self.plan.ignores_published {
                &live
            } else {
                &self.published
            };
            node.view.observe(now, published, &live);
            node.reserve.observe(now, published.len());
        }
        node.view.tick(now);
        node.reserve.tick(now);
        node.home.tick(now, &node.view);
        for (workspace, cost, since) in std::mem::take(&mut node.pending) {
            let name = &self.truths[workspace].name;
            let verdict = self.nodes[index].holder.resume(now, name, cost, since);
            self.settle(index, workspace, cost, since, verdict);
        }
        let node = &mut self.nodes[index];
        for (home, ask) in node.holder.asks(now, &node.view) {
            let to = home.trim_start_matches("entry-").parse().unwrap_or(0);
            self.post(index, to, Body::Ask(ask));
        }
    }

    fn outcome(&self) -> Outcome {
        let seconds = self.plan.seconds as f64;
        let mut outcome = Outcome {
            max_share_ppm: self.max_share_ppm,
            ..Outcome::default()
        };
        let (mut usable, mut used, mut offered, mut refused) = (0.0, 0.0, 0, 0);
        for truth in &self.truths {
            let rate = truth.limit.rate as f64;
            outcome.overshoot = outcome.overshoot.max(truth.worst / rate);
            outcome.beyond_bound = outcome.beyond_bound.max(truth.worst_bounded);
            outcome.beyond_grants = outcome.beyond_grants.max(truth.worst_granted);
            if truth.hot {
                let usable_here = rate * (seconds - WARM_UP.as_secs_f64());
                usable += usable_here;
                used += (truth.net - truth.before).min(usable_here);
            } else {
                offered += truth.offered;
                refused += truth.refused;
            }
        }
        outcome.unused = 1.0 - used / usable;
        outcome.wrongly_refused = refused as f64 / (offered as f64).max(1.0);
        let bytes = self.nodes.iter().map(|node| node.bytes as f64 / seconds);
        let worst = bytes.clone().fold(0.0, f64::max);
        outcome.bytes = [bytes.sum::<f64>() / self.nodes.len() as f64, worst];
        outcome
    }
}

impl Node {
    fn new(id: &InstanceId, now: Duration, plan: &Plan, incarnation: u64) -> Self {
        Node {
            id: id.clone(),
            up: true,
            side: 0,
            view: View::new(now, id.clone(), plan.settings.hold),
            home: Home::new(plan.settings),
            holder: Holder::new(plan.settings, incarnation),
            reserve: Reserve::new(now, &plan.settings),
            views: Vec::new(),
            local: BTreeMap::new(),
            pending: Vec::new(),
            bytes: 0,
        }
    }
}

impl Truth {
    fn new(index: usize, plan: &Plan, rng: &mut ChaCha8Rng) -> Self {
        let mean_cost = (COST[0] + COST[1]) as f64 / 2.0;
        let used = mean_cost * 2.0 / 3.0;
        let hot = index.is_multiple_of(4);
        let zipf = 1.0 / (1.0 + index as f64).sqrt();
        let total: f64 = (0..plan.workspaces)
            .map(|other| 1.0 / (1.0 + other as f64).sqrt())
            .sum();
        let arrivals = plan.requests_per_second * zipf / total;
        let load = if hot { 2.0 } else { 0.5 };
        let rate = ((arrivals * used / load) as u64).max(1);
        let burst = (rate * 4).max(2 * COST[1]);
        let lease = plan.settings.lease.as_secs_f64();
        Truth {
            name: format!("w{index}").into(),
            limit: Limit { rate, burst },
            hot,
            favourite: rng.random_range(0..plan.entries),
            arrivals,
            level: burst as f64,
            bounded: burst as f64 + rate as f64 * lease,
            net: 0.0,
            offered: 0,
            refused: 0,
            granted: burst as f64,
            worst: 0.0,
            worst_bounded: 0.0,
            worst_granted: 0.0,
            before: 0.0,
        }
    }
}

impl Body {
    fn bytes(&self) -> u64 {
        let lines = match self {
            Body::Ask(ask) => ask.wants.len(),
            Body::Grants(grants) => grants.grants.len(),
        };
        MESSAGE_BYTES + WANT_BYTES * lines as u64
    }

    fn copy(&self) -> Self {
        match self {
            Body::Ask(ask) => Body::Ask(ask.clone()),
            Body::Grants(grants) => Body::Grants(grants.clone()),
        }
    }
}

/// Index in a workspace's name.
fn index_of(name: &WorkspaceId) -> usize {
    name[1..].parse().unwrap_or(0)
}
