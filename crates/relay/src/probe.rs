//! Questions to upstreams that show nothing, and what gateways tell each other of them.
//!
//! An attempt without an answer says little: its upstream may work on it, or its process may not run. One question at a time waits
//! at an upstream until it is answered, so that few bytes wait there however long it shows nothing.

use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use auburnline_core::time::Monotonic;
use auburnline_gateway::message::Datagram;
use auburnline_gateway::quarantine::StartTag;
use auburnline_gateway::quarantine::start_tag;
use auburnline_gateway::unread::Attempt;
use auburnline_gateway::unread::Silent;
use auburnline_gateway::upstream::Upstream;
use auburnline_http::Client;
use auburnline_http::Connection;
use auburnline_http::Failure;
use auburnline_http::bounded;
use bytes::Bytes;
use http::Method;
use http::Request;
use http_body_util::Full;
use metrics::counter;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::crash;
use crate::exchange::Exchange;
use crate::shared::Shared;
use crate::telemetry::millis;

/// Time in which an upstream whose process runs answers.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which what an upstream has shown tells that it reads.
const FRESH: Duration = Duration::from_millis(5);
/// Interval at which gateways are told that an upstream still shows nothing.
const RENEWAL: Duration = Duration::from_millis(300);
/// Time after which a question without an answer is asked again.
const MAX_WAIT: Duration = Duration::from_secs(10);
/// Extra time for an answer that came while this process did not run.
const READ_GRACE: Duration = Duration::from_millis(20);
/// Maximum number of gateways, including this one, that are told.
const MAX_NOTIFIED: usize = 64;

impl Exchange {
    /// Asks the upstream of an attempt whether it reads, once it has shown nothing for longer than is usual. Where it can't be
    /// asked it is avoided while the attempt waits. Never completes.
    pub(crate) async fn watch(&self, upstream: &Arc<Upstream>, sent: Monotonic) -> Infallible {
        let shared = &self.shared;
        let now = shared.now();
        let left = self.time_left();
        let age = shared.gateway().suspicion_age(&self.plan, left, now);
        if let Some(age) = age {
            let attempt = Attempt::new(upstream, sent);
            let mut wait = age + READ_GRACE;
            loop {
                sleep(wait).await;
                if !shared.gateway().is_unread(&attempt) {
                    break;
                }
                if can_ask(shared, upstream) {
                    ask(shared, upstream);
                    break;
                }
                record_silence(shared, upstream, sent);
                wait = RENEWAL;
            }
        }
        std::future::pending().await
    }

    /// Returns whether an upstream reads what is sent to it now. Another attempt that waits there unread would arrive late itself.
    pub(crate) async fn is_reading(&self, upstream: &Arc<Upstream>) -> bool {
        let shared = &self.shared;
        let began = shared.now();
        if self.is_known_to_read(upstream, began) {
            return true;
        }
        if !can_ask(shared, upstream) {
            return shared.gateway().may_try(upstream, began);
        }
        ask(shared, upstream);
        let answered = async {
            loop {
                let changed = shared.probe_ended.notified();
                if shared.gateway().has_shown(upstream, began) {
                    return true;
                }
                if shared.gateway().is_avoided(upstream, shared.now()) {
                    return false;
                }
                changed.await;
            }
        };
        bounded(ANSWER_TIMEOUT, answered).await.unwrap_or(false)
    }
}

impl Exchange {
    /// Returns whether a retry may be sent to an upstream without a question: it has just shown something, or the time of the
    /// request is not limited.
    fn is_known_to_read(&self, upstream: &Upstream, now: Monotonic) -> bool {
        let is_timed = !self.plan.route.kind.is_stream() && self.plan.engine.is_none();
        let since = now.saturating_sub(FRESH);
        !is_timed || self.shared.gateway().has_shown(upstream, since)
    }

    /// Records an attempt that is sent to an upstream.
    pub(crate) fn record_unread(&self, upstream: &Upstream, attempt: Attempt) {
        let is_retry = self.sends.get() > 1;
        let is_trial = is_retry
            && !self.is_known_to_read(upstream, attempt.sent)
            && !can_ask(&self.shared, upstream);
        let mut gateway = self.shared.gateway();
        gateway.record_sent(upstream, attempt.sent);
        if is_trial {
            gateway.record_trial(attempt);
        }
    }
}

/// Returns whether there is a path at which an upstream can be asked.
fn can_ask(shared: &Shared, upstream: &Upstream) -> bool {
    shared.gateway().health_path(&upstream.service).is_some()
}

