//! What a platform publishes, as it comes in and goes on to other gateways.

use std::rc::Rc;
use std::time::Duration;

use auburnline_core::time::Monotonic;
use auburnline_gateway::knowledge;
use auburnline_gateway::route::Content;
use auburnline_gateway::route::Table;
use auburnline_gateway::spread::Answer;
use auburnline_gateway::spread::Generation;
use auburnline_gateway::spread::Need;
use auburnline_gateway::spread::Published;
use auburnline_gateway::spread::Revision;
use auburnline_gateway::spread::Told;
use auburnline_gateway::upstream;
use auburnline_gateway::upstream::Upstream;
use auburnline_gateway::upstream::UpstreamId;
use tokio::time::timeout;

use crate::shared::Shared;
use crate::shared::tell_regained;
use crate::tell::millis;

/// Time between two looks whether there is something to read.
const LOOK: Duration = Duration::from_millis(300);
/// Time between two tries of a gateway that the store does not answer, while others read for it.
const PROBE: Duration = Duration::from_secs(2);
/// Age of knowledge up to which a failed call alone is no loss: others read for this gateway.
const STILL_TOLD: Duration = Duration::from_millis(2_500);

/// Reader of what a platform publishes; runs until the process ends.
pub trait Source {
    /// Reads and passes on what is published.
    fn run(self, feed: Feed) -> impl Future<Output = ()>;
}

/// One change, as a source reads it.
#[derive(Debug)]
pub enum Change {
    /// An upstream was written.
    Upstream(Upstream),
    /// An upstream was removed.
    Missing(UpstreamId),
    /// A configuration was written; none if it can't be understood.
    Configuration(Option<Content>),
}

/// All that is published.
#[derive(Debug)]
pub struct All {
    /// Revision before which nothing is missing.
    pub revision: Revision,
    /// Upstreams.
    pub upstreams: Vec<Upstream>,
    /// Configuration with the revision at which it was written.
    pub configuration: Option<(Revision, Content)>,
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

    /// Waits until there is something to read, and says what.
    pub async fn need(&self) -> Need {
        let mut waited = Duration::ZERO;
        loop {
            let need = self.0.gateway().need(self.now());
            if need != Need::Nothing {
                return need;
            }
            if waited >= PROBE && self.0.gateway().roster.is_cut() {
                let revision = self.0.gateway().spread.revision();
                return revision.map_or(Need::All, Need::Changes);
            }
            let _ = timeout(LOOK, self.0.news.notified()).await;
            waited += LOOK;
        }
    }

    /// Takes all that is published, as asked for at `asked`.
    pub fn all(&self, all: All, asked: Monotonic) {
        let written = all
            .configuration
            .as_ref()
            .map_or_else(Revision::default, |(revision, _)| *revision);
        if let Some((revision, content)) = all.configuration {
            self.take(revision, content);
        }
        self.enter(all.revision.generation);
        let now = self.now();
        let mut gateway = self.0.gateway();
        let changes = gateway.read_all(all.upstreams, all.revision, written, now);
        drop(gateway);
        self.0.upstreams_changed(changes);
        self.confirm(asked);
        self.expire();
        // Those who know an earlier generation learn of this one.
        self.0.push(Revision::default());
    }

    /// Takes a configuration written at `revision`.
    pub fn configuration(&self, revision: Revision, content: Option<Content>) {
        if let Some(content) = content {
            self.take(revision, content);
        }
        self.0.gateway().spread.read_configuration(revision);
    }

    /// Takes the configuration that another gateway tells.
    pub(crate) fn told(&self, told: Told) {
        metrics::counter!("auburnline_configurations_told_total").increment(1);
        self.configuration(told.revision, Some(told.content));
    }

    /// Takes changes up to `until`, as asked for at `asked`, and tells others.
    pub fn changes(&self, changes: Vec<(Revision, Change)>, until: Revision, asked: Monotonic) {
        self.enter(until.generation);
        let since = self.0.gateway().spread.revision().unwrap_or_default();
        let mut published = Vec::with_capacity(changes.len());
        for (revision, change) in changes {
            let change = match change {
                Change::Upstream(upstream) => Published::Upstream(upstream),
                Change::Missing(id) => Published::Missing(id),
                Change::Configuration(content) => {
                    self.configuration(revision, content);
                    Published::Configuration
                }
            };
            published.push((revision, change));
        }
        let is_news = !published.is_empty();
        let new = self.0.gateway().spread.take(published, until);
        self.confirm(asked);
        self.apply(new);
        if is_news {
            self.0.push(since);
        }
    }

