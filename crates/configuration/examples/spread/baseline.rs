//! Two simple policies to compare with: every process watches the service, or every process polls
//! it.

use std::time::Duration;

use auburnline_configuration::acceptance::Acceptance;
use auburnline_configuration::acceptance::Verdict;
use auburnline_configuration::checked::Checked;
use auburnline_configuration::head::Head;
use auburnline_configuration::parcel::Ticket;
use auburnline_configuration::schedule::Member;
use auburnline_configuration::schedule::WATCH_WAIT;
use auburnline_configuration::source::Source;
use auburnline_configuration::spread::Action;
use auburnline_configuration::spread::Event;
use auburnline_core::hash::digest;
use auburnline_core::published::Manifest;
use auburnline_core::published::Section;
use auburnline_core::time::Monotonic;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::support::simulation::Process;

/// Period of each process's reads when all poll, for the target of 1 s at p99.
pub(crate) const POLL_PERIOD: Duration = Duration::from_secs(1);

/// Mean delay before the next read after a failed one.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Process that reads from the service only and asks no peer.
pub(crate) struct Baseline {
    acceptance: Acceptance,
    source: Source,
    missing: Vec<Section>,
    /// Maximum time that a read waits for a change.
    wait: Duration,
    /// Time between two reads.
    period: Duration,
    next: Monotonic,
    ticket: Ticket,
    is_waiting: bool,
    rng: ChaCha8Rng,
}

impl Baseline {
    fn new(wait: Duration, period: Duration, seed: u64, now: Monotonic) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        Self {
            acceptance: Acceptance::default(),
            source: Source::default(),
            missing: Vec::new(),
            wait,
            period,
            next: now + Duration::from_secs(1).mul_f64(rng.random()),
            ticket: 0,
            is_waiting: false,
            rng,
        }
    }

    fn read(&mut self, now: Monotonic) -> Vec<Action> {
        if self.is_waiting || now < self.next || !self.missing.is_empty() {
            return Vec::new();
        }
        self.is_waiting = true;
        self.ticket += 1;
        self.next = now + self.period;
        vec![Action::ReadManifest {
            ticket: self.ticket,
            known: self.acceptance.head().map(|head| head.digest.clone()),
            wait: self.wait,
        }]
    }

    fn manifest(&mut self, bytes: &std::sync::Arc<[u8]>) -> Vec<Action> {
        self.is_waiting = false;
        let Ok(manifest) = serde_json::from_slice::<Manifest>(bytes) else {
            return Vec::new();
        };
        let head = Head {
            revision: manifest.revision,
            digest: digest(bytes),
        };
        if !self.acceptance.wants(&head) || !self.missing.is_empty() {
            return Vec::new();
        }
        let before = self.acceptance.in_force().cloned();
        let is_changed = |section: &Section| {
            let old = before.as_ref().map(|old| &old.manifest().sections);
            old.and_then(|old| old.get(section)) != manifest.sections.get(section)
        };
        self.source.manifest = bytes.clone();
        self.missing = Section::ALL.into_iter().filter(is_changed).collect();
        let reads = self.missing.iter().map(|&section| {
            let key = section.key(&manifest.sections[&section]);
            Action::ReadSection(section, key)
        });
        let reads: Vec<Action> = reads.collect();
        if reads.is_empty() {
            return self.offer();
        }
        reads
    }

    fn offer(&mut self) -> Vec<Action> {
        match self.acceptance.offer(self.source.clone()) {
            Verdict::Accepted(checked) => vec![Action::Install(checked)],
            _ => Vec::new(),
        }
    }
}

impl Process for Baseline {
    fn handle(&mut self, event: Event, now: Monotonic) -> Vec<Action> {
        let mut actions = match event {
            Event::Manifest(_, bytes) => self.manifest(&bytes),
            Event::Section(section, bytes) => {
                self.source.sections.insert(section, bytes);
                let before = self.missing.len();
                self.missing.retain(|&missing| missing != section);
                if before == 1 && self.missing.is_empty() {
                    self.offer()
                } else {
                    Vec::new()
                }
            }
            Event::ManifestFailed(_) | Event::SectionFailed(_) => {
                self.is_waiting = false;
                self.missing.clear();
                self.next = now + RETRY_DELAY.mul_f64(self.rng.random_range(0.5..1.5));
                Vec::new()
            }
            _ => Vec::new(),
        };
        actions.extend(self.read(now));
        actions
    }

    fn may_send(&self, _now: Monotonic) -> bool {
        false
    }

    fn head(&self) -> Option<Head> {
        self.acceptance
            .in_force()
            .map(|checked: &std::sync::Arc<Checked>| Head::of(checked))
    }
}

pub(crate) fn watches(_member: &Member, seed: u64, now: Monotonic) -> Box<dyn Process> {
    Box::new(Baseline::new(WATCH_WAIT, Duration::ZERO, seed, now))
}

pub(crate) fn polls(_member: &Member, seed: u64, now: Monotonic) -> Box<dyn Process> {
    Box::new(Baseline::new(Duration::ZERO, POLL_PERIOD, seed, now))
}
