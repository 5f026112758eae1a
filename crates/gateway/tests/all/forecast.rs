//! Gateways that tell each other what they saw of a group's passes.

use std::time::Duration;

use auburnline_admission::exposure::Cost;
use auburnline_admission::feature::Feature;
use auburnline_admission::forecast::Record;
use auburnline_gateway::Gateway;
use auburnline_gateway::forecast::Merged;
use auburnline_gateway::pace::Group;
use auburnline_gateway::pace::Load;
use auburnline_lockstep::message::Digest;
use googletest::prelude::*;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::gateway::ask;
use crate::load;
use crate::load::digest;
use crate::support::ENGINE;
use crate::support::millis;

/// Streams of the group, from all gateways together.
const STREAMS: u32 = 220;
const RANKS: u32 = 24;
const LONGEST: Duration = Duration::from_millis(120);
const CALM: f64 = 2.8;
const SHIFTED: f64 = 5.3;
/// Time between two shifts of demand, and for which passes are long after one, in milliseconds.
const PERIOD: u64 = 2_500;
const LONG: u64 = 400;
/// Other gateways that each message goes to, and messages of a hundred that are lost.
const FANOUT: usize = 6;
const LOSS_PERCENT: u32 = 10;

fn group_load(in_flight: u32) -> Load {
    Load {
        ranks: RANKS,
        in_flight,
        slowest: 100,
        slowest_busy: 100,
    }
}

fn cost() -> Cost {
    Cost {
        base: ENGINE.base().as_secs_f64(),
        slope: ENGINE.decode_time().as_secs_f64() / f64::from(RANKS),
        longest: LONGEST.as_secs_f64(),
    }
}

/// Gateways before one group whose demand shifts often.
struct Fleet {
    groups: Vec<Group>,
    rng: ChaCha8Rng,
    now: u64,
    /// Whether the halves of the fleet don't hear each other.
    is_split: bool,
    /// Whether messages are sent at all.
    is_sharing: bool,
}

impl Fleet {
    fn new(count: usize, seed: u64) -> Fleet {
        Fleet {
            groups: vec![Group::default(); count],
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 1_000,
            is_split: false,
            is_sharing: true,
        }
    }

    /// Runs passes until `end` ms.
    fn run(&mut self, end: u64) {
        let mut told = self.now;
        while self.now < end {
            let is_long = self.now % PERIOD < LONG;
            let pass = cost().pass(if is_long { SHIFTED } else { CALM }, STREAMS.into());
            let pass = Duration::from_secs_f64(pass);
            self.now += u64::try_from(pass.as_millis()).expect("a pass");
            // Each gateway has few of the streams, and knows the group's load only roughly.
            for _ in 0..STREAMS {
                let gateway = self.rng.random_range(0..self.groups.len());
                let in_flight = self.rng.random_range(205..=235);
                let now = millis(self.now);
                let load = group_load(in_flight);
                let group = &mut self.groups[gateway];
                group.observe(&ENGINE, LONGEST, pass, load, now);
                if self.is_sharing {
                    group.share(&ENGINE, LONGEST, load, now);
                }
            }
            if self.is_sharing && self.now >= told + 300 {
                told = self.now;
                self.tell();
            }
        }
    }

    fn tell(&mut self) {
        let now = millis(self.now);
        let count = self.groups.len();
        for from in 0..count {
            self.groups[from].refresh(now);
            let Some(record) = self.groups[from].record(1, &cost(), now) else {
                continue;
            };
            self.hear(from, &record);
            for _ in 0..FANOUT {
                let to = self.rng.random_range(0..count);
                let is_cut = self.is_split && (from < count / 2) != (to < count / 2);
                if to != from && !is_cut && self.rng.random_range(0..100) >= LOSS_PERCENT {
                    self.hear(to, &record);
                }
            }
        }
    }

    fn hear(&mut self, to: usize, record: &Record) {
        let now = millis(self.now);
        let load = group_load(STREAMS);
        self.groups[to].hear(record, &ENGINE, LONGEST, load, now);
    }

    /// Returns the smallest and the largest fill of all gateways.
    fn fills(&self) -> (f64, f64) {
        let fills = self.groups.iter().map(fill);
        fills.fold((f64::INFINITY, 0.0), |(least, most), fill| {
            (least.min(fill), most.max(fill))
        })
    }
}

