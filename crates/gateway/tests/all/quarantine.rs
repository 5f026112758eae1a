//! Quarantine of requests that crash upstreams.
//!
//! These tests guard against one request that is retried again and again through any gateway and
//! takes each upstream that starts to run it out of service for some seconds. Other requests that
//! run there at the time must not be held back.

use std::time::Duration;

use auburnline_core::time::Monotonic;
use auburnline_gateway::quarantine::CRASH_LIMIT;
use auburnline_gateway::quarantine::Fingerprint;
use auburnline_gateway::quarantine::MAX_MARKS;
use auburnline_gateway::quarantine::Mark;
use auburnline_gateway::quarantine::Outcome;
use auburnline_gateway::quarantine::Quarantine;
use auburnline_gateway::quarantine::RETENTION;
use auburnline_gateway::quarantine::fingerprint;
use auburnline_gateway::quarantine::start_tag;
use auburnline_gateway::upstream::State;
use auburnline_gateway::upstream::Upstream;
use googletest::prelude::*;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::seq::IteratorRandom as _;
use rand_chacha::ChaCha8Rng;

use crate::support::millis;
use crate::support::upstream;

const REQUEST: Fingerprint = 7;

fn crashed(upstreams: &[u64], at: Monotonic) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for upstream in upstreams {
        quarantine.crashed(REQUEST, *upstream, at);
    }
    quarantine
}

fn is_held(quarantine: &Quarantine, now: Monotonic) -> bool {
    quarantine.held_for(REQUEST, now).is_some()
}

#[gtest]
fn a_request_that_ran_at_one_crash_is_sent_on() {
    let quarantine = crashed(&[1], millis(100));
    expect_that!(quarantine.is_empty(), eq(false));
    expect_that!(is_held(&quarantine, millis(100)), eq(false));
}

#[gtest]
fn a_request_that_ran_at_two_crashes_is_held_back_until_they_are_forgotten() {
    let mut quarantine = crashed(&[1], millis(100));
    expect_that!(quarantine.crashed(REQUEST, 2, millis(900)), eq(true));
    expect_that!(
        quarantine.held_for(REQUEST, millis(900)),
        some(eq(RETENTION))
    );
    expect_that!(is_held(&quarantine, millis(800) + RETENTION), eq(true));
    expect_that!(is_held(&quarantine, millis(900) + RETENTION), eq(false));
    expect_that!(quarantine.held_for(REQUEST + 1, millis(900)), none());
}

#[gtest]
fn a_crash_that_many_gateways_tell_of_counts_once() {
    let first = crashed(&[1], millis(100));
    let mut second = Quarantine::default();
    for late in 0..10 {
        let held = second.merge(&first.marks(millis(100)), millis(40_000 + late * 70));
        expect_that!(held, is_empty());
    }
    expect_that!(is_held(&second, millis(41_000)), eq(false));
}

#[gtest]
fn crashes_that_different_gateways_saw_count_together() {
    let mut first = crashed(&[1], millis(100));
    let second = crashed(&[2], millis(90));
    let held = first.merge(&second.marks(millis(90)), millis(200));
    expect_that!(held, elements_are![eq(&REQUEST)]);
    expect_that!(is_held(&first, millis(200)), eq(true));
}

#[gtest]
fn a_gateway_that_just_started_holds_back_what_crashed_upstreams_before() {
    let known = crashed(&[1, 2], millis(1_000));
    let mut new = Quarantine::default();
    new.merge(&known.marks(millis(60_000)), millis(20));
    let left = new.held_for(REQUEST, millis(20)).unwrap_or_default();
    expect_that!(left, eq(RETENTION.saturating_sub(millis(59_000))));
}

#[gtest]
fn an_answer_clears_a_request_and_an_older_crash_told_late_does_not_count() {
    let mut quarantine = crashed(&[1], millis(100));
    let late = crashed(&[2], millis(100)).marks(millis(100));
    quarantine.answered(REQUEST, millis(500));
    let late: Vec<Mark> = late
        .into_iter()
        .map(|mark| Mark {
            age_ms: 600,
            ..mark
        })
        .collect();
    quarantine.merge(&late, millis(700));
    quarantine.crashed(REQUEST, 3, millis(900));
    expect_that!(is_held(&quarantine, millis(900)), eq(false));
}

#[gtest]
fn an_answer_is_told_to_others() {
    let mut first = crashed(&[1], millis(100));
    let mut second = Quarantine::default();
    second.merge(&first.marks(millis(100)), millis(100));
    first.answered(REQUEST, millis(400));
    second.merge(&first.marks(millis(500)), millis(500));
    second.crashed(REQUEST, 2, millis(900));
    expect_that!(is_held(&second, millis(900)), eq(false));
}

