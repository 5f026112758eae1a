//! Wiring of the duties of a slot.

use std::io;
use std::net::TcpListener;
use std::process::ExitCode;
use std::sync::Arc;

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
use auburnline_settings::Slot;

use crate::event::Event;
use crate::forward::Forward;
use crate::state::State;
use crate::state::Ways;
use crate::upstream;

/// Places of the ring of the deciding duty.
const EVENTS: usize = 16_384;
/// Places of the rings of orders.
const ORDERS: usize = 16_384;

/// Runs a slot until it is told to stop and its work has ended.
#[must_use]
pub fn run(settings: Slot) -> ExitCode {
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
            eprintln!("auburnline-slot: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Starts all duties and returns the deciding one, whose end is the process's.
fn start(settings: Slot) -> io::Result<Thread> {
    let decisions = logging::start(settings.limits.max_decisions)?;
    let recorder = metrics::install()?;
    let connections = descriptors::connections(settings.limits.max_connections)?;
    let memory = Limit::find(settings.limits.max_memory_mb)?;
    let lock = hold(&settings)?;
    let clock = Clock::start();
    let incarnation = incarnation();
    let (events, inbox) = ring::bounded(EVENTS);
    let (peers, peer_orders) = ring::bounded(ORDERS);
    let (upstream, upstream_orders) = ring::bounded(ORDERS);
    let (platform, platform_orders) = ring::bounded(ORDERS);

    let listener = node::bind(settings.peer)?;
    let config = node::Config::new(settings.instance.clone(), incarnation)
        .heartbeat(settings.timing.heartbeat())
        .silence(settings.timing.silence());
    let forward = Forward(events.clone());
    Thread::start("peers", move || async move {
        if let Err(error) = node::run(config, listener, peer_orders, forward).await {
            log::error!(target: "slot", error:% = error; "peers' duty ended");
        }
    })?;
    upstream::start(
        settings.upstream,
        settings.upstream_kind,
        settings.timing.upstream_silence(),
        upstream_orders,
        events.clone(),
    )?;
    let told = events.clone();
    reader::start(
        settings.platform,
        settings.timing.platform_timeout(),
        platform_orders,
        move |reading| {
            let _ = told.push(Event::Platform(reading));
        },
    )?;
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
        upstream,
        platform,
    };
    Thread::start("decide", move || async move {
        State::new(settings, memory, clock, incarnation, ways)
            .run(inbox)
            .await;
        drop(operator);
        drop(lock);
    })
}

/// Holds the local address that only one slot of this upstream can hold at a time.
fn hold(settings: &Slot) -> io::Result<TcpListener> {
    TcpListener::bind(settings.lock).map_err(|error| {
        let text = format!("another slot holds {}: {error}", settings.lock);
        io::Error::new(error.kind(), text)
    })
}
