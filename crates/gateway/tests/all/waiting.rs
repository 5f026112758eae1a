//! Requests that wait for capacity in the order of a queue.

use std::collections::BTreeMap;
use std::time::Duration;

use auburnline_admission::feature::Feature;
use auburnline_core::error::Kind as ErrorKind;
use auburnline_gateway::Gateway;
use auburnline_gateway::request::Admission;
use auburnline_gateway::request::Plan;
use auburnline_gateway::request::Refusal;
use auburnline_gateway::route::Kind;
use auburnline_gateway::route::Table;
use auburnline_gateway::route::Workspace;
use auburnline_gateway::upstream::Outcome;
use auburnline_gateway::upstream::UpstreamId;
use googletest::prelude::*;

use crate::gateway::ask;
use crate::gateway::gateway;
use crate::support::configuration;
use crate::support::millis;
use crate::support::route;

/// A gateway with one group, and the streams that run there.
struct Scene {
    gateway: Gateway,
    running: Vec<UpstreamId>,
}

impl Scene {
    fn new(features: &[Feature]) -> Scene {
        let mut gateway = gateway(12);
        gateway.set_features(features.iter().copied().collect());
        Scene {
            gateway,
            running: Vec::new(),
        }
    }

    fn plan(&mut self, now: u64) -> Plan {
        ask(&mut self.gateway, "/draft/", Some("key-1"), now).expect("a plan")
    }

    fn admit(&mut self, plan: &Plan, now: u64) -> Admission {
        self.gateway.admit(plan, millis(now))
    }

    fn send(&mut self, plan: &Plan, now: u64) {
        let (choice, _) = self
            .gateway
            .assign(plan, &[], millis(now))
            .expect("an upstream");
        self.running.push(choice.upstream.id.clone());
    }

    /// Fills the group.
    fn fill(&mut self, now: u64) {
        loop {
            let plan = self.plan(now);
            let Admission::Admit(_) = self.admit(&plan, now) else {
                self.gateway.withdraw(&plan, millis(now));
                return;
            };
            self.send(&plan, now);
        }
    }

    /// Ends some streams.
    fn end(&mut self, count: usize, now: u64) {
        for id in self.running.drain(..count) {
            self.gateway
                .end(&id, Outcome::Answered(millis(900)), millis(now));
        }
    }

    /// Asks for a request until it is no longer told to wait; returns when that was, and the
    /// decision.
    fn wait(&mut self, plan: &Plan, now: u64) -> (Duration, Admission) {
        let mut now = millis(now);
        loop {
            match self.gateway.admit(plan, now) {
                Admission::Wait(until) => now = until,
                decided => return (now, decided),
            }
        }
    }
}

fn waits<'a>() -> impl Matcher<&'a Admission> {
    predicate(|admission: &Admission| matches!(admission, Admission::Wait(_)))
}

fn admitted<'a>() -> impl Matcher<&'a Admission> {
    predicate(|admission: &Admission| matches!(admission, Admission::Admit(_)))
}

fn refusal(admission: Admission) -> Refusal {
    match admission {
        Admission::Refuse(refusal) => refusal,
        other => panic!("no refusal but {other:?}"),
    }
}

#[gtest]
fn without_the_features_requests_wait_as_before_and_upstreams_are_told_no_urgency() {
    let mut scene = Scene::new(&[]);
    scene.fill(1_000);
    let first = scene.plan(1_000);
    expect_that!(&scene.admit(&first, 1_000), waits());
    // Whoever asks first once capacity is free gets it, the later request too.
    let second = scene.plan(1_050);
    scene.end(1, 1_060);
    expect_that!(&scene.admit(&second, 1_060), admitted());
    scene.send(&second, 1_060);
    let (at, decided) = scene.wait(&first, 1_070);
    expect_that!(at, eq(millis(1_120)));
    let refusal = refusal(decided);
    expect_that!(refusal.is_predicted, eq(false));
    expect_that!(
        refusal.retry_after,
        some(all!(ge(millis(200)), lt(millis(1_000))))
    );
    expect_that!(scene.gateway.all_waiting(), eq((0, 0)));
    expect_that!(
        scene.gateway.upstream_urgency(&first, millis(2_000)),
        none()
    );
    expect_that!(
        scene.gateway.standing(&first, millis(2_000)).is_late,
        eq(false)
    );
}

