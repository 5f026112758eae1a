//! Detection of upstream crashes, and quarantine of the requests and the parts of prompts that cause them.
//!
//! A broken connection alone does not indicate a crash, since responses are also lost on the network. An upstream that
//! refuses connections right after it broke one is considered crashed. What shows only later is in [`crate::suspect`].

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use auburnline_core::error::Kind;
use auburnline_core::time::Monotonic;
use auburnline_gateway::Gateway;
use auburnline_gateway::message::Datagram;
use auburnline_gateway::prompt::Part;
use auburnline_gateway::quarantine::Mark;
use auburnline_gateway::quarantine::part;
use auburnline_gateway::quarantine::part::Grounds;
use auburnline_gateway::quarantine::start_tag;
use auburnline_gateway::request::Refusal;
use auburnline_gateway::upstream::Change;
use auburnline_gateway::upstream::Upstream;
use http::StatusCode;
use metrics::counter;
use metrics::gauge;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::exchange::Exchange;
use crate::flight::Flight;
use crate::shared::Shared;
use crate::suspect::Attempt;
use crate::suspect::End;
use crate::telemetry::millis;

/// Maximum time for an address to accept or refuse a connection; the caller's retry waits meanwhile.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Extra time for an outcome that came while this process did not run.
const PROBE_GRACE: Duration = Duration::from_millis(20);
/// Interval at which attempts that their upstreams have outlived are forgotten.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of gateways, including this one, that know of a newly quarantined request immediately; the others learn of it
/// by gossip.
const MAX_NOTIFIED: usize = 64;

/// Why a request may not be sent.
enum Held {
    /// It crashed upstreams itself; it is held for this time.
    Request(Duration),
    /// Parts of its prompt crash upstreams.
    Parts(Grounds),
}

impl Exchange {
    fn parts(&self) -> Vec<Part> {
        self.arrival.parts()
    }

    /// Returns the refusal for a quarantined request, which it logs; `None` if the request may be sent.
    pub(crate) fn quarantine_refusal(&self) -> Option<Refusal> {
        let (reason, left) = match self.held()? {
            Held::Request(left) => (
                "quarantined: it crashed the upstreams that executed it",
                left,
            ),
            Held::Parts(grounds) => {
                log_held(self.id(), &grounds);
                (
                    "quarantined: a part of its prompt crashed the upstreams that ran it",
                    grounds.left,
                )
            }
        };
        Some(Refusal::new(Kind::Quarantined, reason).with_retry_after(left))
    }

    /// Returns whether the request is quarantined.
    pub(crate) fn is_quarantined(&self) -> bool {
        self.held().is_some()
    }

    fn held(&self) -> Option<Held> {
        let now = self.shared.now();
        let mut gateway = self.shared.gateway();
        if gateway.quarantine.is_empty() {
            return None;
        }
        let request = gateway.quarantine.held_for(self.arrival.fingerprint(), now);
        if let Some(left) = request {
            return Some(Held::Request(left));
        }
        let grounds = gateway.quarantine.parts_held(&self.parts(), now)?;
        let is_first = self.sends.get() == 0;
        if is_first && (self.is_trial.get() || self.takes_trial(&mut gateway, now)) {
            self.is_trial.set(true);
            return None;
        }
        Some(Held::Parts(grounds))
    }

    /// Returns whether the request is let through to try the parts that hold it again.
    fn takes_trial(&self, gateway: &mut Gateway, now: Monotonic) -> bool {
        let roster = &gateway.roster;
        let is_home = |parts: &[Part]| roster.is_home(&hex(parts).join(","), now);
        gateway.quarantine.take_trial(&self.parts(), now, is_home)
    }

    /// Checks after a lost response whether the upstream has crashed, and if so records that this request was running there,
    /// and how far its answer was. Otherwise the upstream may crash under it later.
    pub(crate) async fn detect_crash(&self, flight: &mut Flight) {
        let has_crashed = flight.has_crashed().await;
        let Some(attempt) = flight.take_suspect() else {
            return;
        };
        if !has_crashed {
            self.shared.suspect(attempt);
            return;
        }
        let now = self.shared.now();
        // The attempt that saw the crash goes first, since it dates the crash for the others.
        let mut attempts = vec![attempt];
        attempts.extend(self.shared.suspects.borrow_mut().take(flight.target(), now));
        record_crash(&self.shared, &attempts);
    }

