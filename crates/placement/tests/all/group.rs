//! Sequences of events for one group that random runs rarely produce.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use auburnline_core::id::GroupId;
use auburnline_core::published::Placement;
use auburnline_placement::reconcile::Action;
use auburnline_placement::reconcile::Command;
use auburnline_placement::reconcile::Event;
use auburnline_placement::reconcile::Group;
use auburnline_placement::turn;
use googletest::prelude::*;

use crate::fleet::placement;

struct Fixture {
    group: Group,
    fence: u64,
    now: Duration,
}

impl Fixture {
    fn new(held: Option<Placement>) -> Fixture {
        Fixture {
            group: Group::new(held, 0, Duration::from_secs(5)),
            fence: 0,
            now: Duration::ZERO,
        }
    }

    fn send_event(&mut self, event: Event) -> Vec<Command> {
        let mut commands = Vec::new();
        for action in self.group.handle(event, self.now) {
            if let Action::Send(order) = action {
                self.fence = order.fence;
                commands.push(order.command);
            }
        }
        commands
    }

    fn confirm(&mut self) -> Vec<Command> {
        self.send_event(Event::Done(self.fence))
    }

    fn allow_close(&mut self) -> Vec<Command> {
        self.send_event(Event::Turn(turn::Decision {
            may_close: true,
            reason: turn::Reason::Turn,
            before: Vec::new(),
            age: Duration::ZERO,
        }))
    }
}

#[gtest]
fn a_load_that_was_given_up_is_not_switched_to() {
    let mut fixture = Fixture::new(Some(placement(1)));
    let wanted = Some(placement(2));
    expect_that!(
        fixture.send_event(Event::Target(wanted.clone())),
        len(eq(1))
    );
    expect_that!(fixture.send_event(Event::Target(None)), is_empty());
    let close = fixture.allow_close();
    assert_that!(close, len(eq(1)));
    fixture.confirm();
    expect_that!(fixture.group.held(), none());
    let commands = fixture.send_event(Event::Target(wanted));
    expect_that!(commands, elements_are![eq(&Command::Load(placement(2)))]);
}

#[gtest]
fn a_group_without_weights_takes_no_work_while_it_loads() {
    let mut fixture = Fixture::new(None);
    fixture.send_event(Event::Target(Some(placement(1))));
    expect_that!(fixture.group.is_open(), eq(false));
    expect_that!(fixture.group.progress(), eq(turn::Progress::Closed));
    expect_that!(
        fixture.confirm(),
        elements_are![eq(&Command::Switch(placement(1)))]
    );
    expect_that!(fixture.confirm(), elements_are![eq(&Command::Open)]);
    fixture.confirm();
    expect_that!(fixture.group.is_open(), eq(true));
}

#[gtest]
fn a_late_confirmation_has_no_effect() {
    let mut fixture = Fixture::new(Some(placement(1)));
    fixture.send_event(Event::Target(Some(placement(2))));
    let old = fixture.fence;
    fixture.send_event(Event::Target(Some(placement(3))));
    expect_that!(fixture.send_event(Event::Done(old)), is_empty());
    expect_that!(fixture.allow_close(), is_empty());
}

#[gtest]
fn a_stream_is_cut_only_at_the_deadline() {
    let mut fixture = Fixture::new(Some(placement(1)));
    fixture.send_event(Event::Target(Some(placement(2))));
    fixture.confirm();
    fixture.send_event(Event::Streams(1));
    fixture.allow_close();
    expect_that!(fixture.confirm(), is_empty());
    fixture.now = Duration::from_millis(4_900);
    expect_that!(fixture.send_event(Event::Tick), is_empty());
    fixture.now = Duration::from_secs(5);
    expect_that!(
        fixture.send_event(Event::Tick),
        elements_are![eq(&Command::Switch(placement(2)))]
    );
}

#[gtest]
fn a_preset_that_changes_back_in_a_drain_opens_the_group_again() {
    let mut fixture = Fixture::new(Some(placement(1)));
    fixture.send_event(Event::Target(Some(placement(2))));
    fixture.confirm();
    fixture.send_event(Event::Streams(1));
    fixture.allow_close();
    fixture.confirm();
    expect_that!(fixture.group.is_open(), eq(false));
    let commands = fixture.send_event(Event::Target(Some(placement(1))));
    expect_that!(commands, elements_are![eq(&Command::Open)]);
    expect_that!(fixture.confirm(), elements_are![eq(&Command::Unload)]);
    expect_that!(fixture.confirm(), is_empty());
    expect_that!(fixture.group.progress(), eq(turn::Progress::Ready));
}

#[gtest]
fn groups_out_of_service_hold_up_no_other() {
    let pool = Arc::from("pool");
    let published: Vec<GroupId> = (0..4).map(|i| Arc::from(format!("g{i}"))).collect();
    let observation = |progress| turn::Observation {
        progress,
        age: Duration::ZERO,
        overdue: Duration::ZERO,
    };
    let rule = turn::Rule {
        pool: &pool,
        revision: 1,
        minimum: 2,
        cap: 2,
    };
    let may_close = |own: &GroupId| {
        let mut observations: BTreeMap<GroupId, turn::Observation> = published
            .iter()
            .map(|group| (Arc::clone(group), observation(turn::Progress::Waiting)))
            .collect();
        observations.insert(
            Arc::clone(&published[0]),
            observation(turn::Progress::OutOfService),
        );
        observations.remove(own);
        turn::decide(rule, own, &published, &observations).may_close
    };
    let allowed = published[1..].iter().filter(|own| may_close(own)).count();
    assert_that!(allowed, eq(1));
}
