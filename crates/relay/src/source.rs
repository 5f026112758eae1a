//! Input of the state that a platform publishes, and its distribution to other gateways.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use auburnline_core::id::FailureDomainId;
use auburnline_core::time::Monotonic;
use auburnline_gateway::evacuation;
use auburnline_gateway::freshness;
use auburnline_gateway::published::Listed;
use auburnline_gateway::route::Configuration;
use auburnline_gateway::route::Table;
use auburnline_gateway::spread;
use auburnline_gateway::spread::Answer;
use auburnline_gateway::spread::Generation;
use auburnline_gateway::spread::Need;
use auburnline_gateway::spread::Revision;
use auburnline_gateway::spread::Update;
use auburnline_gateway::transfer;
use auburnline_gateway::upstream;
use auburnline_gateway::upstream::Upstream;
use auburnline_gateway::upstream::UpstreamId;
use tokio::time::timeout;

use crate::export::record_evacuated_in_flight;
use crate::gossip;
use crate::shared::Shared;
use crate::shared::log_regained;
use crate::telemetry::millis;

/// Interval at which a source checks whether there is something to read.
const NEED_POLL: Duration = Duration::from_millis(300);

/// Reader of the state that a platform publishes.
pub trait Source {
    /// Reads the published state and passes it to `feed`, for as long as the process runs.
    fn run(self, feed: Feed) -> impl Future<Output = ()>;
}

/// One change of the published state.
#[derive(Debug)]
pub enum Change {
    /// An upstream's entry was written.
    Upstream(Upstream),
    /// An upstream's entry was removed.
    Removed(UpstreamId),
    /// A configuration was written; `None` if it cannot be decoded.
    Configuration(Option<Configuration>),
    /// The evacuation of a failure domain was written.
    Evacuated(FailureDomainId),
    /// The evacuation of a failure domain was removed.
    Returned(FailureDomainId),
}

/// Snapshot of the published state.
#[derive(Debug)]
pub struct Snapshot {
    /// Revision up to which the snapshot is complete.
    pub revision: Revision,
    /// All upstreams that could be decoded, and all evacuated failure domains.
    pub listed: Listed,
    /// Configuration with the revision at which it was written; `None` if there is none or it cannot be decoded.
    pub configuration: Option<(Revision, Configuration)>,
}

/// Interface through which a source delivers what it reads.
#[derive(Clone)]
pub struct Feed(pub(crate) Rc<Shared>);

impl Feed {
    /// Returns the time since the start of the process.
    #[must_use]
    pub fn now(&self) -> Monotonic {
        self.0.now()
    }

    /// Waits until this gateway has to read something, and returns what.
    pub async fn need(&self) -> Need {
        let mut waited = Duration::ZERO;
        loop {
            let need = self.0.gateway().need(self.now());
            if need != Need::Nothing {
                return need;
            }
            if self.is_probe_due(waited) {
                let revision = self.0.gateway().spread.revision();
                return revision.map_or(Need::All, Need::Changes);
            }
            let _ = timeout(NEED_POLL, self.0.source_wakeup.notified()).await;
            waited += NEED_POLL;
        }
    }

    /// Returns whether the store, which did not answer this gateway, should be tried again.
    fn is_probe_due(&self, waited: Duration) -> bool {
        let gateway = self.0.gateway();
        gateway.roster.is_store_unreachable() && waited >= gateway.spread.probe_interval()
    }

    /// Returns how long the next request may wait for changes, at most `longest`. After a failure it
    /// does not wait, since it would take long to fail again.
    #[must_use]
    pub fn poll_wait(&self, longest: Duration) -> Duration {
        if self.0.gateway().roster.is_store_unreachable() {
            Duration::ZERO
        } else {
            longest
        }
    }

    /// Returns the minimum time between the starts of two requests to the store.
    #[must_use]
    pub fn read_period(&self) -> Duration {
        self.0.gateway().roster.read_period(self.now())
    }

