//! Detection of upstream crashes, and quarantine of the requests that cause them.
//!
//! A broken connection alone does not indicate a crash, since responses are also lost on the network. An upstream that
//! refuses connections right after it broke one is considered crashed.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use auburnline_core::error::Kind;
use auburnline_gateway::message::Datagram;
use auburnline_gateway::prompt::Part;
use auburnline_gateway::quarantine::Fingerprint;
use auburnline_gateway::quarantine::Mark;
use auburnline_gateway::quarantine::fingerprint;
use auburnline_gateway::quarantine::start_tag;
use auburnline_gateway::request::Refusal;
use metrics::counter;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::exchange::Exchange;
use crate::flight::Flight;
use crate::shared::Shared;
use crate::telemetry::millis;

/// Maximum time for an address to accept or refuse a connection; the caller's retry waits meanwhile.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of gateways, including this one, that know of a newly quarantined request immediately; the others learn of it
/// by gossip.
const MAX_NOTIFIED: usize = 64;

impl Exchange {
    fn fingerprint(&self) -> Fingerprint {
        let arrival = &self.arrival;
        let key = arrival.call.key.as_deref();
        fingerprint(arrival.method.as_str(), &arrival.path, key, &arrival.body)
    }

    /// Returns the refusal for a quarantined request; `None` if it may be sent.
    pub(crate) fn quarantine_refusal(&self) -> Option<Refusal> {
        let gateway = self.shared.gateway();
        if gateway.quarantine.is_empty() {
            return None;
        }
        let held = gateway
            .quarantine
            .held_for(self.fingerprint(), self.shared.now())?;
        let refusal = Refusal::new(
            Kind::Quarantined,
            "quarantined: it crashed the upstreams that executed it",
        );
        Some(refusal.with_retry_after(held))
    }

    /// Checks after a lost response whether the upstream has crashed, and if so records that this request was running there and
    /// had received `events`.
    pub(crate) async fn detect_crash(&self, flight: &Flight, events: u64) {
        let upstream = flight.target();
        if !refuses_connections(upstream.address).await {
            return;
        }
        let now = self.shared.now();
        let request = self.fingerprint();
        let mut gateway = self.shared.gateway();
        let is_held = gateway
            .quarantine
            .crashed(request, start_tag(upstream), now);
        drop(gateway);
        log::info!(
            target: "crashes",
            request = self.id(),
            fingerprint = request,
            parts:? = hex(&self.arrival.call.parts),
            events,
            upstream = &*upstream.id,
            is_held;
            "upstream crashed"
        );
        counter!("auburnline_crashes_total").increment(1);
        if is_held {
            notify_gateways(&self.shared);
        }
    }

    /// Records that the request was answered, which ends its suspicion.
    pub(crate) fn clear_suspicion(&self) {
        let now = self.shared.now();
        let mut gateway = self.shared.gateway();
        if !gateway.quarantine.is_empty() {
            gateway.quarantine.answered(self.fingerprint(), now);
        }
    }
}

/// Formats the ids of a prompt's parts for the log.
fn hex(parts: &[Part]) -> Vec<String> {
    parts.iter().map(|part| format!("{part:08x}")).collect()
}

/// Returns whether connections to an address are refused.
async fn refuses_connections(address: SocketAddr) -> bool {
    let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

/// Notifies other gateways immediately, since the caller may retry at any of them.
fn notify_gateways(shared: &Shared) {
    let now = shared.now();
    let gateway = shared.gateway();
    let message = Datagram::Crashes(gateway.quarantine.marks(now));
    let others = gateway.roster.addresses(now, MAX_NOTIFIED);
    drop(gateway);
    for other in others.into_iter().skip(1) {
        shared.send(&message, other);
    }
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