fn fill(group: &Group) -> f64 {
    group.predict(&ENGINE, LONGEST, group_load(STREAMS)).most
}

/// A time by which the newest passes are calm ones.
const CALM_AT: u64 = 22_200;

/// Guards against gateways that fill one group differently in the same second, each by its own few
/// streams: on a grown deployment some filled it to 119 streams and others to 190.
#[gtest]
fn all_gateways_fill_a_group_that_shifts_often_alike() {
    for count in [6, 98, 340, 1_000] {
        let mut fleet = Fleet::new(count, 7);
        fleet.run(CALM_AT);
        let (least, most) = fleet.fills();
        assert_that!(
            most / least,
            lt(1.06),
            "{count} gateways: {least} to {most}"
        );
        // Nearly every stream meets a shift.
        let for_shifts = cost().most(SHIFTED);
        assert_that!(for_shifts, lt(250.0));
        assert_that!(
            most,
            lt(for_shifts * 1.1),
            "{count} gateways: {least} to {most}"
        );
        assert_that!(least, gt(for_shifts * 0.85), "{count} gateways");
    }
}

/// What the test above would see of gateways that tell each other nothing.
#[gtest]
fn gateways_that_learn_alone_fill_it_differently() {
    let mut fleet = Fleet::new(1_000, 7);
    fleet.is_sharing = false;
    fleet.run(CALM_AT);
    let (least, most) = fleet.fills();
    assert_that!(most / least, gt(1.2), "{least} to {most}");
}

/// A gateway without a stream of the group fills it as the others do after one second.
#[gtest]
fn a_gateway_that_starts_fills_a_group_as_the_others_do() {
    for count in [6, 98, 340, 1_000] {
        let mut fleet = Fleet::new(count, 8);
        fleet.run(CALM_AT - 1_000);
        fleet.groups[3] = Group::default();
        fleet.run(CALM_AT + 100);
        let (least, most) = fleet.fills();
        assert_that!(
            most / least,
            lt(1.06),
            "{count} gateways: {least} to {most}"
        );
    }
}

/// Each side goes on with what its own gateways see, and both agree again soon after.
#[gtest]
fn the_sides_of_a_split_go_on_alone() {
    let mut fleet = Fleet::new(98, 9);
    fleet.run(12_000);
    fleet.is_split = true;
    fleet.run(CALM_AT);
    let (least, most) = fleet.fills();
    assert_that!(most / least, lt(1.06));
    fleet.is_split = false;
    fleet.run(CALM_AT + PERIOD);
    let (least, most) = fleet.fills();
    assert_that!(most / least, lt(1.06));
}

fn record(factor: f32, fill: f32, age_ms: u16) -> Record {
    Record {
        group: 1,
        factor,
        fill,
        age_ms,
    }
}

/// A record from before a group formed, of a gateway that has not heard of it, or one that came
/// late, must not fill its first map by the passes of the last.
#[gtest]
fn records_from_before_a_group_formed_are_void() {
    let load = group_load(STREAMS);
    let mut group = Group::formed(millis(5_000));
    let first = fill(&group);
    let is_used = group.hear(
        &record(1.0, 1.0, 300),
        &ENGINE,
        LONGEST,
        load,
        millis(5_200),
    );
    assert_that!(is_used, eq(false));
    assert_that!(fill(&group), eq(first));
    let is_used = group.hear(
        &record(1.0, 1.0, 100),
        &ENGINE,
        LONGEST,
        load,
        millis(5_200),
    );
    assert_that!(is_used, eq(true));
    assert_that!(fill(&group), gt(first));
}

/// A record that arrives twice, or after a newer one, doesn't take the newest factor back.
#[gtest]
fn doubled_and_late_records_change_no_factor() {
    let load = group_load(STREAMS);
    let mut group = Group::default();
    for tick in 0..20 {
        let now = millis(1_000 + tick * 100);
        group.hear(&record(1.5, 0.0, 0), &ENGINE, LONGEST, load, now);
    }
    let before = fill(&group);
    for age_ms in [0, 700, 900, 1_500] {
        group.hear(
            &record(5.0, 0.0, age_ms),
            &ENGINE,
            LONGEST,
            load,
            millis(2_900),
        );
    }
    assert_that!(fill(&group), eq(before));
}

