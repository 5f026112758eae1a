//! Simulation of entries: their views change at different times, and messages are delayed, lost and duplicated.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use auburnline_core::id::InstanceId;
use auburnline_core::id::WorkspaceId;
use auburnline_limits::bucket::Admission;
use auburnline_limits::bucket::Charge;
use auburnline_limits::bucket::Holder;
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

/// Simulated time of one step.
pub(crate) const STEP: Duration = Duration::from_millis(10);
/// Minimum and maximum time until an entry detects a change of the other entries, in milliseconds.
const DETECTION: [u64; 2] = [500, 2_000];
/// Time before the measurement of use and refusals starts.
const WARM_UP: Duration = Duration::from_secs(10);
/// Minimum and maximum tokens charged for a request.
pub(crate) const COST: [u64; 2] = [100, 1_000];
/// Bytes of a message's frame and header.
const MESSAGE_BYTES: u64 = 90;
/// Bytes of one workspace in a message.
const WANT_BYTES: u64 = 40;

/// How entries share a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    /// Homes grant leases.
    Leases,
    /// Each entry enforces an equal fraction of the limit.
    Split,
    /// Each entry enforces the whole limit by itself.
    Alone,
}

/// Faults that are injected into a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// No faults.
    Calm,
    /// Every four seconds an entry is killed, and the one killed before is restarted.
    Churn,
    /// Two fifths of the entries are partitioned from the rest from 20 s to 40 s.
    Partition,
    /// Churn and a partition.
    Both,
    /// From 20 s to 40 s two fifths of the entries don't see the rest, but the rest sees them.
    OneSided,
}

/// Parameters of a run.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) seed: u64,
    pub(crate) entries: usize,
    pub(crate) workspaces: usize,
    pub(crate) seconds: u64,
    pub(crate) requests_per_second: f64,
    pub(crate) policy: Policy,
    pub(crate) fault: Fault,
    /// Share of a workspace's requests that always go to its preferred entry.
    pub(crate) skew: f64,
    /// Number of entries that a workspace's other requests go to, starting at the preferred one.
    pub(crate) entries_per_workspace: usize,
    pub(crate) settings: Settings,
    /// Probability that a message is lost, that it is duplicated, and that it is delayed for up to 3 s, in percent
    /// each.
    pub(crate) message_fault_percent: u32,
    /// Injected defect: an entry takes the entries that it sees for all published ones.
    pub(crate) ignores_published: bool,
    /// Whether the sum of the homes' shares is computed at each step.
    pub(crate) audit: bool,
}

/// Results of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Outcome {
    /// Largest use beyond a token bucket of the limit, in seconds at the limit's rate.
    pub(crate) overshoot: f64,
    /// Largest use beyond that bucket and the declared bound (the tokens of one lease time), in tokens.
    pub(crate) beyond_bound: f64,
    /// Largest sum of grants of all homes, and of tokens spent from reserves, beyond the bucket, in tokens.
    pub(crate) beyond_grants: f64,
    /// Largest sum of the shares of one limit that homes may grant at the same time, in millionths.
    pub(crate) max_share_ppm: u64,
    /// Share of the limits of overloaded workspaces that was not used.
    pub(crate) unused: f64,
    /// Share of the tokens requested by other workspaces, which stay below their limit, that was refused.
    pub(crate) wrongly_refused: f64,
    /// Bytes per second that an entry sends and receives for leases: mean and maximum over entries.
    pub(crate) bytes: [f64; 2],
}

enum Body {
    Ask(Ask),
    Grants(Grants),
}

struct Node {
    id: InstanceId,
    up: bool,
    partition: u8,
    view: View,
    home: Home,
    holder: Holder,
    reserve: Reserve,
    views: Vec<(Duration, BTreeSet<InstanceId>)>,
    local: BTreeMap<usize, (f64, Duration)>,
    pending: Vec<(usize, u64, Duration)>,
    bytes: u64,
}

/// Reference state of one workspace: token buckets that the use of all entries together is checked against.
struct Reference {
    name: WorkspaceId,
    limit: Limit,
    /// Whether requests need twice the limit rather than half of it.
    hot: bool,
    preferred: usize,
    /// Mean requests per second.
    arrivals: f64,
    /// Bucket of the limit; negative where use exceeds it.
    level: f64,
    /// Bucket of the limit plus the declared bound.
    bounded_level: f64,
    /// Tokens charged less tokens credited.
    net_use: f64,
    offered: u64,
    refused: u64,
    /// Bucket of what homes grant and get back, and of what is spent from reserves.
    granted_level: f64,
    worst: f64,
    worst_bounded: f64,
    worst_granted: f64,
    /// `net_use` at the start of the measurement.
    before: f64,
}

