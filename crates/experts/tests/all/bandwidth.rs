//! Random runs of lenders, borrowers and brokers: the sum of all shares in use never exceeds the
//! weight store's rate.

use std::sync::Arc;
use std::time::Duration;

use auburnline_core::id::GroupId;
use auburnline_core::time::Monotonic;
use auburnline_experts::bandwidth::Broker;
use auburnline_experts::bandwidth::Lease;
use auburnline_experts::bandwidth::Pool;
use auburnline_experts::bandwidth::Share;
use auburnline_experts::bandwidth::equal_share;
use googletest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const GROUPS: usize = 9;
const BROKERS: usize = 2;

enum Message {
    Loan(usize, Broker, usize, Monotonic),
    Request(usize, usize, u64, Monotonic),
    Reply(usize, u64, Lease, Monotonic),
}

struct Borrower {
    share: Share,
    sequence: u64,
    lent: usize,
    until: Monotonic,
}

struct Simulation {
    now: Monotonic,
    groups: Vec<Borrower>,
    brokers: Vec<(Broker, Pool)>,
    messages: Vec<Message>,
}

fn group_id(group: usize) -> GroupId {
    Arc::from(format!("group-{group}"))
}

fn new_broker(index: usize, incarnation: u64) -> (Broker, Pool) {
    let name = Arc::from(format!("broker-{index}"));
    ((name, incarnation), Pool::default())
}

impl Simulation {
    fn in_use(&self) -> usize {
        let used = |group: &Borrower| {
            let lent = if self.now < group.until {
                group.lent
            } else {
                0
            };
            usize::from(group.share.is_free(self.now)) + lent
        };
        self.groups.iter().map(used).sum()
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Loan(group, broker, index, requested_at)
                if self.brokers[index].0 == broker =>
            {
                self.brokers[index]
                    .1
                    .add_loan(group_id(group), requested_at, self.now);
            }
            Message::Loan(..) => {}
            Message::Request(group, index, sequence, requested_at) => {
                if let Some(lease) =
                    self.brokers[index]
                        .1
                        .request_lease(group_id(group), sequence, self.now)
                {
                    self.messages
                        .push(Message::Reply(group, sequence, lease, requested_at));
                }
            }
            Message::Reply(group, sequence, lease, requested_at) => {
                let borrower = &mut self.groups[group];
                if borrower.sequence == sequence {
                    borrower.lent = lease.shares;
                    borrower.until = requested_at + lease.term;
                }
            }
        }
    }

    fn run_random_event(&mut self, rng: &mut ChaCha8Rng) {
        let group = rng.random_range(0..GROUPS);
        let index = rng.random_range(0..BROKERS);
        match rng.random_range(0..100) {
            0..40 => self.now += Duration::from_millis(rng.random_range(0..150)),
            40..70 if !self.messages.is_empty() => {
                let at = rng.random_range(0..self.messages.len());
                let message = self.messages.swap_remove(at);
                if rng.random_ratio(4, 5) {
                    self.deliver(message);
                }
            }
            70..85 => {
                // The broker requests a loan and the lender replies; the reply may be delayed.
                let requested_at = self.now;
                let broker = self.brokers[index].0.clone();
                self.now += Duration::from_millis(rng.random_range(0..20));
                if self.groups[group].share.lend(&broker, self.now) {
                    self.messages
                        .push(Message::Loan(group, broker, index, requested_at));
                }
            }
            85..98 if group < 3 => {
                let borrower = &mut self.groups[group];
                borrower.sequence += 1;
                borrower.lent = 0;
                let request = Message::Request(group, index, borrower.sequence, self.now);
                self.messages.push(request);
            }
            98 => self.brokers[index] = new_broker(index, rng.random()),
            99 => self.groups[group].share = Share::new(self.now),
            _ => {}
        }
    }
}

#[gtest]
fn the_sum_of_shares_stays_within_the_rate() {
    const RUNS: u64 = 50;
    let mut max_lent_to_one = 0;
    for seed in 1..=RUNS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut simulation = Simulation {
            now: Duration::ZERO,
            groups: Vec::new(),
            brokers: (0..BROKERS).map(|index| new_broker(index, 1)).collect(),
            messages: Vec::new(),
        };
        simulation.groups.extend((0..GROUPS).map(|_| Borrower {
            share: Share::new(Duration::ZERO),
            sequence: 0,
            lent: 0,
            until: Duration::ZERO,
        }));
        for _ in 0..4_000 {
            simulation.run_random_event(&mut rng);
            assert_that!(simulation.in_use(), le(GROUPS), "seed {seed}");
            let lent = simulation.groups.iter().map(|group| group.lent).max();
            max_lent_to_one = max_lent_to_one.max(lent.unwrap_or(0));
        }
    }
    println!("{RUNS} runs: at most {max_lent_to_one} lent shares with one group");
    assert_that!(max_lent_to_one, gt(1));
    assert_that!(equal_share(1_000, 0), eq(0));
}