#[gtest]
fn a_later_request_does_not_overtake_one_that_waits() {
    let mut scene = Scene::new(&[Feature::Urgency]);
    scene.fill(1_000);
    let first = scene.plan(1_000);
    expect_that!(&scene.admit(&first, 1_000), waits());
    let second = scene.plan(1_050);
    scene.end(1, 1_060);
    expect_that!(&scene.admit(&second, 1_060), waits());
    expect_that!(&scene.admit(&first, 1_070), admitted());
    scene.send(&first, 1_070);
    expect_that!(&scene.admit(&second, 1_080), waits());
    scene.end(1, 1_090);
    expect_that!(&scene.admit(&second, 1_090), admitted());
}

/// Guards against a caller that left and that others wait for.
#[gtest]
fn a_caller_that_leaves_while_it_waits_holds_up_nobody() {
    let mut scene = Scene::new(&[Feature::Urgency]);
    scene.fill(1_000);
    let first = scene.plan(1_000);
    expect_that!(&scene.admit(&first, 1_000), waits());
    let second = scene.plan(1_010);
    expect_that!(&scene.admit(&second, 1_010), waits());
    expect_that!(scene.gateway.withdraw(&first, millis(1_020)), eq(true));
    expect_that!(scene.gateway.withdraw(&first, millis(1_020)), eq(false));
    scene.end(1, 1_020);
    expect_that!(&scene.admit(&second, 1_020), admitted());
}

/// Guards against a request that is refused 0.12 s after its arrival though its caller bears 1.6 s.
#[gtest]
fn a_late_request_waits_for_spare_capacity_behind_those_in_time() {
    let mut scene = Scene::new(&[Feature::LateQueue]);
    scene.fill(1_000);
    let late = scene.plan(1_000);
    expect_that!(&scene.admit(&late, 1_000), waits());
    expect_that!(&scene.admit(&late, 1_150), waits());
    expect_that!(
        scene.gateway.standing(&late, millis(1_150)).is_late,
        eq(true)
    );
    expect_that!(scene.gateway.all_waiting(), eq((0, 1)));
    // One place is for a request in time only, of which one comes.
    scene.end(1, 1_160);
    expect_that!(&scene.admit(&late, 1_170), waits());
    let in_time = scene.plan(1_200);
    expect_that!(&scene.admit(&in_time, 1_200), admitted());
    scene.send(&in_time, 1_200);
    let half = scene.running.len() / 2;
    scene.end(half, 1_300);
    expect_that!(&scene.admit(&late, 1_300), admitted());
}

/// Guards against a caller that has abandoned its stream, and against a time to come back that it
/// does not honour.
#[gtest]
fn a_late_request_that_gets_no_capacity_is_refused_before_its_caller_leaves() {
    let mut scene = Scene::new(&[Feature::LateQueue]);
    scene.fill(1_000);
    let late = scene.plan(1_000);
    let (at, decided) = scene.wait(&late, 1_000);
    // 2 s less the objective.
    expect_that!(at, le(millis(2_600)));
    let refusal = refusal(decided);
    expect_that!(refusal.kind, eq(ErrorKind::Overloaded));
    let left = late.deadline.saturating_sub(at);
    expect_that!(
        refusal.retry_after,
        some(all!(ge(millis(400)), le(left / 3)))
    );
    expect_that!(scene.gateway.all_waiting(), eq((0, 0)));
}

