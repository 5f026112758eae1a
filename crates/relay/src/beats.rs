//! Datagrams between gateways.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use auburnline_core::hash::stable;
use auburnline_gateway::neighbour::Beat;
use auburnline_gateway::neighbour::Datagram;
use auburnline_gateway::neighbour::MAX_COUNTS;
use auburnline_gateway::neighbour::PERIOD;
use auburnline_lockstep::message::Ask;
use auburnline_lockstep::message::Message;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use crate::shared::Shared;

/// Largest beat, in bytes: what a datagram carries without being split badly, and more than any
/// gateway sends.
const MAX_BEAT_BYTES: usize = 8 << 10;
/// Time between two ticks from which on this process counts as having stood still.
const PAUSE: Duration = Duration::from_secs(1);

/// Sends beats at a steady pace and takes those of others.
pub(crate) async fn run(shared: Rc<Shared>, socket: UdpSocket) {
    let mut rng = SmallRng::from_os_rng();
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut bytes = vec![0; MAX_BEAT_BYTES];
    let mut last = shared.now();
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                let now = shared.now();
                tell_pause(&shared, now.saturating_sub(last));
                last = now;
                tick(&shared, &socket, &mut rng).await;
            }
            received = socket.recv_from(&mut bytes) => match received {
                Ok((length, from)) => hear(&shared, &socket, &bytes[..length], from).await,
                Err(error) => log::debug!(target: "neighbours", cause = error.to_string().as_str(); "no datagram"),
            }
        }
    }
}

fn tell_pause(shared: &Shared, gap: Duration) {
    if gap > PAUSE {
        log::warn!(target: "neighbours", gap_ms = crate::exchange::millis(gap); "stood still");
        shared.gateway().roster.pause(gap);
    }
}

async fn tick(shared: &Shared, socket: &UdpSocket, rng: &mut SmallRng) {
    shared.refresh();
    let changes = shared.expire();
    shared.upstreams_changed(changes);
    let now = shared.now();
    let (beat, targets) = {
        let mut gateway = shared.gateway();
        gateway.tick(now);
        let counts = gateway.pool.counts(MAX_COUNTS);
        let beat = gateway.roster.beat(counts, now, rng);
        (beat, gateway.roster.targets(now, rng))
    };
    let Ok(bytes) = postcard::to_stdvec(&Datagram::Beat(beat)) else {
        log::error!(target: "neighbours", "a beat can't be written");
        return;
    };
    for target in targets {
        if let Err(error) = socket.send_to(&bytes, target).await {
            let cause = error.to_string();
            log::debug!(target: "neighbours", cause = cause.as_str(); "beat not sent");
        }
    }
}

async fn hear(shared: &Shared, socket: &UdpSocket, bytes: &[u8], from: SocketAddr) {
    let beat = match postcard::from_bytes(bytes) {
        Ok(Datagram::Beat(beat)) => beat,
        Ok(Datagram::Ask(ask)) => return answer(shared, socket, &ask, from).await,
        Err(error) => {
            let cause = error.to_string();
            log::debug!(target: "neighbours", cause = cause.as_str(); "beat not understood");
            metrics::counter!("auburnline_beats_malformed_total").increment(1);
            return;
        }
    };
    take(shared, beat);
}

/// Answers a sidecar.
async fn answer(shared: &Shared, socket: &UdpSocket, ask: &Ask, from: SocketAddr) {
    let members = shared.gateway().members(ask);
    let Ok(bytes) = postcard::to_stdvec(&Message::Members(members)) else {
        log::error!(target: "neighbours", "an answer can't be written");
        return;
    };
    if let Err(error) = socket.send_to(&bytes, from).await {
        let cause = error.to_string();
        log::debug!(target: "neighbours", cause = cause.as_str(); "answer not sent");
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
}
