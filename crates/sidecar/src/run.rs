//! A sidecar from its start to its end.

use std::io;

use auburnline_duty::logging;
use auburnline_duty::metrics;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::LocalSet;

use crate::engine::Engine;
use crate::settings::Settings;
use crate::sidecar::Sidecar;

/// Decisions kept for operators.
const DECISIONS: usize = 64;

/// Runs a sidecar until it is told to end.
///
/// # Errors
///
/// Returns the system's error if an address can't be had, or the logs or metrics can't start.
pub fn run<E: Engine + 'static>(settings: Settings, engine: E) -> io::Result<()> {
    logging::start_on(DECISIONS, io::stdout())?;
    let metrics = metrics::install()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = LocalSet::new();
    let outcome = local.block_on(&runtime, main(settings, engine, metrics));
    log::logger().flush();
    outcome
}

async fn main<E: Engine + 'static>(
    settings: Settings,
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
    let socket = UdpSocket::bind(settings.peers).await?;
    let listener = TcpListener::bind(settings.metrics).await?;
    let serving = auburnline_duty::scrape::serve(listener, metrics);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        () = Sidecar::new(settings, engine, socket).run() => {}
        () = serving => {}
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!(target: "process", reason = "signal"; "stop");
    Ok(())
}