#[gtest]
fn an_upstream_that_starts_again_under_its_id_crashes_anew() {
    let first = Upstream {
        born: Some(1),
        ..upstream("i-1", "model", State::Ready)
    };
    let again = Upstream {
        born: Some(2),
        ..first.clone()
    };
    let quarantine = crashed(&[start_tag(&first), start_tag(&again)], millis(100));
    expect_that!(is_held(&quarantine, millis(100)), eq(true));
}

#[gtest]
fn attempts_of_one_request_are_alike_and_other_requests_are_not() {
    let request = |path, key, body: &str| fingerprint("POST", path, key, body.as_bytes());
    let one = request("/draft/1", Some("key-1"), "notes");
    expect_that!(request("/draft/1", Some("key-1"), "notes"), eq(one));
    expect_that!(request("/draft/2", Some("key-1"), "notes"), not(eq(one)));
    expect_that!(request("/draft/1", Some("key-2"), "notes"), not(eq(one)));
    expect_that!(request("/draft/1", Some("key-1"), "other"), not(eq(one)));
}

#[gtest]
fn what_is_held_back_is_told_before_news_and_a_message_is_bounded() {
    let mut quarantine = crashed(&[1, 2], millis(100));
    for request in 0..10_000 {
        quarantine.crashed(100 + request, 3, millis(2_000));
    }
    let marks = quarantine.marks(millis(2_000));
    expect_that!(marks.len(), eq(MAX_MARKS));
    expect_that!(marks[0].request, eq(REQUEST));
    expect_that!(marks[1].outcome, eq(Outcome::Crashed(2)));
    // News is sent for a limited time, requests in quarantine for as long as they are held back.
    let later = quarantine.marks(millis(60_000));
    let requests: Vec<_> = later.iter().map(|mark| mark.request).collect();
    expect_that!(requests, each(eq(&REQUEST)));
    expect_that!(later.len(), eq(CRASH_LIMIT));
}

/// Fleet of gateways that exchange crashes with each heartbeat.
struct Fleet {
    gateways: Vec<Quarantine>,
    rng: ChaCha8Rng,
    /// Fraction of messages that are lost.
    loss: f64,
}

impl Fleet {
    const BEAT: u64 = 300;
    const FANOUT: usize = 6;

    fn heartbeat(&mut self, now: Monotonic) {
        for sender in 0..self.gateways.len() {
            let marks = self.gateways[sender].marks(now);
            let others = (0..self.gateways.len()).filter(|other| *other != sender);
            for other in others.choose_multiple(&mut self.rng, Self::FANOUT) {
                if self.rng.random::<f64>() >= self.loss {
                    self.gateways[other].merge(&marks, now);
                }
            }
        }
    }

    /// Simulates 15 s in which the request arrives every `period` ms at a random gateway, and a
    /// gateway restarts every `restart` ms; returns when upstreams crashed.
    fn run(&mut self, period: u64, restart: Option<u64>) -> Vec<Monotonic> {
        let mut crashes = Vec::new();
        for tick in 1..150 {
            let at = tick * 100;
            let now = Duration::from_millis(at);
            if at % Self::BEAT == 0 {
                self.heartbeat(now);
            }
            if let Some(restart) = restart.filter(|restart| at % restart == 0) {
                let number = usize::try_from(at / restart).expect("small") % self.gateways.len();
                self.gateways[number] = Quarantine::default();
            }
            if at % period == 0 {
                let gateway = self.rng.random_range(0..self.gateways.len());
                let gateway = &mut self.gateways[gateway];
                if gateway.held_for(REQUEST, now).is_none() {
                    gateway.crashed(REQUEST, tick, now);
                    crashes.push(now);
                }
            }
        }
        crashes
    }
}

/// Returns the number of crashes later than `stability` after the third one.
fn late(crashes: &[Monotonic], stability: Duration) -> usize {
    let third = crashes.get(2).copied().unwrap_or(Duration::MAX);
    let bound = third.saturating_add(stability);
    crashes.iter().filter(|at| **at > bound).count()
}

#[gtest]
fn a_request_that_comes_again_anywhere_stops_reaching_upstreams_within_seconds() {
    for (gateways, period, restart) in [
        (6, 500, None),
        (36, 100, None),
        (36, 500, Some(2_000)),
        (98, 300, Some(500)),
        (340, 200, None),
    ] {
        for seed in 0..2 {
            let mut fleet = Fleet {
                gateways: vec![Quarantine::default(); gateways],
                rng: ChaCha8Rng::seed_from_u64(seed),
                loss: 0.1,
            };
            let crashes = fleet.run(period, restart);
            expect_that!(
                late(&crashes, Duration::from_secs(3)),
                le(3),
                "{gateways} gateways, every {period} ms, restarts {restart:?}, seed {seed}: {crashes:?}"
            );
        }
    }
}