/// Asks an upstream whether it reads, unless a question waits there or it can't be asked.
fn ask(shared: &Rc<Shared>, upstream: &Arc<Upstream>) {
    let path = shared.gateway().health_path(&upstream.service);
    let Some(path) = path else {
        return;
    };
    let start = start_tag(upstream);
    if !shared.probed.borrow_mut().insert(start) {
        return;
    }
    let (shared, upstream) = (Rc::clone(shared), Arc::clone(upstream));
    spawn_local(async move {
        probe(&shared, &upstream, &path).await;
        shared.probed.borrow_mut().remove(&start);
        shared.probe_ended.notify_waiters();
    });
}

/// Outcome of a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// The upstream showed something.
    Shown,
    /// Its process has ended.
    Ended,
    /// It showed nothing.
    Silent,
}

/// Asks an upstream until it shows something, or nobody has to know any more whether it does.
async fn probe(shared: &Shared, upstream: &Upstream, path: &str) {
    let client = shared.client(upstream);
    let began = shared.now();
    loop {
        let asked = shared.now();
        let outcome = question(shared, &client, upstream, path).await;
        let now = shared.now();
        match outcome {
            Outcome::Shown => {
                let was_avoided = shared.gateway().record_sign(upstream, asked, now);
                if was_avoided {
                    log_end(upstream, now.saturating_sub(began));
                }
                return;
            }
            Outcome::Ended => shared.gateway().record_end(upstream),
            Outcome::Silent => {}
        }
        if !is_awaited(shared, upstream) {
            return;
        }
    }
}

/// Returns whether it matters that an upstream reads: it is used, or retries are owed for what it may not have read.
fn is_awaited(shared: &Shared, upstream: &Upstream) -> bool {
    let gateway = shared.gateway();
    gateway.pool.is_ready(upstream) || gateway.owes(upstream)
}

/// Asks once. While the upstream shows nothing, it is avoided.
async fn question(shared: &Shared, client: &Client, upstream: &Upstream, path: &str) -> Outcome {
    let Some(request) = health_request(client, path) else {
        return Outcome::Silent;
    };
    let asked = shared.now();
    let mut answer = pin!(client.send_within(request, Connection::Fresh, MAX_WAIT));
    let mut wait = ANSWER_TIMEOUT;
    loop {
        match bounded(wait, answer.as_mut()).await {
            Ok(Err(report)) if *report.current_context() == Failure::NotSent => {
                record_silence(shared, upstream, asked);
                let has_ended = crash::refuses_connections(upstream.address).await;
                sleep(RENEWAL).await;
                return if has_ended {
                    Outcome::Ended
                } else {
                    Outcome::Silent
                };
            }
            // An answer, or a connection that it closed.
            Ok(_) if shared.now().saturating_sub(asked) < MAX_WAIT => return Outcome::Shown,
            Ok(_) => return Outcome::Silent,
            Err(_) => record_silence(shared, upstream, asked),
        }
        if !is_awaited(shared, upstream) {
            return Outcome::Silent;
        }
        wait = RENEWAL;
    }
}

fn health_request(client: &Client, path: &str) -> Option<Request<Full<Bytes>>> {
    let uri = client.uri(path).ok()?;
    let request = Request::builder().method(Method::GET).uri(uri);
    request.body(Full::default()).ok()
}

/// Records that an upstream has left a question unanswered, and tells other gateways.
fn record_silence(shared: &Shared, upstream: &Upstream, asked: Monotonic) {
    let now = shared.now();
    let mut gateway = shared.gateway();
    let is_new = gateway.record_silence(upstream, asked, now);
    let is_avoided = gateway.is_avoided(upstream, now);
    let owed = gateway.owed_retries();
    let others = gateway.roster.addresses(now, MAX_NOTIFIED);
    drop(gateway);
    shared.probe_ended.notify_waiters();
    if is_new {
        let unanswered_ms = millis(now.saturating_sub(asked));
        log::info!(target: "silence", upstream = &*upstream.id, unanswered_ms, owed; "upstream shows nothing");
        counter!("auburnline_silences_total", "from" => "own").increment(1);
    }
    if is_avoided {
        let silent = Datagram::Silent(Silent(vec![start_tag(upstream)]));
        shared.send_all(&[silent], &others[1..]);
    }
}

/// Applies what another gateway found silent.
pub(crate) fn hear(shared: &Shared, silent: &Silent) {
    let now = shared.now();
    let avoided = shared.gateway().hear_silence(silent, now);
    for start in avoided {
        log::info!(target: "silence", start = hex(start).as_str(); "told that an upstream shows nothing");
        counter!("auburnline_silences_total", "from" => "told").increment(1);
    }
}

/// Logs that an upstream shows something again.
pub(crate) fn log_end(upstream: &Upstream, silent: Duration) {
    let silent_ms = millis(silent);
    log::info!(target: "silence", upstream = &*upstream.id, silent_ms; "upstream shows something again");
}

fn hex(start: StartTag) -> String {
    format!("{start:016x}")
}
