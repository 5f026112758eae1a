//! The sum of all shares in use never exceeds the weight store's rate.

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
    Question(usize, usize, u64, Monotonic),
    Answer(usize, u64, Lease, Monotonic),
}

struct Borrower {
    share: Share,
    sequence: u64,
    lent: usize,
    until: Monotonic,
}

struct Bench {
    now: Monotonic,
    groups: Vec<Borrower>,
    brokers: Vec<(Broker, Pool)>,
    wire: Vec<Message>,
}

fn name(group: usize) -> GroupId {
    Arc::from(format!("group-{group}"))
}

fn broker(index: usize, incarnation: u64) -> (Broker, Pool) {
    let name = Arc::from(format!("broker-{index}"));
    ((name, incarnation), Pool::default())
}

impl Bench {
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
                    .add_loan(name(group), requested_at, self.now);
            }
            Message::Loan(..) => {}
            Message::Question(group, index, sequence, requested_at) => {
                if let Some(lease) =
                    self.brokers[index]
                        .1
                        .request_lease(name(group), sequence, self.now)
                {
                    self.wire
                        .push(Message::Answer(group, sequence, lease, requested_at));
                }
            }
            Message::Answer(group, sequence, lease, requested_at) => {
                let borrower = &mut self.groups[group];
                if borrower.sequence == sequence {
                    borrower.lent = lease.shares;
                    borrower.until = requested_at + lease.term;
                }
            }
        }
    }

    fn act(&mut self, rng: &mut ChaCha8Rng) {
        let group = rng.random_range(0..GROUPS);
        let index = rng.random_range(0..BROKERS);
        match rng.random_range(0..100) {
            0..40 => self.now += Duration::from_millis(rng.random_range(0..150)),
            40..70 if !self.wire.is_empty() => {
                let at = rng.random_range(0..self.wire.len());
                let message = self.wire.swap_remove(at);
                if rng.random_ratio(4, 5) {
                    self.deliver(message);
                }
            }
            70..85 => {
                // The broker's question and the lender's answer, which may then be late.
                let requested_at = self.now;
                let broker = self.brokers[index].0.clone();
                self.now += Duration::from_millis(rng.random_range(0..20));
                if self.groups[group].share.lend(&broker, self.now) {
                    self.wire
                        .push(Message::Loan(group, broker, index, requested_at));
                }
            }
            85..98 if group < 3 => {
                let borrower = &mut self.groups[group];
                borrower.sequence += 1;
                borrower.lent = 0;
                let question = Message::Question(group, index, borrower.sequence, self.now);
                self.wire.push(question);
            }
            98 => self.brokers[index] = broker(index, rng.random()),
            99 => self.groups[group].share = Share::new(self.now),
            _ => {}
        }
    }
}

#[gtest]
fn the_sum_of_shares_stays_within_the_rate() {
    const RUNS: u64 = 50;
    let mut most_for_one = 0;
    for seed in 1..=RUNS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut bench = Bench {
            now: Duration::ZERO,
            groups: Vec::new(),
            brokers: (0..BROKERS).map(|index| broker(index, 1)).collect(),
            wire: Vec::new(),
        };
        bench.groups.extend((0..GROUPS).map(|_| Borrower {
            share: Share::new(Duration::ZERO),
            sequence: 0,
            lent: 0,
            until: Duration::ZERO,
        }));
        for _ in 0..4_000 {
            bench.act(&mut rng);
            assert_that!(bench.in_use(), le(GROUPS), "seed {seed}");
            let lent = bench.groups.iter().map(|group| group.lent).max();
            most_for_one = most_for_one.max(lent.unwrap_or(0));
        }
    }
    println!("{RUNS} runs: at most {most_for_one} lent shares in one hand");
    assert_that!(most_for_one, gt(1));
    assert_that!(equal_share(1_000, 0), eq(0));
}
