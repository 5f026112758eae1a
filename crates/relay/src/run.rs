//! Startup and operation of a gateway.

use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use auburnline_duty::descriptors;
use auburnline_duty::memory::Limit;
use auburnline_duty::metrics;
use auburnline_duty::program;
use auburnline_duty::scrape;
use auburnline_gateway::Gateway;
use auburnline_gateway::message::Entry;
use auburnline_gateway::neighbour::Roster;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::callers::Listening;
use crate::clock::Clock;
use crate::crash;
use crate::dialect::Dialect;
use crate::endpoints;
use crate::endpoints::Endpoints;
use crate::gossip;
use crate::memory::OWN_BYTES;
use crate::memory::REQUEST_BYTES;
use crate::room::Room;
use crate::settings::MIN_DESCRIPTORS;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::shutdown;
use crate::source::Feed;
use crate::source::Source;
use crate::transfer;

/// Interval at which the settings file is read again.
const SETTINGS_POLL: Duration = Duration::from_secs(2);
/// Descriptors for each caller that may be busy: one for its connection, one for that to its upstream, half of one for a caller
/// beyond these, and the rest for second attempts and probes.
const DESCRIPTORS_PER_CALLER: usize = 3;
/// Descriptors for logs, listeners, messages, metrics, the runtime, and connections to the store.
const OWN_DESCRIPTORS: usize = 24;
/// Part of the heap for callers that are busy, with what each of them may take in any case: one half.
const CALLERS_DIVISOR: usize = 2;
/// Divisor of the descriptors that gives the connections to the endpoints for readiness and discovery, and their least number.
const ENDPOINTS_DIVISOR: usize = 32;
const MIN_ENDPOINTS: usize = 4;

/// Runs a gateway until SIGTERM or SIGINT, and shuts it down gracefully.
///
/// # Errors
///
/// Returns an error if an address cannot be bound, or if logging, metrics or a signal handler cannot be set up.
pub fn run<S: Source + 'static>(
    settings: Settings,
    path: &Path,
    dialect: Rc<dyn Dialect>,
    source: S,
) -> io::Result<()> {
    program::run(|metrics| main(settings, path, dialect, source, metrics))
}

async fn main<S: Source + 'static>(
    settings: Settings,
    path: &Path,
    dialect: Rc<dyn Dialect>,
    source: S,
    metrics: metrics::Handle,
) -> io::Result<()> {
    let clock = Clock::start();
    let incarnation = rand::random::<u64>() | 1;
    let entry = Entry {
        instance: settings.instance.as_str().into(),
        incarnation,
        heartbeats: 0,
        failure_domain: settings.failure_domain.as_str().into(),
        callers: settings.callers,
        peers: settings.peers,
        is_ready: false,
        is_store_unreachable: false,
        version: None,
    };
    let roster = Roster::new(entry, settings.seeds.clone());
    let domain = settings.failure_domain.as_str().into();
    let mut gateway = Gateway::new(domain, settings.bounds(), roster, incarnation);
    gateway.set_features(settings.features.clone());
    let started = SystemTime::now().duration_since(UNIX_EPOCH);
    gateway.set_start_time(started.unwrap_or(Duration::MAX));
    log::info!(
        target: "process",
        instance = settings.instance.as_str(),
        failure_domain = settings.failure_domain.as_str(),
        package = env!("CARGO_PKG_VERSION"),
        incarnation,
        settings:?;
        "start"
    );
    let limit = descriptors::raise(settings.descriptors, MIN_DESCRIPTORS)?;
    let memory = Limit::find(settings.memory_mb)?;
    let rooms = Rooms::within(limit, memory);
    let shared = Rc::new(Shared::new(clock, gateway, dialect, rooms.callers, memory));
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let hangup = signal(SignalKind::hangup())?;
    let listening = listen(&shared, &settings, metrics, rooms.endpoints).await?;
    spawn_local(source.run(Feed(Rc::clone(&shared))));
    spawn_local(watch_settings(
        Rc::clone(&shared),
        path.to_owned(),
        settings.clone(),
        hangup,
    ));
    let unnoticed = shutdown::told_to_stop(&mut terminate, &mut interrupt).await;
    shutdown::leave(&shared, listening, settings.grace(), unnoticed).await;
    log::info!(target: "process", open = shared.room.open(), reason = "signal"; "stop");
    Ok(())
}

/// Binds all addresses and starts the servers.
async fn listen(
    shared: &Rc<Shared>,
    settings: &Settings,
    metrics: metrics::Handle,
    room: Rc<Room>,
) -> io::Result<Listening> {
    let callers = TcpListener::bind(settings.callers).await?;
    let peers = settings.peers_listen.unwrap_or(settings.peers);
    let socket = Rc::new(UdpSocket::bind(peers).await?);
    shared.set_socket(Rc::clone(&socket));
    let endpoints = Rc::new(Endpoints {
        shared: Rc::clone(shared),
        room,
        max_lifetime: settings.longest_answer(),
    });
    for address in [settings.readiness, settings.discovery] {
        let listener = TcpListener::bind(address).await?;
        spawn_local(endpoints::listen(Rc::clone(&endpoints), listener));
    }
    let listener = TcpListener::bind(settings.metrics).await?;
    spawn_local(scrape::serve(listener, metrics));
    spawn_local(gossip::run(Rc::clone(shared), socket));
    spawn_local(transfer::run(Rc::clone(shared)));
    spawn_local(crash::run(Rc::clone(shared)));
    Ok(Listening::start(Rc::clone(shared), callers))
}

/// Room for the connections to this gateway.
struct Rooms {
    callers: Rc<Room>,
    endpoints: Rc<Room>,
}

impl Rooms {
    /// Divides the descriptors and the memory that the process may have.
    fn within(descriptors: usize, memory: Limit) -> Rooms {
        let endpoints = (descriptors / ENDPOINTS_DIVISOR).max(MIN_ENDPOINTS);
        let callers =
            descriptors.saturating_sub(OWN_DESCRIPTORS + 2 * endpoints) / DESCRIPTORS_PER_CALLER;
        let callers = callers.min(memory.heap / CALLERS_DIVISOR / (REQUEST_BYTES + OWN_BYTES));
        Rooms {
            callers: Room::new(callers.max(1)),
            endpoints: Room::new(endpoints),
        }
    }
}

/// Applies changes of the settings file, on SIGHUP and on a timer.
async fn watch_settings(
    shared: Rc<Shared>,
    path: PathBuf,
    mut known: Settings,
    mut hangup: Signal,
) {
    loop {
        let is_told = tokio::select! {
            told = hangup.recv() => told.is_some(),
            () = sleep(SETTINGS_POLL) => false,
        };
        match auburnline_settings::read::<Settings>(&path) {
            Ok(settings) => {
                if is_told || known != settings {
                    log::info!(target: "process", is_told, settings:?; "reload");
                }
                let mut gateway = shared.gateway();
                gateway.set_bounds(settings.bounds());
                gateway.set_features(settings.features.clone());
                gateway.roster.set_seeds(settings.seeds.clone());
                drop(gateway);
                known = settings;
            }
            Err(error) => {
                let cause = format!("{error:?}");
                log::error!(target: "process", cause = cause.as_str(); "invalid settings; keeping the previous ones");
            }
        }
    }
}
