//! Gossip between gateways: periodic heartbeats, and handling of the datagrams received.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use auburnline_core::hash::stable;
use auburnline_core::time::Monotonic;
use auburnline_gateway::message::Beat;
use auburnline_gateway::message::Datagram;
use auburnline_gateway::neighbour::MAX_COUNTS;
use auburnline_gateway::neighbour::PERIOD;
use auburnline_gateway::route::ServiceId;
use auburnline_gateway::spread::Question;
use auburnline_lockstep::message::Digest;
use auburnline_lockstep::message::Forwarded;
use auburnline_lockstep::message::Message;
use auburnline_lockstep::traffic::MAX_FORWARDED;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use crate::crash;
use crate::limit;
use crate::shared::MAX_DATAGRAM_BYTES;
use crate::shared::Shared;
use crate::source::Feed;

/// Time between two ticks beyond which this process is considered to have been suspended.
const SUSPENSION_THRESHOLD: Duration = Duration::from_secs(1);

/// Heartbeats between two queries to the readers of the store: 0.6 s, so that the state known stays some seconds
/// younger than the revocation bound, and removals are known well within the draining bound.
const BEATS_PER_QUERY: u64 = 2;

/// Sends a heartbeat every [`PERIOD`] and handles messages as they arrive, for as long as the process runs.
pub(crate) async fn run(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    let mut rng = SmallRng::from_os_rng();
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
    let mut last = shared.now();
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                let now = shared.now();
                record_suspension(&shared, now.saturating_sub(last));
                last = now;
                tick(&shared, &mut rng);
            }
            received = socket.recv_from(&mut bytes) => match received {
                Ok((length, from)) => handle_message(&shared, &bytes[..length], from),
                Err(error) => log::debug!(target: "neighbours", cause = error.to_string().as_str(); "failed to receive datagram"),
            }
        }
    }
}

fn record_suspension(shared: &Shared, gap: Duration) {
    if gap > SUSPENSION_THRESHOLD {
        log::warn!(target: "neighbours", gap_ms = crate::telemetry::millis(gap); "process did not run for longer than expected");
        shared.gateway().roster.pause(gap);
    }
}

fn tick(shared: &Shared, rng: &mut SmallRng) {
    shared.update_readiness();
    shared.export_revisions();
    let changes = shared.expire();
    shared.upstreams_changed(changes);
    let now = shared.now();
    for change in shared.gateway().groups.look(now) {
        let silent_ms = crate::telemetry::millis(change.silent);
        log::info!(target: "groups", group = &*change.group, is_still = change.is_still, silent_ms; "group stall state changed");
    }
    let (beat, targets) = {
        let mut gateway = shared.gateway();
        gateway.tick(now);
        let counts = gateway.pool.counts(MAX_COUNTS);
        let beat = gateway.roster.beat(counts, now, rng);
        (beat, gateway.roster.targets(now, rng))
    };
    let beats = beat.from.beat;
    let message = Datagram::Beat(beat);
    let marks = shared.gateway().quarantine.marks(now);
    let crashes = (!marks.is_empty()).then_some(Datagram::Crashes(marks));
    let notices = shared.gateway().beat_limits(now);
    let limits = (!notices.is_empty()).then_some(Datagram::Limits(notices));
    let messages = [Some(message), crashes, limits];
    for target in targets {
        let present = messages.iter().flatten();
        present.for_each(|message| shared.send(message, target));
    }
    limit::lend(shared);
    request_newer_configuration(shared, now);
    let is_awaiting = shared.gateway().spread.awaits_configuration();
    if is_awaiting || beats.is_multiple_of(BEATS_PER_QUERY) {
        query_readers(shared, now);
    }
}

/// Requests a newer configuration from a gateway that has one in force, if the store or its readers are not expected to deliver
/// it.
fn request_newer_configuration(shared: &Shared, now: Monotonic) {
    let mut gateway = shared.gateway();
    let Some(ahead) = gateway.catch_up(now) else {
        return;
    };
    let version = gateway.version();
    drop(gateway);
    log::info!(target: "store", version:?, ahead:?; "configuration is older than another gateway's; requesting it");
    metrics::counter!("auburnline_configurations_behind_total").increment(1);
    shared.send(&Datagram::Behind(version), ahead);
}

