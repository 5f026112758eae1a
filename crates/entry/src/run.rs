//! Wiring of the duties of an entry.

use std::io;
use std::process::ExitCode;
use std::sync::Arc;

use auburnline_caller as caller;
use auburnline_caller::command::Command;
use auburnline_duty::clock::Clock;
use auburnline_duty::logging;
use auburnline_duty::memory::Limit;
use auburnline_duty::metrics;
use auburnline_duty::ring;
use auburnline_duty::thread::Thread;
use auburnline_operator::Options;
use auburnline_peer::node;
use auburnline_process::board::Board;
use auburnline_process::descriptors;
use auburnline_process::incarnation;
use auburnline_process::reader;
use auburnline_process::signal;
use auburnline_settings::Entry;
use tokio::sync::oneshot;

use crate::answers::Answers;
use crate::event::Event;
use crate::state::State;
use crate::state::Ways;

/// Places of the ring of the deciding duty.
const EVENTS: usize = 65_536;
/// Places of the rings of orders.
const ORDERS: usize = 65_536;
/// Places of the ring of callers' commands.
const COMMANDS: usize = 16_384;

/// Runs an entry until it is told to stop and its work has ended.
#[must_use]
pub fn run(settings: Entry) -> ExitCode {
    match start(settings) {
        Ok(duty) => {
            let whole = duty.join();
            log::logger().flush();
            if whole {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(error) => {
            eprintln!("auburnline-entry: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Starts all duties and returns the deciding one, whose end is the process's.
fn start(settings: Entry) -> io::Result<Thread> {
    let decisions = logging::start(settings.limits.max_decisions)?;
    let recorder = metrics::install()?;
    let connections = descriptors::connections(settings.limits.max_connections)?;
    Limit::find(settings.limits.max_memory_mb)?;
    let clock = Clock::start();
    let incarnation = incarnation();
    let (events, inbox) = ring::bounded(EVENTS);
    let (peers, peer_orders) = ring::bounded(ORDERS);
    let (platform, platform_orders) = ring::bounded(ORDERS);
    let (commands, callers) = ring::bounded(COMMANDS);

    let listener = node::bind(settings.peer)?;
    let config = node::Config::new(settings.instance.clone(), incarnation)
        .heartbeat(settings.timing.heartbeat())
        .silence(settings.timing.silence());
    let answers = Answers::new(events.clone());
    Thread::start("peers", move || async move {
        if let Err(error) = node::run(config, listener, peer_orders, answers).await {
            log::error!(target: "entry", error:% = error; "peers' duty ended");
        }
    })?;
    let told = events.clone();
    reader::start(
        settings.platform,
        settings.timing.platform_timeout(),
        platform_orders,
        move |reading| {
            let _ = told.push(Event::Platform(reading));
        },
    )?;
    let (close, closed) = oneshot::channel();
    let served = serve(&settings, incarnation, commands, closed)?;
    let told = events.clone();
    signal::start(move || {
        let _ = told.push(Event::Stop);
    })?;
    let stop = move || events.push(Event::Drain).is_ok();
    let board = Arc::new(Board::new(decisions, recorder, stop));
    let operator = Options::new(settings.operator, settings.operator_token.secret())
        .max_connections(connections)
        .max_header_bytes(settings.limits.max_header_bytes)
        .start(board.clone(), logging::bridge())?;
    let ways = Ways {
        board,
        peers,
        platform,
        close,
        served,
    };
    Thread::start("decide", move || async move {
        let state = State::new(settings, clock, incarnation, ways);
        state.run(inbox, callers).await;
        drop(operator);
    })
}

/// Starts the callers' duty; it ends once it is told to close and its answers are out.
fn serve(
    settings: &Entry,
    incarnation: auburnline_core::id::Incarnation,
    commands: ring::Sender<Command>,
    closed: oneshot::Receiver<()>,
) -> io::Result<oneshot::Receiver<()>> {
    let config = caller::Config {
        address: settings.caller,
        max_body_bytes: settings.limits.max_body_bytes,
        incarnation,
    };
    let (started, start) = std::sync::mpsc::sync_channel(1);
    let (done, ended) = oneshot::channel();
    Thread::start("callers", move || async move {
        match caller::Server::start(config, commands) {
            Ok(server) => {
                let _ = started.send(Ok(()));
                let _ = closed.await;
                server.close().await;
                let _ = done.send(());
            }
            Err(error) => {
                let _ = started.send(Err(error));
            }
        }
    })?;
    let started = start.recv().map_err(io::Error::other)?;
    started.map_err(io::Error::other)?;
    Ok(ended)
}
