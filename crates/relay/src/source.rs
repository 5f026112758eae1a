//! What a platform publishes, as it comes in.

use std::rc::Rc;

use auburnline_core::time::Monotonic;
use auburnline_gateway::knowledge;
use auburnline_gateway::route::Table;
use auburnline_gateway::upstream;
use auburnline_gateway::upstream::Upstream;

use crate::shared::Shared;

/// Reader of what a platform publishes; runs until the process ends.
pub trait Source {
    /// Reads and passes on what is published.
    fn run(self, feed: Feed) -> impl Future<Output = ()>;
}

/// Where a source puts what it reads.
#[derive(Clone)]
pub struct Feed(pub(crate) Rc<Shared>);

impl Feed {
    /// Returns the time.
    #[must_use]
    pub fn now(&self) -> Monotonic {
        self.0.now()
    }

    /// Takes that a question asked at `asked` was answered, so that nothing older is unknown.
    pub fn confirm(&self, asked: Monotonic) {
        let now = self.0.now();
        let change = self.0.gateway().knowledge.confirm(asked, now);
        if change == knowledge::Change::Regained {
            log::info!(target: "store", age_ms = crate::exchange::millis(now.saturating_sub(asked)); "regained");
        }
        self.0.refresh();
    }

    /// Takes that a question had no answer.
    pub fn miss(&self, cause: &str) {
        let mut gateway = self.0.gateway();
        if gateway.knowledge.miss() == knowledge::Change::Lost {
            let age = gateway.knowledge.age(self.0.now()).unwrap_or_default();
            log::warn!(target: "store", cause, age_ms = crate::exchange::millis(age); "lost");
        }
        drop(gateway);
        metrics::counter!("auburnline_store_failures_total").increment(1);
    }

    /// Takes a configuration.
    pub fn table(&self, table: Table) {
        let version = table.version();
        let mut gateway = self.0.gateway();
        let before = gateway.version();
        let is_newer = gateway.set_table(table);
        drop(gateway);
        let outcome = if is_newer { "in_force" } else { "not_newer" };
        log::info!(target: "store", version, before:?, outcome; "configuration");
        metrics::counter!("auburnline_configuration_version").absolute(version);
        self.0.refresh();
    }

    /// Takes an upstream as written to the list.
    pub fn upstream(&self, upstream: Upstream) {
        let change = self.0.gateway().pool.insert(upstream);
        self.0.upstreams_changed(change.into_iter().collect());
    }

    /// Takes the whole list of upstreams.
    pub fn upstreams(&self, upstreams: Vec<Upstream>) {
        let now = self.0.now();
        let changes = self.0.gateway().pool.replace(upstreams, now);
        self.0.upstreams_changed(changes);
        self.expire();
    }

    /// Takes that an upstream was removed from the list.
    pub fn missing(&self, id: &str) {
        self.0.gateway().pool.miss(id, self.0.now());
        self.expire();
    }

    fn expire(&self) {
        let changes = self.0.expire();
        self.0.upstreams_changed(changes);
    }
}

/// Logs changes of the pool.
pub(crate) fn log_changes(changes: &[upstream::Change]) {
    for change in changes {
        let (word, upstream) = match change {
            upstream::Change::Joined(upstream) => ("joined", upstream),
            upstream::Change::Leaving(upstream) => ("leaving", upstream),
            upstream::Change::Gone(upstream) => ("gone", upstream),
        };
        log::info!(
            target: "upstreams",
            upstream = &*upstream.id,
            service = &*upstream.service,
            address = upstream.address.to_string().as_str();
            "{word}"
        );
    }
}