    /// Records a whole answer with this status. Success ends the suspicion of the request and of the parts of its prompt at once.
    /// A rejection ends that of the request once the upstream has outlived it, since it may be followed by a crash.
    pub(crate) fn clear_suspicion(&self, status: StatusCode) {
        if !status.is_success() {
            return;
        }
        let now = self.shared.now();
        let request = self.arrival.fingerprint();
        self.arrival.is_answered.set(true);
        self.shared.suspects.borrow_mut().clear(request);
        let mut gateway = self.shared.gateway();
        if !gateway.quarantine.is_empty() {
            gateway.quarantine.answered(request, now);
        }
        self.clear_parts(&mut gateway, now);
    }

    /// Records that a request with the parts of the prompt had its whole answer, and logs the crashes that this clears.
    fn clear_parts(&self, gateway: &mut Gateway, now: Monotonic) {
        let quarantine = &mut gateway.quarantine;
        let parts = self.parts();
        let before = quarantine.known_crashes(&parts);
        let call = &self.arrival.call;
        quarantine.parts_answered(&call.parts, call.last_part, now);
        let known = quarantine.known_crashes(&parts);
        if known != before {
            log::info!(target: "crashes", request = self.id(), parts:? = hex(&parts), before:?, known:?; "crashes cleared");
            counter!("auburnline_cleared_crashes_total").increment(1);
        }
    }
}

impl Flight {
    /// Returns whether the upstream refuses connections right after it closed one.
    pub(crate) async fn has_crashed(&self) -> bool {
        refuses_connections(self.target().address).await
    }
}

/// Probes the upstreams of attempts that ended without success, and forgets attempts that their upstreams have outlived.
pub(crate) async fn run(shared: Rc<Shared>) {
    loop {
        let due = shared.suspects.borrow().next_probe();
        let wait = due.map_or(EXPIRY_INTERVAL, |due| due.saturating_sub(shared.now()));
        let _ = timeout(wait.min(EXPIRY_INTERVAL), shared.probe_scheduled.notified()).await;
        let now = shared.now();
        let probed = shared.suspects.borrow_mut().take_probes(now);
        for upstream in probed {
            spawn_local(probe(Rc::clone(&shared), upstream));
        }
        let outlived = shared.suspects.borrow_mut().expire(now);
        for attempt in outlived.iter().filter(|one| one.end == End::Rejected) {
            let mut gateway = shared.gateway();
            gateway.quarantine.answered(attempt.request, attempt.ended);
        }
    }
}

/// Checks whether an upstream has crashed under the attempts that ended there.
async fn probe(shared: Rc<Shared>, upstream: Arc<Upstream>) {
    let sent = shared.now();
    let has_crashed = refuses_connections(upstream.address).await;
    let now = shared.now();
    let mut suspects = shared.suspects.borrow_mut();
    if !has_crashed {
        suspects.record_no_crash(&upstream, sent);
        return;
    }
    let attempts = suspects.take(&upstream, now);
    drop(suspects);
    record_crash(&shared, &attempts);
}

/// Records which changes of the published list show a crash.
pub(crate) fn record_changes(shared: &Shared, changes: &[Change]) {
    let now = shared.now();
    for change in changes {
        let mut suspects = shared.suspects.borrow_mut();
        match change {
            Change::Leaving(upstream) => suspects.forget(upstream),
            Change::Missing(upstream) | Change::Gone(upstream) => suspects.remove(upstream, now),
            Change::Joined(upstream) => {
                let attempts = suspects.take_replaced(upstream, now);
                drop(suspects);
                record_crash(shared, &attempts);
            }
        }
    }
}

/// Records which attempts were running at one crash.
fn record_crash(shared: &Shared, attempts: &[Attempt]) {
    let mut has_held = false;
    for attempt in attempts {
        let start = start_tag(&attempt.upstream);
        let now = shared.now();
        let mut gateway = shared.gateway();
        let quarantine = &mut gateway.quarantine;
        let is_held = quarantine.crashed(attempt.request, start, attempt.ended);
        let held = quarantine.parts_crashed(&attempt.of_parts(), now);
        let parts = attempt.parts();
        let known = quarantine.known_crashes(&parts);
        drop(gateway);
        log::info!(
            target: "crashes",
            request = attempt.id.as_str(),
            fingerprint = attempt.request,
            parts:? = hex(&parts),
            known:?,
            stage:? = attempt.stage,
            upstream = &*attempt.upstream.id,
            start = format!("{start:016x}").as_str(),
            end:? = attempt.end,
            age_ms = millis(now.saturating_sub(attempt.ended)),
            is_held;
            "upstream crashed"
        );
        counter!("auburnline_crashes_total").increment(1);
        log_newly_held(shared, &held);
        has_held |= is_held || !held.is_empty();
    }
    if has_held {
        notify_gateways(shared);
    }
}