/// Nothing that is told stays for ever: without passes a group is filled as at first.
#[gtest]
fn a_fill_that_nobody_tells_any_more_ages_out() {
    let load = group_load(STREAMS);
    let mut group = Group::default();
    group.hear(&record(3.4, 5.0, 0), &ENGINE, LONGEST, load, millis(1_000));
    let told = fill(&group);
    group.refresh(millis(22_000));
    assert_that!(fill(&group), gt(told));
}

fn sharing(groups: u16) -> Gateway {
    let mut gateway = load::gateway(groups);
    gateway.set_features([Feature::SharedForecasts].into());
    gateway
}

/// Lets a gateway see passes of the first group for three seconds.
fn see_passes(gateway: &mut Gateway) {
    for step in 0_u64..15 {
        let now = 1_000 + step * 200;
        gateway.apply_digest(&digest(0, 8), millis(now));
        let _ = gateway.freshness.record_success(millis(now), millis(now));
        let plan = ask(gateway, "/draft/", Some("key-1"), now).expect("a plan");
        gateway.observe(&plan, &"g0".into(), millis(60), millis(now));
    }
}

#[gtest]
fn gateways_tell_what_they_saw_and_hear_what_others_did() {
    let mut one = sharing(2);
    see_passes(&mut one);
    let records = one.forecasts(millis(3_900));
    assert_that!(records, len(eq(1)));
    let mut other = sharing(2);
    other.apply_digest(&digest(0, 8), millis(3_800));
    let merged = other.merge_forecasts(&records, millis(3_900));
    assert_that!(merged, eq(Merged { used: 1, void: 0 }));
    let most = |gateway: &Gateway| fill(gateway.pace("g0").expect("a pace"));
    assert_that!(most(&other), gt(most(&sharing_without_words())));
    // It tells nothing on: it saw no pass itself.
    assert_that!(other.forecasts(millis(4_200)), is_empty());
}

/// Returns a gateway that heard of the group, but of none of its passes.
fn sharing_without_words() -> Gateway {
    let mut gateway = sharing(2);
    gateway.apply_digest(&digest(0, 8), millis(3_800));
    gateway
}

#[gtest]
fn records_of_unknown_groups_are_void() {
    let mut gateway = sharing(1);
    let merged = gateway.merge_forecasts(&[record(1.0, 1.0, 0); 9], millis(1_000));
    assert_that!(merged, eq(Merged { used: 0, void: 4 }));
}

/// A gateway that heard the group close and open again ignores what others saw before.
#[gtest]
fn a_group_that_forms_anew_is_not_filled_by_what_others_saw_before() {
    let mut one = sharing(1);
    see_passes(&mut one);
    let mut other = sharing(1);
    see_passes(&mut other);
    let closed = Digest {
        is_open: false,
        ..digest(0, 0)
    };
    one.apply_digest(&closed, millis(3_850));
    one.apply_digest(&digest(0, 0), millis(4_400));
    let late = other.forecasts(millis(4_450));
    let merged = one.merge_forecasts(&late, millis(4_450));
    assert_that!(merged, eq(Merged { used: 0, void: 1 }));
}

#[gtest]
fn without_the_feature_nothing_is_told_or_heard() {
    let mut gateway = load::gateway(1);
    see_passes(&mut gateway);
    assert_that!(gateway.forecasts(millis(3_900)), is_empty());
    let before = fill(gateway.pace("g0").expect("a pace"));
    let merged = gateway.merge_forecasts(&[record(5.0, 5.0, 0)], millis(3_900));
    assert_that!(merged, eq(Merged::default()));
    assert_that!(fill(gateway.pace("g0").expect("a pace")), eq(before));
}

/// All callers are back after a loss of power. The first map of a group knows no demand, and a group
/// that is filled for its passes refuses callers for seconds after it has a better one.
#[gtest]
fn a_group_that_just_formed_is_not_filled_for_a_shift() {
    let load = group_load(STREAMS);
    let mut group = Group::formed(millis(5_000));
    let told = |group: &mut Group, now| {
        group.hear(&record(2.0, 5.0, 0), &ENGINE, LONGEST, load, millis(now));
        group.predict(&ENGINE, LONGEST, load).fill
    };
    assert_that!(told(&mut group, 8_900), eq(0.0));
    assert_that!(told(&mut group, 9_100), gt(2.0));
}
