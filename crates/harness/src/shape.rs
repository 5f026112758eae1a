//! Shape of a deployment.

use std::time::Duration;

/// What a deployment consists of.
#[derive(Clone, Debug)]
pub struct Shape {
    pub(crate) domains: usize,
    pub(crate) entries: usize,
    pub(crate) groups: usize,
    pub(crate) instances: usize,
    pub(crate) services: usize,
    pub(crate) workspaces: usize,
    pub(crate) step: Duration,
    pub(crate) batch: usize,
    pub(crate) relays: bool,
    pub(crate) heartbeat: Duration,
    pub(crate) silence: Duration,
    pub(crate) drain: Duration,
    pub(crate) report: Duration,
    pub(crate) answers: Duration,
    pub(crate) log: String,
}

impl Default for Shape {
    fn default() -> Shape {
        Shape {
            domains: 3,
            entries: 2,
            groups: 2,
            instances: 1,
            services: 1,
            workspaces: 0,
            step: Duration::from_millis(2),
            batch: 64,
            relays: false,
            heartbeat: Duration::from_millis(200),
            silence: Duration::from_secs(1),
            drain: Duration::from_mins(1),
            report: Duration::from_secs(5),
            answers: Duration::from_mins(1),
            log: "info,dropshot=error".to_owned(),
        }
    }
}

/// Writes one method for each setting.
macro_rules! settings {
    ($($(#[$doc:meta])* $name:ident: $kind:ty,)*) => {
        impl Shape {
            $(
                $(#[$doc])*
                #[must_use]
                pub fn $name(mut self, value: $kind) -> Shape {
                    self.$name = value;
                    self
                }
            )*
        }
    };
}

settings! {
    /// Sets the number of failure domains.
    domains: usize,
    /// Sets the number of entries, spread over the failure domains.
    entries: usize,
    /// Sets the number of groups that draft, spread over the failure domains.
    groups: usize,
    /// Sets the instances of each group, of one rank each.
    instances: usize,
    /// Sets the plain-service instances.
    services: usize,
    /// Sets how many workspaces with ample limits there are beyond the ones that tests name.
    workspaces: usize,
    /// Sets the time of an engine's step.
    step: Duration,
    /// Sets the most requests in an engine's running batch.
    batch: usize,
    /// Sets whether processes reach each other through cutting relays.
    relays: bool,
    /// Sets the time between heartbeats.
    heartbeat: Duration,
    /// Sets the silence after which a session is closed.
    silence: Duration,
    /// Sets the drain deadline.
    drain: Duration,
    /// Sets the time between two readings of expert counts.
    report: Duration,
    /// Sets the time for which an answer that was not acknowledged is kept.
    answers: Duration,
    /// Sets the filter of the processes' logs.
    log: String,
}
