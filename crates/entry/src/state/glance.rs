//! What operators see of an entry.

use auburnline_operator::shape;
use auburnline_process::board;
use auburnline_process::board::Snapshot;

use crate::state::State;

impl State {
    /// Publishes the state of this moment.
    pub(crate) fn publish(&self) {
        let now = self.clock.now();
        let in_flight = self.stay.in_flight();
        let mut configuration = board::configuration(&self.settings.instance, &self.configurations);
        let age = |since| board::millis(now.saturating_sub(since));
        configuration.in_force_ms = self.configurations.in_force_since().map(age);
        let verdict = self.configurations.may_send(now);
        let steady = self.limits.may_grant();
        let unsteady = (!steady).then(|| "limits are not yet granted".to_owned());
        let status = shape::Status {
            instance: self.settings.instance.to_string(),
            role: shape::Role::Entry,
            failure_domain: self.settings.failure_domain.to_string(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
            incarnation: format!("{:016x}", self.incarnation),
            uptime_ms: board::millis(now),
            revision: configuration.revision,
            digest: configuration.digest.clone(),
            preset: configuration.preset.clone(),
            ready: !self.stay.is_leaving() && verdict.is_ok() && steady,
            leaving: self.stay.is_leaving(),
            reason: verdict
                .err()
                .map(|reason| format!("{reason:?}"))
                .or(unsteady),
            sessions: self.fleet.links().iter().count() as u64,
            in_flight,
            limits: self.limits.shown(|workspace| self.rate(workspace)),
            ..shape::Status::default()
        };
        let drain = self.stay.drain(&self.settings.instance, now);
        self.ways.board.publish(Snapshot {
            status,
            configuration,
            drain,
        });
    }

    /// Returns the rate of a workspace under the preset in force.
    fn rate(&self, workspace: &str) -> f64 {
        let limits = self
            .configurations
            .in_force()
            .and_then(|it| it.limits(workspace));
        limits.map_or(0.0, |limits| limits.tokens_per_second)
    }
}