    /// Applies a snapshot that was requested at `asked`.
    pub fn apply_snapshot(&self, snapshot: Snapshot, asked: Monotonic) {
        let written = snapshot
            .configuration
            .as_ref()
            .map_or_else(Revision::default, |(revision, _)| *revision);
        if let Some((revision, configuration)) = snapshot.configuration {
            self.apply_configuration(revision, configuration);
        }
        self.set_generation(snapshot.revision.generation);
        let now = self.now();
        let mut gateway = self.0.gateway();
        let changes = gateway.apply_full_read(snapshot.listed, snapshot.revision, written, now);
        drop(gateway);
        self.log_applied(changes);
        self.record_answer(asked);
        self.expire();
        // Gateways that know an earlier generation learn of this one.
        self.0.push_changes(Revision::default());
    }

    /// Completes when another gateway passes the published state on, so that it need not be read.
    pub async fn transferred(&self) {
        self.0.transferred.notified().await;
    }

    /// Applies the list that the gateway at `from` passed on.
    pub(crate) fn apply_transfer(&self, done: transfer::Done, from: SocketAddr) {
        let age_ms = millis(self.now().saturating_sub(done.known_at));
        log::info!(target: "store", from:%, age_ms; "another gateway passed the published state on");
        metrics::counter!("auburnline_transfers_total").increment(1);
        self.log_applied((done.upstreams, done.evacuations));
        let is_awaiting = self.0.gateway().spread.awaits_configuration();
        if !is_awaiting {
            self.record_known(done.known_at);
        }
        self.expire();
        gossip::query_informants(&self.0, self.now());
        self.0.source_wakeup.notify_one();
        self.0.transferred.notify_waiters();
    }

    /// Applies a configuration written at `revision`; `None` if it could not be decoded.
    pub fn apply_configuration_change(
        &self,
        revision: Revision,
        configuration: Option<Configuration>,
    ) {
        if let Some(configuration) = configuration {
            self.apply_configuration(revision, configuration);
        }
        self.0.gateway().spread.record_configuration(revision);
    }

    /// Applies a configuration received from another gateway.
    pub(crate) fn apply_relayed(&self, update: Update) {
        metrics::counter!("auburnline_configurations_told_total").increment(1);
        self.apply_configuration_change(update.revision, Some(update.configuration));
    }

    /// Applies all changes up to `until`, which were requested at `asked`, and sends them on to other gateways.
    pub fn apply_changes(
        &self,
        changes: Vec<(Revision, Change)>,
        until: Revision,
        asked: Monotonic,
    ) {
        self.set_generation(until.generation);
        let since = self.0.gateway().spread.revision().unwrap_or_default();
        let mut published = Vec::with_capacity(changes.len());
        for (revision, change) in changes {
            let change = match change {
                Change::Upstream(upstream) => spread::Change::Upstream(upstream),
                Change::Removed(id) => spread::Change::Removed(id),
                Change::Configuration(configuration) => {
                    self.apply_configuration_change(revision, configuration);
                    spread::Change::Configuration
                }
                Change::Evacuated(domain) => spread::Change::Evacuated(domain),
                Change::Returned(domain) => spread::Change::Returned(domain),
            };
            published.push((revision, change));
        }
        let has_changes = !published.is_empty();
        let new = self.0.gateway().spread.take(published, until);
        self.record_answer(asked);
        self.apply(new);
        if has_changes {
            self.0.push_changes(since);
        }
    }

    /// Records the generation that the store reports for itself. After a change, the whole state is read again.
    pub fn set_generation(&self, generation: Generation) {
        let mut gateway = self.0.gateway();
        let before = gateway.spread.revision();
        let is_other = gateway.spread.set_generation(generation);
        let version = gateway.version();
        drop(gateway);
        if is_other && before.is_some() {
            log::info!(target: "store", generation, before:?, version:?; "store was restored from a backup; reading the whole state again");
            metrics::counter!("auburnline_store_restores_total").increment(1);
        }
    }

    /// Records the generation of the store that another gateway knows. If it is newer, the whole state is read again.
    pub(crate) fn note_generation(&self, generation: Generation) {
        let mut gateway = self.0.gateway();
        let before = gateway.spread.revision();
        let is_news = gateway.spread.note_generation(generation);
        drop(gateway);
        if is_news {
            log::info!(target: "store", generation, before:?; "another gateway knows a newer generation of the store; reading the whole state again");
            self.0.source_wakeup.notify_one();
        }
    }

    /// Records that the store no longer has the changes after the known revision, so that the whole state is read again.
    pub fn require_full_read(&self) {
        log::info!(target: "store", "store no longer has the changes needed; reading the whole state again");
        self.0.gateway().spread.require_full_read();
    }