/// Formats the ids of a prompt's parts for the log.
fn hex(parts: &[Part]) -> Vec<String> {
    parts.iter().map(|part| format!("{part:08x}")).collect()
}

/// Returns whether connections to an address are refused.
pub(crate) async fn refuses_connections(address: SocketAddr) -> bool {
    let mut connecting = pin!(TcpStream::connect(address));
    let mut connected = timeout(PROBE_TIMEOUT, connecting.as_mut()).await;
    if connected.is_err() {
        // A process that did not run for a while finds its timers over and its sockets not yet read.
        connected = timeout(PROBE_GRACE, connecting).await;
    }
    let is_refused =
        matches!(&connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused);
    let outcome = match connected {
        Ok(Ok(_)) => "accepted",
        Ok(Err(_)) if is_refused => "refused",
        Ok(Err(_)) | Err(_) => "undecided",
    };
    counter!("auburnline_crash_probes_total", "outcome" => outcome).increment(1);
    is_refused
}

/// Notifies other gateways immediately, since the caller may retry at any of them.
fn notify_gateways(shared: &Shared) {
    let now = shared.now();
    let messages = messages(shared, now);
    if messages.is_empty() {
        return;
    }
    let others = shared.gateway().roster.addresses(now, MAX_NOTIFIED);
    shared.send_all(&messages, &others[1..]);
}

/// Returns what other gateways are told of crashes.
pub(crate) fn messages(shared: &Shared, now: Monotonic) -> Vec<Datagram> {
    let mut gateway = shared.gateway();
    let marks = gateway.quarantine.marks(now);
    let parts = gateway.quarantine.part_marks(now);
    let held = u32::try_from(gateway.quarantine.held_parts()).unwrap_or(u32::MAX);
    gauge!("auburnline_quarantined_parts").set(held);
    let marks = (!marks.is_empty()).then_some(Datagram::Crashes(marks));
    let parts = (!parts.is_empty()).then_some(Datagram::Parts(parts));
    marks.into_iter().chain(parts).collect()
}

/// Merges crash reports from another gateway, and logs the requests that are quarantined as a result.
pub(crate) fn merge_marks(shared: &Shared, marks: &[Mark]) {
    let now = shared.now();
    let held = shared.gateway().quarantine.merge(marks, now);
    for request in held {
        let left = shared.gateway().quarantine.held_for(request, now);
        let left_ms = millis(left.unwrap_or_default());
        log::info!(target: "crashes", fingerprint = request, left_ms; "request quarantined");
    }
}

/// Merges reports on parts of prompts from another gateway, and logs those that are quarantined as a result.
pub(crate) fn merge_parts(shared: &Shared, marks: &[part::Mark]) {
    let now = shared.now();
    let held = shared.gateway().quarantine.merge_parts(marks, now);
    log_newly_held(shared, &held);
}

fn log_newly_held(shared: &Shared, held: &[Vec<Part>]) {
    let now = shared.now();
    for parts in held {
        let grounds = shared.gateway().quarantine.parts_held(parts, now);
        let crashes = grounds.map(|grounds| describe(&grounds));
        log::info!(target: "crashes", parts:? = hex(parts), crashes:?; "parts quarantined");
    }
}

fn log_held(request: &str, grounds: &Grounds) {
    log::info!(
        target: "crashes",
        request,
        parts:? = hex(&grounds.parts),
        crashes:? = describe(grounds),
        left_ms = millis(grounds.left);
        "request held for its parts"
    );
}

/// Formats the crashes on which a verdict stands: start of the upstream, time since then, and how far its answers were.
fn describe(grounds: &Grounds) -> Vec<String> {
    let crashes = grounds.crashes.iter();
    let crashes = crashes.map(|crash| {
        let (start, age_ms) = (crash.upstream, millis(crash.age));
        format!("{start:016x} {age_ms} ms ago, {:?}", crash.stage)
    });
    crashes.collect()
}
