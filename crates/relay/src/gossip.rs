//! Gossip between gateways: periodic heartbeats, and handling of the datagrams received.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use auburnline_core::hash::stable;
use auburnline_core::time::Monotonic;
use auburnline_gateway::message::Datagram;
use auburnline_gateway::message::Heartbeat;
use auburnline_gateway::neighbour::HEARTBEAT_PERIOD;
use auburnline_gateway::neighbour::MAX_COUNTS;
use auburnline_gateway::neighbour::Update;
use auburnline_gateway::neighbour::reader::Role;
use auburnline_gateway::route::ServiceId;
use auburnline_gateway::settled;
use auburnline_gateway::spread::Query;
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
use crate::demand;
use crate::forecast;
use crate::limit;
use crate::probe;
use crate::shared::MAX_DATAGRAM_BYTES;
use crate::shared::Shared;
use crate::source::Feed;
use crate::transfer;

/// Time between two ticks beyond which this process is considered to have been suspended.
const SUSPENSION_THRESHOLD: Duration = Duration::from_secs(1);

/// Heartbeats between two queries of a follower: 0.6 s, so that the state known stays some seconds
/// younger than the revocation bound, and removals are known well within the draining bound.
const HEARTBEATS_PER_QUERY: u64 = 2;

/// Messages of one packet that are handled: more than any gateway sends together, so that a malformed packet causes few replies.
const MAX_MESSAGES: usize = 16;

/// Sends a heartbeat every [`HEARTBEAT_PERIOD`] and handles messages as they arrive, for as long as the process runs.
pub(crate) async fn run(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    let mut rng = SmallRng::from_os_rng();
    let mut ticks = interval(HEARTBEAT_PERIOD);
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
                Ok((length, from)) => handle_packet(&shared, &bytes[..length], from),
                Err(error) => log::debug!(target: "neighbours", cause = error.to_string().as_str(); "failed to receive datagram"),
            }
        }
    }
}

fn record_suspension(shared: &Shared, gap: Duration) {
    if gap > SUSPENSION_THRESHOLD {
        log::warn!(target: "neighbours", gap_ms = crate::telemetry::millis(gap); "process did not run for longer than expected");
        shared.gateway().roster.extend_timeouts(gap);
    }
}

fn tick(shared: &Shared, rng: &mut SmallRng) {
    shared.update_readiness();
    shared.export_revisions();
    shared.export_evacuations();
    shared.export_budget();
    let changes = shared.expire();
    shared.upstreams_changed(changes);
    let now = shared.now();
    for change in shared.gateway().groups.take_changes(now) {
        let silent_ms = crate::telemetry::millis(change.silent);
        log::info!(target: "groups", group = &*change.group, is_still = change.is_stalled, silent_ms; "group stall state changed");
    }
    let (heartbeat, targets) = {
        let mut gateway = shared.gateway();
        gateway.tick(now);
        let counts = gateway.pool.counts(MAX_COUNTS);
        let heartbeat = gateway.roster.next_heartbeat(counts, now, rng);
        (heartbeat, gateway.roster.targets(now, rng))
    };
    let heartbeats = heartbeat.from.heartbeats;
    let mut messages = vec![Datagram::Heartbeat(heartbeat)];
    messages.push(Datagram::News(shared.gateway().roster.news(now, rng)));
    let notices = shared.gateway().heartbeat_limits(now);
    messages.extend((!notices.is_empty()).then_some(Datagram::Limits(notices)));
    messages.extend(demand::tell(shared, now));
    messages.extend(forecast::message(shared, now));
    messages.extend(crash::messages(shared, now));
    messages.extend(shared.gateway().known_size(now).map(Datagram::FleetSize));
    shared.send_all(&messages, &targets);
    limit::lend(shared);
    ask_settled(shared, now, rng);
    request_newer_configuration(shared, now);
    let is_awaiting = shared.gateway().spread.awaits_configuration();
    // What a relay knows ages further on its way to the others.
    let is_relay = shared.gateway().roster.role(now) == Role::Relay;
    if is_awaiting || is_relay || heartbeats.is_multiple_of(HEARTBEATS_PER_QUERY) {
        query_informants(shared, now);
    }
}