    /// Applies the answer of a gateway that reads the store.
    pub(crate) fn apply_answer(&self, answer: Answer) {
        self.note_generation(answer.until.generation);
        let mut gateway = self.0.gateway();
        let since = gateway.spread.revision().unwrap_or_default();
        let was_awaiting = gateway.spread.awaits_configuration();
        let has_more = gateway.spread.has_more(&answer);
        let (new, known_at) = gateway.spread.apply_answer(answer);
        let is_awaiting = gateway.spread.awaits_configuration();
        drop(gateway);
        if let Some(known_at) = known_at {
            self.record_known(known_at);
        }
        let has_changes = !new.is_empty();
        self.apply(new);
        if has_changes {
            self.0.push_changes(since);
        }
        if has_more || (is_awaiting && !was_awaiting) {
            gossip::query_informants(&self.0, self.now());
        }
        self.0.source_wakeup.notify_one();
    }

    /// Records that the store answered a request sent at `asked`.
    fn record_answer(&self, asked: Monotonic) {
        let mut gateway = self.0.gateway();
        gateway.roster.set_store_unreachable(false);
        gateway.spread.record_success();
        drop(gateway);
        self.record_known(asked);
    }

    /// Records that all changes up to `known_at` are known.
    fn record_known(&self, known_at: Monotonic) {
        let now = self.now();
        let mut gateway = self.0.gateway();
        let change = gateway.confirm(known_at, now);
        if change == freshness::Change::Regained {
            log_regained(&gateway, now);
        }
        drop(gateway);
        self.0.update_readiness();
    }

    /// Records that a request to the store failed; returns the delay before the next one.
    #[must_use]
    pub fn record_failure(&self, cause: &str) -> Duration {
        metrics::counter!("auburnline_store_failures_total").increment(1);
        let now = self.now();
        let mut gateway = self.0.gateway();
        let failure = gateway.record_store_failure(now);
        drop(gateway);
        if failure.is_first {
            let age_ms = millis(failure.age.unwrap_or_default());
            let is_told = failure.is_relayed;
            log::warn!(target: "store", cause, age_ms, is_told; "lost");
        }
        failure.pause
    }

    /// Puts a configuration in force if its version is newer, and keeps it for gateways that request it.
    fn apply_configuration(&self, revision: Revision, configuration: Configuration) {
        let table = Table::new(configuration.clone());
        let version = table.version();
        let mut gateway = self.0.gateway();
        gateway.spread.keep_configuration(Update {
            revision,
            configuration,
        });
        let before = gateway.version();
        let is_newer = gateway.set_table(table);
        drop(gateway);
        let outcome = if is_newer { "in_force" } else { "not_newer" };
        log::info!(target: "store", version, before:?, outcome; "configuration");
        metrics::counter!("auburnline_configuration_version").absolute(version);
        self.0.update_readiness();
        self.0.push_configuration();
    }

    fn apply(&self, changes: Vec<spread::Change>) {
        let changes = self.0.gateway().apply_changes(changes, self.now());
        self.log_applied(changes);
        self.expire();
    }

    fn log_applied(
        &self,
        (upstreams, evacuations): (Vec<upstream::Change>, Vec<evacuation::Change>),
    ) {
        self.0.upstreams_changed(upstreams);
        log_evacuations(&evacuations);
    }

    fn expire(&self) {
        let changes = self.0.expire();
        self.0.upstreams_changed(changes);
    }
}

/// Logs which failure domains are evacuated or no longer are.
fn log_evacuations(changes: &[evacuation::Change]) {
    for change in changes {
        let failure_domain = &*change.failure_domain;
        if change.is_evacuated {
            log::info!(target: "upstreams", failure_domain; "evacuating failure domain");
        } else {
            log::info!(target: "upstreams", failure_domain; "evacuation ended");
            record_evacuated_in_flight(failure_domain, 0);
        }
    }
}

/// Logs changes of the upstream pool.
pub(crate) fn log_changes(changes: &[upstream::Change]) {
    for change in changes {
        let (word, upstream) = match change {
            upstream::Change::Joined(upstream) => ("joined", upstream),
            upstream::Change::Leaving(upstream) => ("leaving", upstream),
            upstream::Change::Missing(upstream) => ("missing", upstream),
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
