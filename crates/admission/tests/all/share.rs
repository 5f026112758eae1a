//! Shares of whole fleets: those of all gateways together must stay the whole.

use std::time::Duration;

use auburnline_admission::share::Fleet;
use auburnline_admission::share::Window;
use googletest::prelude::*;

/// Gateways of each fleet.
const FLEETS: [usize; 4] = [6, 98, 340, 1_000];
/// Failure domains of a fleet.
const DOMAINS: usize = 3;
const HEARTBEAT: Duration = Duration::from_millis(300);
/// Receivers of a heartbeat, and those of them in the sender's failure domain.
const FANOUT: usize = 6;
const LOCAL_FANOUT: usize = 4;

/// Repeatable numbers.
struct Draw(u64);

impl Draw {
    fn below(&mut self, bound: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005);
        self.0 = self.0.wrapping_add(1_442_695_040_888_963_407);
        usize::try_from(self.0 >> 33).expect("31 bits") % bound
    }

    fn percent(&mut self, bound: usize) -> bool {
        self.below(100) < bound
    }
}

/// What becomes of messages.
#[derive(Clone, Copy, Default)]
struct Faults {
    lost_percent: usize,
    doubled_percent: usize,
    /// Heartbeats by which a message may be late.
    late: usize,
    /// Whether no message crosses between odd and even gateways.
    is_split: bool,
}

struct World {
    windows: Vec<Window>,
    draw: Draw,
    now: Duration,
    late: Vec<(usize, usize, f64)>,
}

impl World {
    fn new(count: usize) -> World {
        World {
            windows: vec![Window::default(); count],
            draw: Draw(7),
            now: Duration::ZERO,
            late: Vec::new(),
        }
    }

    fn size(&self) -> usize {
        self.windows.len()
    }

    fn fleet(&self, gateway: usize) -> Fleet {
        let near = (0..self.size())
            .filter(|other| other % DOMAINS == gateway % DOMAINS)
            .count();
        Fleet {
            near,
            far: self.size() - near,
        }
    }

    fn receive(&mut self, from: usize, to: usize, demand: f64) {
        let is_near = from % DOMAINS == to % DOMAINS;
        let sender = u64::try_from(from).expect("small");
        self.windows[to].record(sender, is_near, demand, self.now);
    }

    /// Returns whom a gateway sends a heartbeat to: each one once, most of its own failure domain.
    fn targets(&mut self, from: usize) -> Vec<usize> {
        let mut others: Vec<usize> = (0..self.size()).filter(|to| *to != from).collect();
        // A few from the front of a shuffled list are enough.
        for at in 0..others.len().min(40 * FANOUT) {
            let other = at + self.draw.below(others.len() - at);
            others.swap(at, other);
        }
        let is_near = |to: &usize| to % DOMAINS == from % DOMAINS;
        let near = others.iter().copied().filter(is_near).take(LOCAL_FANOUT);
        let near: Vec<usize> = near.collect();
        let far = others.iter().copied().filter(|to| !is_near(to));
        let far = far.take(FANOUT - near.len());
        near.iter().copied().chain(far).collect()
    }

    /// Lets each gateway but those in `silent` send one heartbeat.
    fn beat(&mut self, demand: impl Fn(usize) -> f64, silent: &[usize], faults: Faults) {
        self.now += HEARTBEAT;
        for (from, to, demand) in std::mem::take(&mut self.late) {
            self.receive(from, to, demand);
        }
        for from in 0..self.size() {
            let own = demand(from);
            self.windows[from].tell(own, self.now);
            for to in self.targets(from) {
                let is_cut = faults.is_split && from % 2 != to % 2;
                let is_lost = self.draw.percent(faults.lost_percent);
                if is_cut || is_lost || silent.contains(&from) {
                    continue;
                }
                if faults.late > 0 && self.draw.percent(10) {
                    self.late.push((from, to, own));
                    continue;
                }
                self.receive(from, to, own);
                if self.draw.percent(faults.doubled_percent) {
                    self.late.push((from, to, own));
                }
            }
        }
    }

    /// Returns the share of a gateway relative to an equal one; one if it has no grounds.
    fn weight(&self, gateway: usize) -> f64 {
        let grounds = self.windows[gateway].grounds(self.fleet(gateway), self.now);
        grounds.map_or(1.0, auburnline_admission::share::Grounds::weight)
    }

    /// Returns the mean over some time of the shares of all gateways together, which vary with what
    /// each happens to hear.
    fn mean_sum(&mut self, demand: impl Fn(usize) -> f64 + Copy, faults: Faults) -> f64 {
        for _ in 0..10 {
            self.beat(demand, &[], faults);
        }
        let mut sums = 0.0;
        for _ in 0..60 {
            self.beat(demand, &[], faults);
            let sum = self.sum();
            expect_that!(sum, near(1.0, 0.2), "{} gateways", self.size());
            sums += sum;
        }
        sums / 60.0
    }

    /// Returns the shares of all gateways together, of one whole.
    fn sum(&self) -> f64 {
        let sum: f64 = (0..self.size()).map(|gateway| self.weight(gateway)).sum();
        sum / real(self.size())
    }
}

fn real(count: usize) -> f64 {
    f64::from(u32::try_from(count).expect("small"))
}

