//! What operators see of a slot.

use auburnline_operator::shape;
use auburnline_process::board;
use auburnline_process::board::Snapshot;

use crate::state::State;
use crate::state::experts::Experts;

impl State {
    /// Publishes the state of this moment.
    pub(crate) fn publish(&self) {
        let now = self.clock.now();
        let in_flight = self.ledger.in_flight() as u64;
        let mut configuration = board::configuration(&self.settings.instance, &self.exchange);
        let age = |since| board::millis(now.saturating_sub(since));
        configuration.in_force_ms = self.exchange.in_force_since().map(age);
        let ready = !self.stay.is_leaving() && self.exchange.may_send(now).is_ok();
        let status = shape::Status {
            instance: self.settings.instance.to_string(),
            role: shape::Role::Slot,
            failure_domain: self.settings.failure_domain.to_string(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
            incarnation: format!("{:016x}", self.incarnation),
            uptime_ms: board::millis(now),
            revision: configuration.revision,
            digest: configuration.digest.clone(),
            preset: configuration.preset.clone(),
            ready,
            leaving: self.stay.is_leaving(),
            reason: self.reason(),
            sessions: self.fleet.links().iter().count() as u64,
            in_flight,
            groups: self.group().into_iter().collect(),
            ..shape::Status::default()
        };
        let drain = self.stay.drain(&self.settings.instance, now);
        self.ways.board.publish(Snapshot {
            status,
            configuration,
            drain,
        });
    }

    fn reason(&self) -> Option<String> {
        if self.stay.is_leaving() {
            return Some("leaving".to_owned());
        }
        let verdict = self.exchange.may_send(self.clock.now());
        verdict.err().map(|reason| format!("{reason:?}"))
    }

    fn group(&self) -> Option<shape::Group> {
        let checked = self.exchange.in_force()?;
        let group = checked.group_of_instance(&self.settings.instance)?;
        let pool = checked.pool_of_group(group)?;
        let placement = checked.placement(group);
        Some(shape::Group {
            group: group.to_string(),
            pool: pool.to_string(),
            admitting: !self.stay.is_leaving() && !checked.group_drains(group),
            model: placement.map(|it| it.model.to_string()),
            // A plain service has no ranks and so no skew, which is 1 at least.
            skew: (self.report.load.skew > 0.0).then_some(f64::from(self.report.load.skew)),
            generation: self.experts.as_ref().and_then(Experts::generation),
            queued: self.queue.queued() as u64,
            running: self.queue.running() as u64,
            age_ms: board::millis(self.report.age),
        })
    }
}