    /// Takes that the store is of this generation, as it says itself.
    pub fn enter(&self, generation: Generation) {
        let mut gateway = self.0.gateway();
        let before = gateway.spread.revision();
        let is_other = gateway.spread.enter(generation);
        let version = gateway.version();
        drop(gateway);
        if is_other && before.is_some() {
            log::info!(target: "store", generation, before:?, version:?; "came back from a copy, reading all anew");
            metrics::counter!("auburnline_store_restores_total").increment(1);
        }
    }

    /// Takes that another gateway knows this generation of the store.
    pub(crate) fn hint(&self, generation: Generation) {
        let mut gateway = self.0.gateway();
        let before = gateway.spread.revision();
        let is_news = gateway.spread.hint(generation);
        drop(gateway);
        if is_news {
            log::info!(target: "store", generation, before:?; "told of another generation, reading all anew");
            self.0.news.notify_one();
        }
    }

    /// Takes that the changes after the known revision are gone.
    pub fn forget(&self) {
        log::info!(target: "store", "history gone, reading all anew");
        self.0.gateway().spread.forget();
    }

    /// Takes the answer of another gateway that reads the store.
    pub(crate) fn hear(&self, answer: Answer) {
        self.hint(answer.until.generation);
        let (new, known_at) = self.0.gateway().spread.hear(answer);
        if let Some(known_at) = known_at {
            self.know(known_at);
        }
        self.apply(new);
        self.0.news.notify_one();
    }

    /// Takes that a question asked at `asked` was answered by the store.
    fn confirm(&self, asked: Monotonic) {
        let mut gateway = self.0.gateway();
        gateway.roster.set_cut(false);
        gateway.spread.reach();
        drop(gateway);
        self.know(asked);
    }

    /// Takes that nothing older than `known_at` is unknown.
    fn know(&self, known_at: Monotonic) {
        let now = self.now();
        let mut gateway = self.0.gateway();
        let change = gateway.confirm(known_at, now);
        if change == knowledge::Change::Regained {
            tell_regained(&gateway, now);
        }
        drop(gateway);
        self.0.refresh();
    }

    /// Takes that a question to the store had no answer; returns when to ask it again.
    #[must_use]
    pub fn miss(&self, cause: &str) -> Duration {
        metrics::counter!("auburnline_store_failures_total").increment(1);
        let now = self.now();
        let mut gateway = self.0.gateway();
        let was_cut = gateway.roster.is_cut();
        gateway.roster.set_cut(true);
        let age = gateway.knowledge.age(now);
        let is_told = age.is_some_and(|age| age < STILL_TOLD);
        if !is_told {
            gateway.knowledge.miss();
        }
        let (_, is_reader) = gateway.roster.readers(now);
        let pause = gateway.spread.miss(is_reader);
        drop(gateway);
        if !was_cut {
            let age_ms = millis(age.unwrap_or_default());
            log::warn!(target: "store", cause, age_ms, is_told; "lost");
        }
        pause
    }

    /// Puts a configuration in force if it is newer, and keeps it for gateways that ask.
    fn take(&self, revision: Revision, content: Content) {
        let table = Table::new(content.clone());
        let version = table.version();
        let mut gateway = self.0.gateway();
        gateway.spread.keep(Told { revision, content });
        let before = gateway.version();
        let is_newer = gateway.set_table(table);
        drop(gateway);
        let outcome = if is_newer { "in_force" } else { "not_newer" };
        log::info!(target: "store", version, before:?, outcome; "configuration");
        metrics::counter!("auburnline_configuration_version").absolute(version);
        self.0.refresh();
    }

    fn apply(&self, changes: Vec<Published>) {
        let mut news = Vec::new();
        let mut gateway = self.0.gateway();
        for change in changes {
            match change {
                Published::Upstream(upstream) => news.extend(gateway.pool.insert(upstream)),
                Published::Missing(id) => gateway.pool.miss(&id),
                Published::Configuration => {}
            }
        }
        drop(gateway);
        self.0.upstreams_changed(news);
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