/// Half of all callers use a tenth of the gateways, at least one.
fn uneven(count: usize) -> impl Fn(usize) -> f64 + Copy {
    let busy = count.div_ceil(10);
    move |gateway| {
        if gateway < busy {
            10.0 * real(count) / real(busy) / 2.0
        } else {
            10.0 * real(count) / real(count - busy) / 2.0
        }
    }
}

#[gtest]
fn shares_follow_demand_and_stay_the_whole() {
    for count in FLEETS {
        let mut world = World::new(count);
        let mean = world.mean_sum(uneven(count), Faults::default());
        expect_that!(mean, near(1.0, 0.04), "{count} gateways");
        let busy = world.weight(0);
        let wanted = uneven(count)(0) / 10.0;
        expect_that!(busy, near(wanted, wanted * 0.45), "{count} gateways");
        expect_that!(world.weight(count - 1), lt(0.85), "{count} gateways");
    }
}

/// All callers of one failure domain come to half of its gateways, and most messages come from a
/// gateway's own domain.
#[gtest]
fn shares_stay_the_whole_where_one_domain_is_busy() {
    for count in FLEETS {
        let demand = |gateway: usize| {
            if gateway.is_multiple_of(DOMAINS) {
                6.0
            } else {
                0.5
            }
        };
        let mut world = World::new(count);
        let mean = world.mean_sum(demand, Faults::default());
        expect_that!(mean, near(1.0, 0.04), "{count} gateways");
    }
}

#[gtest]
fn messages_that_are_lost_late_or_doubled_leave_the_sum() {
    let faults = Faults {
        lost_percent: 20,
        doubled_percent: 20,
        late: 1,
        is_split: false,
    };
    for count in FLEETS {
        let mut world = World::new(count);
        let mean = world.mean_sum(uneven(count), faults);
        expect_that!(mean, near(1.0, 0.05), "{count} gateways");
    }
}

/// Guards against shares that grow everywhere at once: what others told is older than what a gateway
/// knows of itself, and demand that rises tenfold within a second would seem to be tenfold here.
#[gtest]
fn shares_stay_the_whole_while_demand_rises_everywhere() {
    for count in FLEETS {
        let mut world = World::new(count);
        for _ in 0..10 {
            world.beat(|_| 1.0, &[], Faults::default());
        }
        for step in 1..=10 {
            world.beat(|_| 1.0 + f64::from(step), &[], Faults::default());
            expect_that!(world.sum(), near(1.0, 0.06), "{count} gateways, {step}");
        }
    }
}

/// Each side divides what it sees among its own, as with equal shares.
#[gtest]
fn the_sides_of_a_split_have_each_the_whole() {
    for count in FLEETS {
        let mut world = World::new(count);
        let split = Faults {
            is_split: true,
            ..Faults::default()
        };
        for _ in 0..16 {
            world.beat(uneven(count), &[], split);
        }
        // Both sides know the others still; each has its part.
        expect_that!(world.sum(), near(1.0, 0.15), "{count} gateways");
    }
}

#[gtest]
fn a_gateway_whose_heartbeats_are_cut_leaves_the_shares_of_the_others() {
    for count in FLEETS {
        let mut world = World::new(count);
        for _ in 0..10 {
            world.beat(uneven(count), &[], Faults::default());
        }
        for _ in 0..10 {
            world.beat(uneven(count), &[count - 1], Faults::default());
        }
        expect_that!(world.sum(), near(1.0, 0.1), "{count} gateways");
    }
}

#[gtest]
fn a_share_is_void_when_its_grounds_are_old() {
    let mut world = World::new(98);
    for _ in 0..10 {
        world.beat(uneven(98), &[], Faults::default());
    }
    expect_that!(world.weight(0), gt(2.0));
    // It froze, and returns.
    world.now += Duration::from_secs(3);
    expect_that!(world.weight(0), eq(1.0));
    let now = world.now;
    world.windows[0].tell(5.0, now);
    expect_that!(world.weight(0), eq(1.0));
}

#[gtest]
fn a_gateway_alone_has_an_equal_share() {
    let mut window = Window::default();
    window.tell(5.0, HEARTBEAT);
    let alone = Fleet { near: 1, far: 0 };
    expect_that!(window.grounds(alone, HEARTBEAT), none());
}

#[gtest]
fn a_gateway_that_started_again_replaces_what_it_told_before() {
    let mut window = Window::default();
    window.tell(1.0, HEARTBEAT);
    window.record(1, true, 100.0, HEARTBEAT);
    window.record(1, true, 1.0, HEARTBEAT);
    window.record(1, true, f64::NAN, HEARTBEAT);
    let two = Fleet { near: 2, far: 0 };
    let grounds = window.grounds(two, HEARTBEAT);
    expect_that!(grounds.map(|grounds| grounds.mean), some(near(1.0, 1e-9)));
}

/// State stays flat whatever the fleet's size.
#[gtest]
fn a_window_keeps_the_latest_senders_only() {
    let mut window = Window::default();
    window.tell(1.0, HEARTBEAT);
    for sender in 0..1_000 {
        window.record(
            sender,
            true,
            if sender < 900 { 50.0 } else { 1.0 },
            HEARTBEAT,
        );
    }
    let fleet = Fleet {
        near: 1_000,
        far: 0,
    };
    let grounds = window.grounds(fleet, HEARTBEAT);
    expect_that!(grounds.map(|grounds| grounds.mean), some(near(1.0, 1e-9)));
}