/// Asks other gateways whether missing upstreams are gone, if this one can't tell.
fn ask_settled(shared: &Shared, now: Monotonic, rng: &mut SmallRng) {
    let Some((query, asked)) = shared.gateway().ask_settled(now, rng) else {
        return;
    };
    for gateway in asked {
        shared.send(&Datagram::SettledQuery(query), gateway);
    }
}

fn apply_settled(shared: &Shared, reply: settled::Reply, from: SocketAddr) {
    let Some(until) = shared.gateway().apply_settled(reply, from) else {
        return;
    };
    log::info!(target: "upstreams", until:?; "other gateways agree that missing upstreams are gone");
    let changes = shared.expire();
    shared.upstreams_changed(changes);
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
    shared.send(&Datagram::ConfigurationQuery(version), ahead);
}

/// Queries the gateways that inform this one for changes, unless it reads the store itself.
pub(crate) fn query_informants(shared: &Shared, now: Monotonic) {
    let mut gateway = shared.gateway();
    let informants = gateway.roster.informants(now);
    if informants.is_empty() {
        return;
    }
    let query = gateway.spread.query(now);
    drop(gateway);
    let Some(query) = query else {
        return;
    };
    // Only one of them, in rotation, is asked for the configuration, which is by far the longest answer.
    let turn = usize::try_from(query.number).unwrap_or(0) % informants.len().max(1);
    for (index, informant) in informants.into_iter().enumerate() {
        let configuration = query.configuration.filter(|_| index == turn);
        let query = Query {
            configuration,
            ..query
        };
        shared.send(&Datagram::Query(query), informant);
    }
}

/// Handles the messages of a packet one after the other, at most [`MAX_MESSAGES`].
fn handle_packet(shared: &Rc<Shared>, mut bytes: &[u8], from: SocketAddr) {
    for _ in 0..MAX_MESSAGES {
        if bytes.is_empty() {
            return;
        }
        match postcard::take_from_bytes(bytes) {
            Ok((message, rest)) => {
                bytes = rest;
                handle_message(shared, message, from);
            }
            Err(error) => {
                let cause = error.to_string();
                log::debug!(target: "neighbours", cause = cause.as_str(); "malformed message");
                metrics::counter!("auburnline_messages_malformed_total").increment(1);
                return;
            }
        }
    }
}

