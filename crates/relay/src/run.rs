//! A gateway from its start to its end.

use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use auburnline_duty::metrics;
use auburnline_duty::program;
use auburnline_duty::scrape;
use auburnline_gateway::Gateway;
use auburnline_gateway::message::Entry;
use auburnline_gateway::neighbour::Roster;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::beats;
use crate::callers;
use crate::clock::Clock;
use crate::dialect::Dialect;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::site;
use crate::site::Site;
use crate::source::Feed;
use crate::source::Source;

/// Part of the grace period for which a leaving gateway takes new connections: callers keep an answer
/// of discovery for seconds, and what they send then must still end within the period.
const TAKING_PART: f64 = 0.35;
/// Part of the grace period after which the process ends with whatever is open.
const LAST_PART: f64 = 0.95;
/// Time between two looks whether all is done.
const LOOK: Duration = Duration::from_millis(100);
/// Time between two looks at the settings file.
const SETTINGS_LOOK: Duration = Duration::from_secs(2);
/// Part of the descriptors that callers' connections may take; each needs another one upstream.
const CALLERS_PART: usize = 3;

/// Runs a gateway until it is told to end.
///
/// # Errors
///
/// Returns the system's error if an address can't be had, or the logs or metrics can't start.
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
        beat: 0,
        failure_domain: settings.failure_domain.as_str().into(),
        callers: settings.callers,
        peers: settings.peers,
        is_ready: false,
        is_cut: false,
        version: None,
    };
    let roster = Roster::new(entry, settings.seeds.clone());
    let domain = settings.failure_domain.as_str().into();
    let gateway = Gateway::new(domain, settings.bounds(), roster, incarnation);
    let shared = Rc::new(Shared::new(clock, gateway, dialect));
    log::info!(
        target: "process",
        instance = settings.instance.as_str(),
        failure_domain = settings.failure_domain.as_str(),
        package = env!("CARGO_PKG_VERSION"),
        incarnation,
        settings:?;
        "start"
    );
    let taking = listen(&shared, &settings, metrics).await?;
    spawn_local(source.run(Feed(Rc::clone(&shared))));
    spawn_local(watch_settings(
        Rc::clone(&shared),
        path.to_owned(),
        settings.clone(),
    ));
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    leave(&shared, Duration::from_millis(settings.grace_ms), &taking).await;
    log::info!(target: "process", open = shared.open(), reason = "signal"; "stop");
    Ok(())
}

/// Opens all addresses; returns the task that takes callers' connections.
async fn listen(
    shared: &Rc<Shared>,
    settings: &Settings,
    metrics: metrics::Handle,
) -> io::Result<tokio::task::JoinHandle<()>> {
    let callers = TcpListener::bind(settings.callers).await?;
    let socket = Rc::new(UdpSocket::bind(settings.peers).await?);
    shared.set_socket(Rc::clone(&socket));
    let site = Rc::new(Site {
        shared: Rc::clone(shared),
        longest: Duration::from_millis(settings.longest_answer_ms),
    });
    for address in [settings.readiness, settings.discovery] {
        let listener = TcpListener::bind(address).await?;
        spawn_local(site::listen(Rc::clone(&site), listener));
    }
    let listener = TcpListener::bind(settings.metrics).await?;
    spawn_local(scrape::serve(listener, metrics));
    spawn_local(beats::run(Rc::clone(shared), socket));
    let most = settings.descriptors / CALLERS_PART;
    Ok(spawn_local(callers::listen(
        Rc::clone(shared),
        callers,
        most,
    )))
}

/// Leaves: says so, takes new connections a while longer, and ends once all is answered.
async fn leave(shared: &Shared, grace: Duration, taking: &tokio::task::JoinHandle<()>) {
    log::info!(target: "process", open = shared.open(), grace_ms = crate::tell::millis(grace); "leaving");
    shared.leave();
    loop {
        let leaving_for = shared.leaving_for().unwrap_or_default();
        if leaving_for >= grace.mul_f64(TAKING_PART) {
            taking.abort();
            if shared.open() == 0 {
                return;
            }
        }
        if leaving_for >= grace.mul_f64(LAST_PART) {
            return;
        }
        sleep(LOOK).await;
    }
}

/// Takes changes of the settings file, told by a signal or not.
async fn watch_settings(shared: Rc<Shared>, path: PathBuf, mut known: Settings) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        log::error!(target: "process", "the signal to read the settings can't be waited for");
        return;
    };
    loop {
        let is_told = tokio::select! {
            told = hangup.recv() => told.is_some(),
            () = sleep(SETTINGS_LOOK) => false,
        };
        match auburnline_settings::read::<Settings>(&path) {
            Ok(settings) => {
                if is_told || known != settings {
                    log::info!(target: "process", is_told, settings:?; "reload");
                }
                let mut gateway = shared.gateway();
                gateway.set_bounds(settings.bounds());
                gateway.roster.set_seeds(settings.seeds.clone());
                drop(gateway);
                known = settings;
            }
            Err(error) => {
                let cause = format!("{error:?}");
                log::error!(target: "process", cause = cause.as_str(); "settings refused, the old ones hold");
            }
        }
    }
}