/// Queries the readers of the store for changes, unless this gateway is one of them.
fn query_readers(shared: &Shared, now: Monotonic) {
    let mut gateway = shared.gateway();
    let (readers, is_reader) = gateway.roster.readers(now);
    if is_reader {
        return;
    }
    let question = gateway.spread.question(now);
    drop(gateway);
    let Some(question) = question else {
        return;
    };
    // Only one reader, in rotation, is asked for the configuration, which is by far the longest answer.
    let turn = usize::try_from(question.number).unwrap_or(0) % readers.len().max(1);
    for (index, reader) in readers.into_iter().enumerate() {
        let configuration = question.configuration.filter(|_| index == turn);
        let question = Question {
            configuration,
            ..question
        };
        shared.send(&Datagram::Question(question), reader);
    }
}

fn handle_message(shared: &Rc<Shared>, bytes: &[u8], from: SocketAddr) {
    match postcard::from_bytes(bytes) {
        Ok(Datagram::Beat(beat)) => {
            let is_back = shared.gateway().roster.is_back(&beat, shared.now());
            let is_back = is_back && beat.from.peers == from;
            handle_beat(shared, beat);
            if is_back {
                introduce(shared, from);
            }
        }
        Ok(Datagram::Introduction(beat)) => handle_beat(shared, beat),
        Ok(Datagram::MembersQuery(query)) => {
            let members = shared.gateway().members(&query, shared.now());
            shared.send(&Message::Members(members), from);
        }
        Ok(Datagram::Group(digest)) => handle_digest(shared, &digest),
        Ok(Datagram::Forwarded(Forwarded { to, digest })) => {
            handle_digest(shared, &digest);
            let message = Datagram::Group(digest);
            for gateway in to.into_iter().take(MAX_FORWARDED) {
                shared.send(&message, gateway);
            }
        }
        Ok(Datagram::Question(question)) => {
            Feed(Rc::clone(shared)).hint(question.revision.generation);
            shared.answer(question, from);
        }
        Ok(Datagram::Behind(version)) => {
            let told = shared.gateway().spread.newer(version).cloned();
            if let Some(told) = told {
                shared.send(&Datagram::Configuration(Box::new(told)), from);
            }
        }
        Ok(Datagram::Answer(answer)) => Feed(Rc::clone(shared)).apply_answer(answer),
        Ok(Datagram::Configuration(told)) => Feed(Rc::clone(shared)).apply_relayed(*told),
        Ok(Datagram::Crashes(marks)) => crash::merge_marks(shared, &marks),
        Ok(Datagram::Limits(notices)) => limit::merge_notices(shared, &notices, from),
        Ok(Datagram::Loan(loan)) => limit::accept_loan(shared, &loan, from),
        Ok(Datagram::LimitAsk(ask)) => limit::answer(shared, ask, from),
        Ok(Datagram::LimitReply(reply)) => limit::deliver_reply(shared, reply),
        Err(error) => {
            let cause = error.to_string();
            log::debug!(target: "neighbours", cause = cause.as_str(); "malformed message");
            metrics::counter!("auburnline_messages_malformed_total").increment(1);
        }
    }
}

fn handle_digest(shared: &Shared, digest: &Digest) {
    let now = shared.now();
    let heard = shared.gateway().hear(digest, now);
    if heard.has_slowed {
        shared.straggler_reported.notify_waiters();
    }
    if heard.is_changed {
        let (group, is_open) = (digest.group.as_str(), digest.is_open);
        log::info!(target: "groups", group, is_open, ranks = digest.engines.len(); "heard");
        let service = ServiceId::from(digest.service.as_str());
        shared.capacity_freed(&service).notify_waiters();
    }
}

fn handle_beat(shared: &Shared, beat: Beat) {
    let now = shared.now();
    let mut gateway = shared.gateway();
    for news in gateway.roster.hear(&beat, now) {
        log::info!(target: "neighbours", instance = &*news.instance, is_ready = news.is_ready; "heard");
    }
    let neighbour = stable(0, beat.from.instance.as_bytes());
    gateway.pool.set_elsewhere(neighbour, beat.counts, now);
    let waits_to_serve = gateway.waits_to_serve(now);
    drop(gateway);
    if waits_to_serve {
        request_newer_configuration(shared, now);
        shared.update_readiness();
    }
}

/// Sends a gateway that has just started or reappeared the state of this one and of some others, so that it need not wait for
/// their heartbeats.
fn introduce(shared: &Shared, to: SocketAddr) {
    let now = shared.now();
    let gateway = shared.gateway();
    let beat = gateway.introduction(now, &mut SmallRng::from_os_rng());
    drop(gateway);
    shared.send(&Datagram::Introduction(beat), to);
}
