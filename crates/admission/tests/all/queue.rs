//! The order of requests that wait for one service at one gateway.

use std::collections::BTreeMap;
use std::time::Duration;

use auburnline_admission::queue::Entry;
use auburnline_admission::queue::LAPSE;
use auburnline_admission::queue::MAX_WAITING;
use auburnline_admission::queue::Queue;
use auburnline_admission::queue::Ticket;
use auburnline_admission::queue::Waiter;
use auburnline_admission::standing::Standing;
use googletest::prelude::*;

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn waiter(is_late: bool, urgency: u8, workspace: &str, start_by: u64, now: u64) -> Waiter {
    Waiter {
        standing: Standing { is_late, urgency },
        workspace: Some(workspace.into()),
        start_by: millis(start_by),
        asked: millis(now),
    }
}

/// Requests that wait, and a place that comes free from time to time.
#[derive(Default)]
struct Scene {
    queue: Queue,
    waiting: BTreeMap<Ticket, Waiter>,
    last: Ticket,
}

impl Scene {
    fn arrive(&mut self, waiter: Waiter) -> Ticket {
        self.last += 1;
        self.queue.ask(self.last, waiter.clone());
        self.waiting.insert(self.last, waiter);
        self.last
    }

    /// Lets all that wait ask again, and serves the one that nobody is ahead of.
    fn serve(&mut self, now: u64) -> Option<Waiter> {
        for (ticket, waiter) in &mut self.waiting {
            waiter.asked = millis(now);
            self.queue.ask(*ticket, waiter.clone());
        }
        let queue = &self.queue;
        let mut first = self.waiting.iter();
        let first = first.find(|(ticket, waiter)| queue.ahead(**ticket, waiter) == 0);
        let ticket = first.map(|(ticket, _)| *ticket)?;
        let waiter = self.waiting.remove(&ticket)?;
        self.queue.serve(ticket, &waiter);
        Some(waiter)
    }
}

#[gtest]
fn requests_in_time_go_first_then_urgent_ones_then_those_that_have_to_start_earliest() {
    let mut scene = Scene::default();
    let late = scene.arrive(waiter(true, 0, "a", 100, 200));
    let patient = scene.arrive(waiter(false, 1, "a", 300, 200));
    let later = scene.arrive(waiter(false, 0, "a", 320, 200));
    let first = scene.arrive(waiter(false, 0, "a", 310, 200));
    let ahead = [first, later, patient, late];
    let ahead = ahead.map(|ticket| scene.queue.ahead(ticket, &scene.waiting[&ticket]));
    expect_that!(ahead, eq([0, 1, 2, 3]));
}

/// Guards against less urgent callers that get nothing beside a steady stream of urgent ones: 20 of
/// the least urgent arrive at once, and a place for each urgent one that comes.
#[gtest]
fn a_burst_of_the_least_urgent_beside_steady_urgent_calls_gets_one_place_of_eight() {
    let mut scene = Scene::default();
    for _ in 0..20 {
        scene.arrive(waiter(false, 2, "burst", 5_000, 0));
    }
    let mut served = [0, 0, 0];
    for step in 0..80 {
        let now = step * 50;
        scene.arrive(waiter(false, 0, "steady", now + 150, now));
        let waiter = scene.serve(now).expect("one waits");
        served[usize::from(waiter.standing.urgency)] += 1;
    }
    expect_that!(served, eq([70, 0, 10]));
}

/// Guards against one workspace that takes all: it sends ten times as many requests as each of four
/// others, and all of them together twice what is served.
#[gtest]
fn a_workspace_with_ten_times_the_requests_leaves_the_others_theirs() {
    let mut scene = Scene::default();
    let mut served = BTreeMap::<_, u32>::new();
    for step in 0..280 {
        let now = step * 50;
        let names = ["one", "two", "three", "four"];
        let index = usize::try_from(step).expect("a small number") % 14;
        let name = names.get(index).copied().unwrap_or("large");
        scene.arrive(waiter(false, 0, name, now + 150, now));
        if step % 2 == 0 {
            let waiter = scene.serve(now).expect("one waits");
            let name = waiter.workspace.expect("a workspace").to_string();
            *served.entry(name).or_default() += 1;
        }
    }
    // 140 places; each of the small workspaces sent 20 requests, the large one 200.
    for name in ["one", "two", "three", "four"] {
        expect_that!(served[name], ge(19), "{name}");
    }
    expect_that!(served["large"], ge(60));
}

/// Guards against a request whose task vanished and that others wait for without end.
#[gtest]
fn a_request_that_asks_no_more_lapses() {
    let mut queue = Queue::default();
    let vanished = waiter(false, 0, "a", 100, 0);
    queue.ask(1, vanished.clone());
    let mut other = waiter(false, 1, "a", 100, 0);
    expect_that!(queue.ask(2, other.clone()), eq(Entry::New));
    expect_that!(queue.ahead(2, &other), eq(1));
    other.asked = LAPSE + millis(1);
    expect_that!(queue.ahead(2, &other), eq(0));
    expect_that!(queue.ask(2, other.clone()), eq(Entry::New));
    expect_that!(queue.waiting(), eq((1, 0)));
}

#[gtest]
fn a_request_whose_caller_leaves_is_ahead_of_nobody() {
    let mut scene = Scene::default();
    let first = scene.arrive(waiter(false, 0, "a", 100, 0));
    let second = scene.arrive(waiter(false, 0, "a", 110, 0));
    expect_that!(scene.queue.withdraw(first, millis(10)), eq(true));
    expect_that!(scene.queue.withdraw(first, millis(10)), eq(false));
    let waiter = &scene.waiting[&second];
    expect_that!(scene.queue.ahead(second, waiter), eq(0));
}

#[gtest]
fn the_queue_is_bounded() {
    let mut scene = Scene::default();
    for _ in 0..MAX_WAITING {
        scene.arrive(waiter(false, 0, "a", 100, 0));
    }
    let one_more = scene.queue.ask(9_999, waiter(false, 0, "a", 100, 0));
    expect_that!(one_more, eq(Entry::Full));
    // Those that have a place keep it.
    let known = scene.queue.ask(1, waiter(true, 0, "a", 100, 1));
    let before = Standing::default();
    expect_that!(known, eq(Entry::Known(before)));
}

/// Guards against waits in vain: while waiting requests are served at a rate of 2 a second, five of
/// them need about 2.5 s, and after a lull of seconds the past counts no more.
#[gtest]
fn the_expected_wait_follows_what_was_served_while_others_waited() {
    let mut scene = Scene::default();
    for _ in 0..20 {
        scene.arrive(waiter(true, 0, "a", 0, 0));
    }
    for step in 1..=100 {
        let now = step * 50;
        if step % 10 == 0 {
            scene.serve(now);
        }
        for (ticket, waiter) in &mut scene.waiting {
            waiter.asked = millis(now);
            scene.queue.ask(*ticket, waiter.clone());
        }
    }
    let expected = |scene: &Scene| scene.queue.expected_wait(true, 4);
    expect_that!(expected(&scene), all!(ge(millis(1_500)), le(millis(3_500))));
    // Nothing was served of those in time, since none of them waited.
    expect_that!(scene.queue.expected_wait(false, 0), le(millis(300)));
    for ticket in scene.waiting.keys() {
        scene.queue.withdraw(*ticket, millis(5_000));
    }
    scene.queue.withdraw(0, millis(15_000));
    expect_that!(expected(&scene), le(millis(1_100)));
}