/// Guards against waits in vain: for 1.5 s a full group serves nobody, and a request comes each
/// 25 ms. Now and then one is held, by which it shows whether capacity is given out again.
#[gtest]
fn requests_that_would_wait_in_vain_are_refused_at_once() {
    let mut scene = Scene::new(&[Feature::LateQueue]);
    scene.fill(1_000);
    let mut waiting: Vec<Plan> = Vec::new();
    let mut at_once = 0;
    for step in 0..60 {
        let now = 1_000 + step * 25;
        waiting.retain(|plan| matches!(scene.admit(plan, now), Admission::Wait(_)));
        let plan = scene.plan(now);
        match scene.admit(&plan, now) {
            Admission::Wait(_) => waiting.push(plan),
            Admission::Refuse(refusal) => {
                expect_that!(refusal.is_predicted, eq(true));
                expect_that!(refusal.retry_after, some(ge(millis(400))));
                at_once += 1;
            }
            Admission::Admit(_) => panic!("the group is full"),
        }
    }
    expect_that!(at_once, ge(30));
}

/// Two routes to one service, the second more urgent for this workspace or not.
fn ranked(version: u64, urgent: u8) -> Table {
    let stream = Kind::Stream { resumable: true };
    let mut other = route("/urgent/", "model", stream);
    other.priority = urgent;
    let mut configuration = configuration(version, vec![route("/draft/", "model", stream), other]);
    configuration.workspaces.push((
        Workspace {
            name: "hill".into(),
            priority: None,
        },
        vec!["key-2".to_owned()],
    ));
    Table::new(configuration)
}

/// A request keeps the urgency of the configuration that it was planned by.
#[gtest]
fn a_configuration_that_changes_urgencies_reorders_no_request_that_waits() {
    let mut scene = Scene::new(&[Feature::Urgency]);
    scene.gateway.set_table(ranked(4, 0));
    scene.fill(1_000);
    let plain = scene.plan(1_000);
    expect_that!(&scene.admit(&plain, 1_000), waits());
    let urgent = ask(&mut scene.gateway, "/urgent/", Some("key-1"), 1_010).expect("a plan");
    expect_that!(&scene.admit(&urgent, 1_010), waits());
    expect_that!((plain.urgency, urgent.urgency), eq((1, 0)));
    scene.gateway.set_table(ranked(5, 2));
    let after = ask(&mut scene.gateway, "/urgent/", Some("key-1"), 1_020).expect("a plan");
    expect_that!(&scene.admit(&after, 1_020), waits());
    expect_that!(after.urgency, eq(1));
    scene.end(1, 1_030);
    expect_that!(&scene.admit(&plain, 1_030), waits());
    expect_that!(&scene.admit(&after, 1_030), waits());
    expect_that!(&scene.admit(&urgent, 1_030), admitted());
}

/// Guards against a key that still works since its request waited while the key was taken away, or
/// while this gateway could no longer learn of it.
#[gtest]
fn a_request_whose_key_was_taken_away_while_it_waited_is_not_sent() {
    let mut scene = Scene::new(&[Feature::LateQueue]);
    let plan = scene.plan(1_000);
    let key = Some("key-1");
    expect_that!(scene.gateway.recheck(&plan, key, millis(2_000)), none());
    let outdated = scene.gateway.recheck(&plan, key, millis(6_500));
    expect_that!(
        outdated.map(|refusal| refusal.kind),
        some(eq(ErrorKind::NotReady))
    );
    let stream = Kind::Stream { resumable: true };
    let mut without = configuration(4, vec![route("/draft/", "model", stream)]);
    without.workspaces.clear();
    scene.gateway.set_table(Table::new(without));
    let taken = scene.gateway.recheck(&plan, key, millis(2_000));
    expect_that!(
        taken.map(|refusal| refusal.kind),
        some(eq(ErrorKind::Unauthorized))
    );
}