/// Simulation of all entries and workspaces.
pub(crate) struct World {
    plan: Plan,
    rng: ChaCha8Rng,
    now: Duration,
    nodes: Vec<Node>,
    references: Vec<Reference>,
    messages: BTreeMap<(Duration, u64), (usize, usize, Body)>,
    /// Number of messages and credits so far; makes their keys unique.
    sequence: u64,
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
        let references = (0..plan.workspaces)
            .map(|index| Reference::new(index, &plan, &mut rng))
            .collect();
        let mut world = World {
            plan,
            rng,
            now: Duration::ZERO,
            nodes,
            references,
            messages: BTreeMap::new(),
            sequence: 0,
            credits: BTreeMap::new(),
            published,
            max_share_ppm: 0,
            one_sided: false,
        };
        for index in 0..world.nodes.len() {
            world.schedule_view(index, Duration::ZERO);
        }
        world
    }

    /// Runs the simulation to the end of the plan.
    pub(crate) fn run(mut self) -> Outcome {
        let end = Duration::from_secs(self.plan.seconds);
        while self.now < end {
            self.now += STEP;
            self.inject_faults();
            self.refill();
            self.deliver();
            self.apply_credits();
            self.generate_requests();
            for index in 0..self.nodes.len() {
                self.step(index);
            }
            if self.plan.audit {
                self.audit();
            }
        }
        self.outcome()
    }

    /// Records the sum of the shares that all homes may grant of each limit now.
    fn audit(&mut self) {
        for reference in &self.references {
            let up = self.nodes.iter().filter(|node| node.up);
            let homes =
                up.filter(|node| node.view.share_ppm() > 0 && node.view.is_home(&reference.name));
            let share_ppm = homes.map(|node| node.view.share_ppm()).sum();
            self.max_share_ppm = self.max_share_ppm.max(share_ppm);
        }
    }

    fn inject_faults(&mut self) {
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
            let minority = self.nodes.len() * 2 / 5;
            for node in &mut self.nodes[..minority] {
                node.partition ^= 1;
            }
            changed = true;
        }
        if changed {
            for index in 0..self.nodes.len() {
                let delay = self.rng.random_range(DETECTION[0]..DETECTION[1]);
                self.schedule_view(index, Duration::from_millis(delay));
            }
        }
    }

    /// Restarts the entry that is down, and kills a random one.
    fn restart(&mut self) {
        let chosen = self.rng.random_range(0..self.nodes.len());
        for index in 0..self.nodes.len() {
            if index == chosen || !self.nodes[index].up {
                let partition = self.nodes[index].partition;
                let id = self.nodes[index].id.clone();
                self.nodes[index] = Node::new(&id, self.now, &self.plan, self.rng.random());
                self.nodes[index].up = index != chosen;
                self.nodes[index].partition = partition;
            }
        }
    }

    /// Schedules an entry's next view: the entries that are up in its partition and not hidden from it.
    fn schedule_view(&mut self, index: usize, delay: Duration) {
        let partition = self.nodes[index].partition;
        let minority = self.nodes.len() * 2 / 5;
        let hidden = self.one_sided && index < minority;
        let last = if hidden { minority } else { self.nodes.len() };
        let nodes = self.nodes[..last].iter();
        let seen = nodes.filter(|node| node.up && node.partition == partition);
        let live = seen.map(|node| node.id.clone()).collect();
        let at = self.now + delay;
        self.nodes[index].views.push((at, live));
    }

    fn refill(&mut self) {
        let step = STEP.as_secs_f64();
        let lease_time = self.plan.settings.lease_time.as_secs_f64();
        for reference in &mut self.references {
            let rate = reference.limit.rate as f64;
            let cap = reference.limit.burst as f64;
            reference.level = (reference.level + rate * step).min(cap);
            reference.bounded_level =
                (reference.bounded_level + rate * step).min(cap + rate * lease_time);
            reference.granted_level = (reference.granted_level + rate * step).min(cap);
            if self.now == WARM_UP {
                reference.before = reference.net_use;
                reference.offered = 0;
                reference.refused = 0;
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (from, to, body) = entry.remove();
            let reachable = self.nodes[from].partition == self.nodes[to].partition;
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
            Body::Grants(grants) => node.holder.apply_grants(self.now, grants),
            Body::Ask(ask) => {
                let references = &self.references;
                let limit = |name: &WorkspaceId| Some(references[index_of(name)].limit);
                node.view.tick(self.now);
                let grants = node.home.grant(self.now, &node.view, &sender, ask, limit);
                if let Some(grants) = &grants {
                    self.count_grants(ask, grants);
                }
                if let Some(grants) = grants.filter(|grants| !grants.grants.is_empty()) {
                    self.send(to, from, Body::Grants(grants));
                }
            }
        }
    }

    fn count_grants(&mut self, ask: &Ask, grants: &Grants) {
        for want in &ask.wants {
            let reference = &mut self.references[index_of(&want.workspace)];
            let level = reference.granted_level + want.returned as f64;
            reference.granted_level = level.min(reference.limit.burst as f64);
        }
        for grant in &grants.grants {
            let reference = &mut self.references[index_of(&grant.workspace)];
            reference.granted_level -= grant.tokens as f64;
            reference.worst_granted = reference.worst_granted.max(-reference.granted_level);
        }
    }

    fn send(&mut self, from: usize, to: usize, body: Body) {
        self.nodes[from].bytes += body.bytes();
        if self.rng.random_range(0..100) < self.plan.message_fault_percent {
            return;
        }
        let is_duplicated = self.rng.random_range(0..100) < self.plan.message_fault_percent;
        if is_duplicated {
            self.enqueue(from, to, body.copy());
        }
        self.enqueue(from, to, body);
    }

    fn enqueue(&mut self, from: usize, to: usize, body: Body) {
        let is_delayed = self.rng.random_range(0..100) < self.plan.message_fault_percent;
        let most = if is_delayed { 3_000 } else { 30 };
        let at = self.now + Duration::from_millis(self.rng.random_range(1..most));
        self.sequence += 1;
        self.messages.insert((at, self.sequence), (from, to, body));
    }

    fn apply_credits(&mut self) {
        while let Some(entry) = self.credits.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (index, workspace, paid, used) = entry.remove();
            let reference = &mut self.references[workspace];
            let tokens = match &paid {
                Paid::Leased(charge) => charge.tokens(),
                Paid::Reserved(tokens) | Paid::Local(tokens) => *tokens,
            };
            let unused = (tokens - used) as f64;
            reference.net_use -= unused;
            let cap = reference.limit.burst as f64;
            let lease_tokens =
                self.plan.settings.lease_time.as_secs_f64() * reference.limit.rate as f64;
            reference.level = (reference.level + unused).min(cap);
            reference.bounded_level = (reference.bounded_level + unused).min(cap + lease_tokens);
            let node = &mut self.nodes[index];
            match paid {
                Paid::Leased(charge) => node.holder.credit(self.now, charge, used),
                // The reserve takes no credits; it refills over time.
                Paid::Reserved(_) => {}
                Paid::Local(_) => {
                    let local = node.local.entry(workspace).or_insert((0.0, self.now));
                    local.0 += unused;
                }
            }
        }
    }

    fn generate_requests(&mut self) {
        for workspace in 0..self.references.len() {
            let reference = &self.references[workspace];
            let mean = reference.arrivals * STEP.as_secs_f64();
            let preferred = reference.preferred;
            let mut count = mean.floor();
            if self.rng.random_bool(mean.fract()) {
                count += 1.0;
            }
            for _ in 0..count as u64 {
                let near = self
                    .rng
                    .random_range(0..self.plan.entries_per_workspace.min(self.nodes.len()));
                let anyone = (preferred + near) % self.nodes.len();
                let skewed = self.rng.random_bool(self.plan.skew);
                let index = if skewed { preferred } else { anyone };
                let index = if self.nodes[index].up { index } else { anyone };
                let cost = self.rng.random_range(COST[0]..COST[1]);
                if self.nodes[index].up {
                    self.references[workspace].offered += cost;
                    self.request(index, workspace, cost);
                }
            }
        }
    }

    fn request(&mut self, index: usize, workspace: usize, cost: u64) {
        if self.plan.policy != Policy::Leases {
            return self.request_local(index, workspace, cost);
        }
        let name = self.references[workspace].name.clone();
        let admission = self.nodes[index].holder.charge(self.now, &name, cost);
        self.handle_admission(index, workspace, cost, self.now, admission);
    }

    fn handle_admission(
        &mut self,
        index: usize,
        workspace: usize,
        cost: u64,
        since: Duration,
        admission: Admission,
    ) {
        match admission {
            Admission::Admitted(charge) => self.spend(index, workspace, Paid::Leased(charge), cost),
            Admission::Pending(_) => self.nodes[index].pending.push((workspace, cost, since)),
            Admission::Refused(_) if self.spend_reserve(index, workspace, cost) => {
                self.spend(index, workspace, Paid::Reserved(cost), cost);
            }
            Admission::Refused(_) => self.references[workspace].refused += cost,
        }
    }

    /// Spends from an entry's share of the reserve, and counts the tokens like a home's grants.
    fn spend_reserve(&mut self, index: usize, workspace: usize, cost: u64) -> bool {
        let reference = &mut self.references[workspace];
        let reserve = &mut self.nodes[index].reserve;
        let is_paid = reserve.spend(self.now, &reference.name, reference.limit, cost);
        if is_paid {
            reference.granted_level -= cost as f64;
            reference.worst_granted = reference.worst_granted.max(-reference.granted_level);
        }
        is_paid
    }

    fn request_local(&mut self, index: usize, workspace: usize, cost: u64) {
        let limit = self.references[workspace].limit;
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
            self.references[workspace].refused += cost;
            return;
        }
        *level -= cost as f64;
        self.spend(index, workspace, Paid::Local(cost), cost);
    }

    fn spend(&mut self, index: usize, workspace: usize, paid: Paid, cost: u64) {
        let reference = &mut self.references[workspace];
        reference.net_use += cost as f64;
        reference.level -= cost as f64;
        reference.bounded_level -= cost as f64;
        reference.worst = reference.worst.max(-reference.level);
        reference.worst_bounded = reference.worst_bounded.max(-reference.bounded_level);
        let used = self.rng.random_range(cost / 3..=cost);
        let at = self.now + Duration::from_millis(self.rng.random_range(300..3_000));
        self.sequence += 1;
        self.credits
            .insert((at, self.sequence), (index, workspace, paid, used));
    }

    /// Runs one step of an entry: applies new views, retries pending requests and sends asks.
    fn step(&mut self, index: usize) {
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
            let name = &self.references[workspace].name;
            let admission = self.nodes[index].holder.resume(now, name, cost, since);
            self.handle_admission(index, workspace, cost, since, admission);
        }
        let node = &mut self.nodes[index];
        for (home, ask) in node.holder.due_asks(now, &node.view) {
            let to = home.trim_start_matches("entry-").parse().unwrap_or(0);
            self.send(index, to, Body::Ask(ask));
        }
    }

    fn outcome(&self) -> Outcome {
        let seconds = self.plan.seconds as f64;
        let mut outcome = Outcome {
            max_share_ppm: self.max_share_ppm,
            ..Outcome::default()
        };
        let (mut usable, mut used, mut offered, mut refused) = (0.0, 0.0, 0, 0);
        for reference in &self.references {
            let rate = reference.limit.rate as f64;
            outcome.overshoot = outcome.overshoot.max(reference.worst / rate);
            outcome.beyond_bound = outcome.beyond_bound.max(reference.worst_bounded);
            outcome.beyond_grants = outcome.beyond_grants.max(reference.worst_granted);
            if reference.hot {
                let usable_here = rate * (seconds - WARM_UP.as_secs_f64());
                usable += usable_here;
                used += (reference.net_use - reference.before).min(usable_here);
            } else {
                offered += reference.offered;
                refused += reference.refused;
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
            partition: 0,
            view: View::new(now, id.clone(), plan.settings.hold_time),
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

impl Reference {
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
        let lease_time = plan.settings.lease_time.as_secs_f64();
        Reference {
            name: format!("w{index}").into(),
            limit: Limit { rate, burst },
            hot,
            preferred: rng.random_range(0..plan.entries),
            arrivals,
            level: burst as f64,
            bounded_level: burst as f64 + rate as f64 * lease_time,
            net_use: 0.0,
            offered: 0,
            refused: 0,
            granted_level: burst as f64,
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

/// Returns the index that a workspace's name contains.
fn index_of(name: &WorkspaceId) -> usize {
    name[1..].parse().unwrap_or(0)
}