fn handle_message(shared: &Rc<Shared>, message: Datagram, from: SocketAddr) {
    match message {
        Datagram::Heartbeat(heartbeat) => {
            let needs_join_reply = shared
                .gateway()
                .roster
                .needs_join_reply(&heartbeat, shared.now());
            let needs_join_reply = needs_join_reply && heartbeat.from.peers == from;
            handle_heartbeat(shared, heartbeat);
            if needs_join_reply {
                send_join_reply(shared, from);
            }
        }
        Datagram::JoinReply(heartbeat) => handle_heartbeat(shared, heartbeat),
        Datagram::MembersQuery(query) => {
            let members = shared.gateway().members(&query, shared.now());
            shared.send(&Message::Members(members), from);
        }
        Datagram::Group(digest) => handle_digest(shared, &digest),
        Datagram::Forwarded(Forwarded { to, digest }) => {
            handle_digest(shared, &digest);
            let message = Datagram::Group(digest);
            let to = &to[..to.len().min(MAX_FORWARDED)];
            shared.send_all(&[message], to);
        }
        Datagram::Query(query) => {
            Feed(Rc::clone(shared)).note_generation(query.revision.generation);
            let replies = shared.gateway().answer_query(query, from, shared.now());
            for reply in replies {
                shared.send(&reply, from);
            }
        }
        Datagram::ConfigurationQuery(version) => {
            let update = shared
                .gateway()
                .spread
                .configuration_newer_than(version)
                .cloned();
            if let Some(update) = update {
                shared.send(&Datagram::Configuration(Box::new(update)), from);
            }
        }
        Datagram::Answer(answer) => Feed(Rc::clone(shared)).apply_answer(answer),
        Datagram::Configuration(update) => Feed(Rc::clone(shared)).apply_relayed(*update),
        Datagram::Crashes(marks) => crash::merge_marks(shared, &marks),
        Datagram::Limits(notices) => limit::merge_notices(shared, &notices, from),
        Datagram::Loan(loan) => limit::accept_loan(shared, &loan, from),
        Datagram::PermitRequest(request) => limit::answer(shared, request, from),
        Datagram::PermitReply(reply) => limit::deliver_reply(shared, reply),
        Datagram::SettledQuery(query) => {
            let reply = shared.gateway().reply_settled(query, shared.now());
            shared.send(&Datagram::SettledReply(reply), from);
        }
        Datagram::SettledReply(reply) => apply_settled(shared, reply, from),
        Datagram::News(news) => {
            let requested = shared.gateway().roster.apply_news(&news, shared.now());
            if !requested.is_empty() {
                shared.send(&Datagram::EntriesQuery(requested), from);
            }
        }
        Datagram::EntriesQuery(requested) => {
            let now = shared.now();
            let entries = shared.gateway().roster.entries(&requested, now);
            if !entries.is_empty() {
                shared.send(&Datagram::Entries(entries), from);
            }
        }
        Datagram::Entries(entries) => {
            let updates = shared
                .gateway()
                .roster
                .apply_entries(&entries, shared.now());
            log_updates(&updates);
        }
        Datagram::TransferQuery(query) => transfer::answer(shared, &query, from),
        Datagram::TransferReply(reply) => transfer::receive(shared, reply, from),
        Datagram::Demand(reports) => {
            let now = shared.now();
            shared.gateway().receive_demand(&reports, from, now);
        }
        Datagram::Forecasts(records) => forecast::merge(shared, &records),
        Datagram::Parts(marks) => crash::merge_parts(shared, &marks),
        Datagram::Silent(silent) => probe::hear(shared, &silent),
        Datagram::FleetSize(size) => shared.gateway().roster.receive_size(size, shared.now()),
    }
}

fn handle_digest(shared: &Shared, digest: &Digest) {
    let now = shared.now();
    let heard = shared.gateway().apply_digest(digest, now);
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

fn handle_heartbeat(shared: &Shared, heartbeat: Heartbeat) {
    let now = shared.now();
    let mut gateway = shared.gateway();
    let updates = gateway.roster.receive(&heartbeat, now);
    log_updates(&updates);
    let neighbour = stable(0, heartbeat.from.instance.as_bytes());
    gateway
        .pool
        .set_neighbour_counts(neighbour, heartbeat.counts, now);
    let awaits_peers = gateway.awaits_peers(now);
    drop(gateway);
    if awaits_peers {
        request_newer_configuration(shared, now);
        shared.update_readiness();
    }
}

fn log_updates(updates: &[Update]) {
    for update in updates {
        log::info!(target: "neighbours", instance = &*update.instance, is_ready = update.is_ready; "heard");
    }
}

/// Sends a gateway that has just started or reappeared the state of this one, of some others and of the groups, so that it need
/// not wait for their messages.
fn send_join_reply(shared: &Shared, to: SocketAddr) {
    let now = shared.now();
    let gateway = shared.gateway();
    let heartbeat = gateway.join_reply(now, &mut SmallRng::from_os_rng());
    let reports = gateway.groups.recent_reports(now).cloned();
    let reports: Vec<Datagram> = reports.map(Datagram::Group).collect();
    let size = gateway.known_size(now).map(Datagram::FleetSize);
    drop(gateway);
    let replies: Vec<Datagram> = std::iter::once(Datagram::JoinReply(heartbeat))
        .chain(size)
        .chain(crash::messages(shared, now))
        .collect();
    shared.send_all(&replies, &[to]);
    for report in reports {
        shared.send(&report, to);
    }
}