#[gtest]
fn upstreams_are_told_requests_in_time_first() {
    let mut scene = Scene::new(&[Feature::Urgency]);
    scene.gateway.set_table(ranked(4, 0));
    let plain = scene.plan(1_000);
    let urgent = ask(&mut scene.gateway, "/urgent/", Some("key-1"), 1_000).expect("a plan");
    let told = |plan: &Plan, now| scene.gateway.upstream_urgency(plan, millis(now));
    expect_that!(told(&urgent, 1_050), some(eq(0)));
    expect_that!(told(&plain, 1_050), some(eq(1)));
    expect_that!(told(&urgent, 1_500), some(eq(5)));
    expect_that!(told(&plain, 1_500), some(eq(6)));
}

/// What became of the requests of a day.
#[derive(Debug, Default)]
struct Day {
    in_time: u32,
    late: u32,
    refused: u32,
    /// Refused after more than half a second.
    held_in_vain: u32,
    longest_held: Duration,
}

/// Plays a day of which five of each 17 s bring 1.5 times what the group carries, and the rest of
/// the time half of it. Streams run for 2 s.
fn play(features: &[Feature]) -> Day {
    let mut scene = Scene::new(features);
    let mut day = Day::default();
    let mut ends: BTreeMap<u64, u32> = BTreeMap::new();
    let mut waiting: Vec<(Plan, u64)> = Vec::new();
    let mut credit = 0.0;
    scene.fill(1_000);
    let places = f64::from(u32::try_from(scene.running.len()).expect("a small number"));
    let all = scene.running.len();
    scene.end(all, 1_000);
    for step in 0..4_500_u64 {
        let now = 1_000 + step * 10;
        let _ = scene
            .gateway
            .freshness
            .record_success(millis(now), millis(now));
        let ended = ends.remove(&now).unwrap_or_default();
        scene.end(usize::try_from(ended).expect("a small number"), now);
        let load = if (step / 100) % 17 < 5 { 1.5 } else { 0.5 };
        credit += places / 200.0 * load;
        while credit >= 1.0 {
            credit -= 1.0;
            waiting.push((scene.plan(now), now));
        }
        for (plan, due) in std::mem::take(&mut waiting) {
            if due > now {
                waiting.push((plan, due));
                continue;
            }
            let held = millis(now).saturating_sub(plan.arrived);
            match scene.admit(&plan, now) {
                Admission::Admit(_) => {
                    scene.send(&plan, now);
                    *ends.entry(now + 2_000).or_default() += 1;
                    day.in_time += u32::from(held <= millis(120));
                    day.late += u32::from(held > millis(120));
                }
                Admission::Wait(until) => {
                    let until = u64::try_from(until.as_millis()).expect("a time");
                    waiting.push((plan, until.div_ceil(10) * 10));
                }
                Admission::Refuse(_) => {
                    day.refused += 1;
                    day.held_in_vain += u32::from(held > millis(500));
                }
            }
            day.longest_held = day.longest_held.max(held);
        }
    }
    day
}

/// A wave of 1.5 times the capacity each 17 s: the queue and the late requests take next to nothing
/// from those in time, nobody is held until its caller leaves, and most of those that can't be
/// served are refused when they arrive or turn late.
#[gtest]
fn a_wave_each_17_s_costs_requests_in_time_nothing_and_holds_few_in_vain() {
    let before = play(&[]);
    let after = play(&[Feature::Urgency, Feature::LateQueue]);
    expect_that!(before.late, eq(0), "{before:?}");
    expect_that!(before.longest_held, le(millis(130)));
    expect_that!(after.late, gt(0), "{after:?} {before:?}");
    expect_that!(
        after.refused * 100,
        le(before.refused * 105),
        "{after:?} {before:?}"
    );
    expect_that!(
        after.in_time * 100,
        ge(before.in_time * 98),
        "{after:?} {before:?}"
    );
    expect_that!(after.held_in_vain * 10, le(after.refused), "{after:?}");
    expect_that!(after.longest_held, le(millis(1_620)), "{after:?}");
}
