//! Exchange with the configuration service.

use std::time::Duration;

use auburnline_core::hash::Digest;
use auburnline_core::hash::digest;
use auburnline_core::published::Section;
use auburnline_core::time::Monotonic;

use crate::head::Comparison;
use crate::head::Head;
use crate::parcel::Ticket;
use crate::parse;
use crate::readiness::Origin;
use crate::schedule::Outcome;
use crate::source::Source;
use crate::source::Value;
use crate::spread::Action;
use crate::spread::Spread;
use crate::staging::Staging;

/// Time without a message from any peer after which a process considers itself isolated.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(5);

impl Spread {
    pub(super) fn manifest(
        &mut self,
        ticket: Ticket,
        bytes: &Value,
        now: Monotonic,
        actions: &mut Vec<Action>,
    ) {
        let outcome = self.evaluate_manifest(bytes, now, actions);
        self.readiness.answered(Origin::Platform, ticket);
        self.read_ended(ticket, outcome, now);
    }

    fn evaluate_manifest(
        &mut self,
        bytes: &Value,
        now: Monotonic,
        actions: &mut Vec<Action>,
    ) -> Outcome {
        let Ok(manifest) = parse::manifest(bytes) else {
            let source = Source {
                manifest: bytes.clone(),
                ..Source::default()
            };
            self.offer(source, Origin::Platform, now, actions);
            return Outcome::Rejected;
        };
        let head = Head {
            revision: manifest.revision,
            digest: digest(bytes),
        };
        self.observe_head(&head, actions);
        if head.compare(self.acceptance.head()) == Comparison::Same {
            return Outcome::Same;
        }
        if !self.acceptance.wants(&head) {
            return Outcome::Rejected;
        }
        match self.staging.as_ref().map(|staging| &staging.head) {
            Some(staged) if *staged == head => return Outcome::Same,
            Some(staged) if staged.revision >= head.revision => return Outcome::Rejected,
            _ => {}
        }
        let in_force = self.acceptance.in_force().map(|checked| &**checked);
        let staging = Staging::new(head, manifest, bytes, in_force, now);
        let missing = staging.missing();
        self.staging = Some(staging);
        if missing.is_empty() {
            return self.finish_staging(now, actions);
        }
        let reads = missing.into_iter();
        actions.extend(reads.map(|(section, key)| Action::ReadSection(section, key)));
        Outcome::Newer
    }

    pub(super) fn section(
        &mut self,
        section: Section,
        bytes: Value,
        now: Monotonic,
        actions: &mut Vec<Action>,
    ) {
        let Some(staging) = &mut self.staging else {
            return;
        };
        if !staging.add(section, bytes) {
            staging.retry_later(section, now, &mut self.rng);
        } else if staging.missing().is_empty() {
            self.finish_staging(now, actions);
        }
    }

    pub(super) fn section_failed(&mut self, section: Section, now: Monotonic) {
        if let Some(staging) = &mut self.staging {
            staging.retry_later(section, now, &mut self.rng);
        }
    }

    /// Reads sections again whose read failed, or gives up the staged configuration past its
    /// deadline.
    pub(super) fn advance_staging(&mut self, now: Monotonic, actions: &mut Vec<Action>) {
        let Some(staging) = &mut self.staging else {
            return;
        };
        if staging.is_late(now) {
            self.give_up_staging(now);
            return;
        }
        let reads = staging.due(now).into_iter();
        actions.extend(reads.map(|(section, key)| Action::ReadSection(section, key)));
    }

    fn finish_staging(&mut self, now: Monotonic, actions: &mut Vec<Action>) -> Outcome {
        let Some(staging) = self.staging.take() else {
            return Outcome::Rejected;
        };
        self.offer(staging.into_source(), Origin::Platform, now, actions)
    }

    /// Gives up the staged configuration because of missing sections; the manifest is read again.
    fn give_up_staging(&mut self, now: Monotonic) {
        if self.staging.take().is_some() {
            self.schedule.retry(now, &mut self.rng);
        }
    }

    pub(super) fn read_ended(&mut self, ticket: Ticket, outcome: Outcome, now: Monotonic) {
        self.schedule.answered(ticket, outcome, now, &mut self.rng);
    }

    pub(super) fn call(&mut self, now: Monotonic, actions: &mut Vec<Action>) {
        let is_isolated = !self.sessions.any_heard(now, ISOLATION_TIMEOUT);
        let ticket = self.next_ticket;
        let call = self.schedule.due(ticket, is_isolated, now, &mut self.rng);
        let Some(call) = call else { return };
        self.allocate_ticket();
        actions.push(Action::ReadManifest {
            ticket: call.ticket,
            known: self.known_digest(),
            wait: call.wait,
        });
    }

    /// Returns the digest of the newest known manifest: the staged one, otherwise the one in force.
    fn known_digest(&self) -> Option<Digest> {
        let staged = self.staging.as_ref().map(|staging| &staging.head);
        let head = staged.or(self.acceptance.head());
        head.map(|head| head.digest.clone())
    }
}
