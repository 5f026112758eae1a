//! Whether an upstream crashed under a request, and what is made of that.
//!
//! A broken connection alone tells no crash: answers are lost on the way, too. An upstream whose address takes no connection
//! right after it broke one off is gone.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use auburnline_core::error::Kind;
use auburnline_gateway::message::Datagram;
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
use crate::tell::millis;

/// Longest wait for an address to take or refuse a connection; a caller waits for its next upstream meanwhile.
const LOOK: Duration = Duration::from_millis(100);
/// Gateways that are told at once of a request that is held back from now on; beats tell the others.
const MOST_TOLD: usize = 64;

impl Exchange {
    fn fingerprint(&self) -> Fingerprint {
        let arrival = &self.arrival;
        let key = arrival.call.key.as_deref();
        fingerprint(arrival.method.as_str(), &arrival.path, key, &arrival.body)
    }

    /// Returns the refusal of a request that crashes what runs it; none if it may be sent.
    pub(crate) fn hold_back(&self) -> Option<Refusal> {
        let gateway = self.shared.gateway();
        if gateway.quarantine.is_empty() {
            return None;
        }
        let held = gateway
            .quarantine
            .held_for(self.fingerprint(), self.shared.now())?;
        let refusal = Refusal::of(Kind::Quarantined, "it crashed the upstreams that ran it");
        Some(refusal.after(held))
    }

    /// Takes that the answer broke off: finds out whether the upstream crashed, and if so that this request ran there.
    pub(crate) async fn look_for_crash(&self, flight: &Flight) {
        let upstream = flight.target();
        if !is_gone(upstream.address).await {
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
            upstream = &*upstream.id,
            is_held;
            "upstream crashed"
        );
        counter!("auburnline_crashes_total").increment(1);
        if is_held {
            tell(&self.shared);
        }
    }

    /// Takes that the request was answered.
    pub(crate) fn clear(&self) {
        let now = self.shared.now();
        let mut gateway = self.shared.gateway();
        if !gateway.quarantine.is_empty() {
            gateway.quarantine.answered(self.fingerprint(), now);
        }
    }
}

/// Returns whether nobody takes connections at an address.
async fn is_gone(address: SocketAddr) -> bool {
    let connected = timeout(LOOK, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

/// Tells other gateways at once: the caller comes back to any of them.
fn tell(shared: &Shared) {
    let now = shared.now();
    let gateway = shared.gateway();
    let message = Datagram::Crashes(gateway.quarantine.marks(now));
    let others = gateway.roster.addresses(now, MOST_TOLD);
    drop(gateway);
    for other in others.into_iter().skip(1) {
        shared.tell(&message, other);
    }
}

/// Takes what another gateway tells.
pub(crate) fn hear(shared: &Shared, marks: &[Mark]) {
    let now = shared.now();
    let held = shared.gateway().quarantine.hear(marks, now);
    for request in held {
        let left = shared.gateway().quarantine.held_for(request, now);
        let left_ms = millis(left.unwrap_or_default());
        log::info!(target: "crashes", fingerprint = request, left_ms; "held back");
    }
}
