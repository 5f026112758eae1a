//! Datagrams between gateways.

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
use auburnline_lockstep::traffic::MOST_PASSED_ON;
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

/// Time between two ticks from which on this process counts as having stood still.
const PAUSE: Duration = Duration::from_secs(1);

/// Beats after which the readers of the store are asked: 0.6 s, so that knowledge stays some seconds younger
/// than the bound on revocation, and removals are known well within the bound on draining.
const QUESTION_BEATS: u64 = 2;

/// Sends beats at a steady pace and takes those of others.
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
                tell_pause(&shared, now.saturating_sub(last));
                last = now;
                tick(&shared, &mut rng);
            }
            received = socket.recv_from(&mut bytes) => match received {
                Ok((length, from)) => hear(&shared, &bytes[..length], from),
                Err(error) => log::debug!(target: "neighbours", cause = error.to_string().as_str(); "no datagram"),
            }
        }
    }
}

fn tell_pause(shared: &Shared, gap: Duration) {
    if gap > PAUSE {
        log::warn!(target: "neighbours", gap_ms = crate::tell::millis(gap); "stood still");
        shared.gateway().roster.pause(gap);
    }
}

fn tick(shared: &Shared, rng: &mut SmallRng) {
    shared.refresh();
    shared.measure();
    let changes = shared.expire();
    shared.upstreams_changed(changes);
    let now = shared.now();
    for change in shared.gateway().groups.look(now) {
        let silent_ms = crate::tell::millis(change.silent);
        log::info!(target: "groups", group = &*change.group, is_still = change.is_still, silent_ms; "stillness");
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
        present.for_each(|message| shared.tell(message, target));
    }
    limit::lend(shared);
    catch_up(shared, now);
    let is_awaiting = shared.gateway().spread.awaits_configuration();
    if is_awaiting || beats.is_multiple_of(QUESTION_BEATS) {
        ask(shared, now);
    }
}

/// Asks a gateway that serves by a newer configuration for it.
fn catch_up(shared: &Shared, now: Monotonic) {
    let mut gateway = shared.gateway();
    let Some(ahead) = gateway.catch_up(now) else {
        return;
    };
    let version = gateway.version();
    drop(gateway);
    log::info!(target: "store", version:?, ahead:?; "behind another gateway");
    metrics::counter!("auburnline_configurations_behind_total").increment(1);
    shared.tell(&Datagram::Behind(version), ahead);
}

/// Asks the readers what changed, unless this gateway is one.
fn ask(shared: &Shared, now: Monotonic) {
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
    // Each in turn is asked for the configuration: it is by far the longest answer.
    let turn = usize::try_from(question.number).unwrap_or(0) % readers.len().max(1);
    for (index, reader) in readers.into_iter().enumerate() {
        let configuration = question.configuration.filter(|_| index == turn);
        let question = Question {
            configuration,
            ..question
        };
        shared.tell(&Datagram::Question(question), reader);
    }
}

fn hear(shared: &Rc<Shared>, bytes: &[u8], from: SocketAddr) {
    match postcard::from_bytes(bytes) {
        Ok(Datagram::Beat(beat)) => {
            let is_back = shared.gateway().roster.is_back(&beat, shared.now());
            let is_back = is_back && beat.from.peers == from;
            take(shared, beat);
            if is_back {
                introduce(shared, from);
            }
        }
        Ok(Datagram::Introduction(beat)) => take(shared, beat),
        Ok(Datagram::Ask(ask)) => {
            let members = shared.gateway().members(&ask, shared.now());
            shared.tell(&Message::Members(members), from);
        }
        Ok(Datagram::Group(digest)) => take_group(shared, &digest),
        Ok(Datagram::Forwarded(Forwarded { to, digest })) => {
            take_group(shared, &digest);
            let message = Datagram::Group(digest);
            for gateway in to.into_iter().take(MOST_PASSED_ON) {
                shared.tell(&message, gateway);
            }
        }
        Ok(Datagram::Question(question)) => {
            Feed(Rc::clone(shared)).hint(question.revision.generation);
            shared.answer(question, from);
        }
        Ok(Datagram::Behind(version)) => {
            let told = shared.gateway().spread.newer(version).cloned();
            if let Some(told) = told {
                shared.tell(&Datagram::Configuration(Box::new(told)), from);
            }
        }
        Ok(Datagram::Answer(answer)) => Feed(Rc::clone(shared)).hear(answer),
        Ok(Datagram::Configuration(told)) => Feed(Rc::clone(shared)).told(*told),
        Ok(Datagram::Crashes(marks)) => crash::hear(shared, &marks),
        Ok(Datagram::Limits(notices)) => limit::hear(shared, &notices, from),
        Ok(Datagram::Loan(loan)) => limit::hear_loan(shared, &loan, from),
        Ok(Datagram::LimitAsk(ask)) => limit::answer(shared, ask, from),
        Ok(Datagram::LimitReply(reply)) => limit::take_reply(shared, reply),
        Err(error) => {
            let cause = error.to_string();
            log::debug!(target: "neighbours", cause = cause.as_str(); "message not understood");
            metrics::counter!("auburnline_messages_malformed_total").increment(1);
        }
    }
}

fn take_group(shared: &Shared, digest: &Digest) {
    let now = shared.now();
    let heard = shared.gateway().hear(digest, now);
    if heard.has_slowed {
        shared.slowed.notify_waiters();
    }
    if heard.is_changed {
        let (group, is_open) = (digest.group.as_str(), digest.is_open);
        log::info!(target: "groups", group, is_open, ranks = digest.engines.len(); "heard");
        let service = ServiceId::from(digest.service.as_str());
        shared.place(&service).notify_waiters();
    }
}

fn take(shared: &Shared, beat: Beat) {
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
        catch_up(shared, now);
        shared.refresh();
    }
}

/// Tells a gateway that is back of this one and some others, so that it need not wait for their beats.
fn introduce(shared: &Shared, to: SocketAddr) {
    let now = shared.now();
    let gateway = shared.gateway();
    let word = gateway.introduction(now, &mut SmallRng::from_os_rng());
    drop(gateway);
    shared.tell(&Datagram::Introduction(word), to);
}
