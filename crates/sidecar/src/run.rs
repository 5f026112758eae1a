//! Process of a sidecar: start, signals and shutdown.

use std::io;
use std::path::Path;
use std::path::PathBuf;

use auburnline_duty::descriptors;
use auburnline_duty::memory::Limit;
use auburnline_duty::metrics;
use auburnline_duty::program;
use auburnline_duty::scrape;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::engine::Engine;
use crate::settings::Settings;
use crate::sidecar::Sidecar;

/// Descriptors for logs, messages, metrics, the runtime, and the connections to one engine.
const WANTED_DESCRIPTORS: usize = 256;
/// Minimum number of descriptors with which a sidecar can run.
const MIN_DESCRIPTORS: usize = 32;

/// Runs a sidecar until the process gets SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns the system's error if an address can't be bound, or if logging or metrics can't be started.
pub fn run<E: Engine + 'static>(settings: Settings, path: &Path, engine: E) -> io::Result<()> {
    program::run(|metrics| main(settings, path, engine, metrics))
}

async fn main<E: Engine + 'static>(
    settings: Settings,
    path: &Path,
    engine: E,
    metrics: metrics::Handle,
) -> io::Result<()> {
    log::info!(
        target: "process",
        instance = settings.instance.as_str(),
        failure_domain = settings.failure_domain.as_str(),
        package = env!("CARGO_PKG_VERSION"),
        settings:?;
        "start"
    );
    descriptors::raise(WANTED_DESCRIPTORS, MIN_DESCRIPTORS)?;
    Limit::find(settings.memory_mb)?;
    let socket = UdpSocket::bind(settings.peers).await?;
    let listener = TcpListener::bind(settings.metrics).await?;
    let serving = scrape::serve(listener, metrics);
    let reloading = reload(path.to_owned());
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        () = Sidecar::new(settings, engine, socket).run() => {}
        () = serving => {}
        () = reloading => {}
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!(target: "process", reason = "signal"; "stop");
    Ok(())
}

/// Reads and checks the settings again on SIGHUP. They take effect at the next start, since none of a sidecar's
/// settings can change while its engine runs.
async fn reload(path: PathBuf) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        log::error!(target: "process", "failed to install the SIGHUP handler; settings will not be reloaded");
        return std::future::pending().await;
    };
    while hangup.recv().await.is_some() {
        match auburnline_settings::read::<Settings>(&path) {
            Ok(settings) => log::info!(target: "process", settings:?; "reload"),
            Err(error) => {
                let cause = error.to_string();
                log::error!(target: "process", cause = cause.as_str(); "settings refused");
            }
        }
    }
}
