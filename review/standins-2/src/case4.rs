//! MAP: a standby that is killed forgets that it ended a hold, and arms its rank for the pass that was held.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::Verdict;
use crate::group;
use crate::group::Group;
use crate::http;
use crate::process;
use crate::process::Program;
use crate::process::address;
use crate::record::Record;
use crate::store::Store;

/// Ranks of the group.
const RANKS: u8 = 4;
/// Host of the first rank; the others follow.
const FIRST_HOST: u8 = 10;
const GATEWAY_HOST: u8 = 2;
/// Clients that send one stream after the other.
const CLIENTS: usize = 8;
/// Events of a stream.
const EVENTS: u64 = 28;
/// How long the leader's machine stands still, its engine too: less than the time after which a group gives up a rank
/// (`stall_ms`, 1.5 s). The site's largest dose is 4 s.
const FREEZE: Duration = Duration::from_millis(1_200);
/// When two sidecars are killed, after the first hold.
const KILL_AT: Duration = Duration::from_millis(2_500);
/// For how long each of them is down; the site's largest dose of herd_kill is 2 s.
const DOWN: [Duration; 2] = [Duration::from_millis(500), Duration::from_millis(2_000)];
/// When clients come back, after the first hold.
const BACK_AT: Duration = Duration::from_millis(3_900);
/// For how long they send then.
const LAST: Duration = Duration::from_secs(4);
/// Time within which the group has to be held for the first time.
const HOLD_TIMEOUT: Duration = Duration::from_secs(40);

pub fn play(work: &Path, record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    run(work, record, has_trouble).map_err(|error| error.to_string())?
}

fn run(
    work: &Path,
    record: &Record,
    has_trouble: bool,
) -> std::io::Result<Result<Verdict, String>> {
    let network = process::network();
    let (store, store_address) = Store::start(address(network, 3, 0))?;
    let engines: Vec<_> = (0..RANKS)
        .map(|rank| address(network, FIRST_HOST + rank, 8228))
        .collect();
    let group = Group::start(&engines, EVENTS, record)?;
    store.put("op/config", Some(&configuration()));
    for (rank, engine) in engines.iter().enumerate() {
        store.put(
            &format!("servers/i-{rank}"),
            Some(&json!({"service": group::SERVICE, "address": engine, "zone": "milimani", "version": "v1", "slots": 12,
                         "state": "ready", "warmup-left-ms": 0, "sequence": 0})),
        );
    }
    let seed = address(network, GATEWAY_HOST, 8229);
    let settings = process::gateway_settings(network, GATEWAY_HOST, store_address, &[seed]);
    let _gateway = Program::start("auburnline-gateway", work, "gateway", &settings)?;
    let mut sidecars = Vec::new();
    for rank in 0..RANKS {
        let host = FIRST_HOST + rank;
        let settings = process::sidecar_settings(network, host, &[seed], group::SERVICE);
        let file = format!("sidecar-{rank}");
        sidecars.push(Program::start(
            "auburnline-sidecar",
            work,
            &file,
            &settings,
        )?);
    }
    if !process::wait_until_ready(network, GATEWAY_HOST) {
        return Ok(Err("the gateway isn't ready".to_owned()));
    }
    thread::sleep(Duration::from_secs(2));

    let (sender, held) = channel();
    let is_paused = Arc::new(AtomicBool::new(false));
    let (leader, pause, log) = (sidecars[0].id(), Arc::clone(&is_paused), record.clone());
    let engines = group.clone();
    group.on_hold(move || {
        pause.store(true, Ordering::SeqCst);
        if has_trouble {
            process::signal(leader, "-STOP");
            engines.set_frozen(0, true);
            log.add("node_freeze: the machine of rank 0 stands still");
        }
        let _ = sender.send(Instant::now());
    });
    let callers = address(network, GATEWAY_HOST, 8227);
    for client in 0..CLIENTS {
        let (is_paused, record) = (Arc::clone(&is_paused), record.clone());
        thread::spawn(move || send(client, callers, &is_paused, &record));
    }
    let Ok(at) = held.recv_timeout(HOLD_TIMEOUT) else {
        return Ok(Err("the group was never held".to_owned()));
    };
    let wait =
        |time: Duration| thread::sleep((at + time).saturating_duration_since(Instant::now()));
    if has_trouble {
        wait(FREEZE);
        group.set_frozen(0, false);
        process::signal(leader, "-CONT");
        record.add("the machine of rank 0 goes on");
        wait(KILL_AT);
        record.add(&format!(
            "group: {:?}, busy: {}",
            group.look(),
            group.is_busy()
        ));
        sidecars[1].kill();
        sidecars[2].kill();
        record.add("herd_kill: the sidecars of ranks 1 and 2 are killed");
        wait(KILL_AT + DOWN[0]);
        sidecars[1].start_again()?;
        record.add("the sidecar of rank 1 starts again");
    }
    wait(BACK_AT);
    record.add(&format!(
        "clients come back; group: {:?}, busy: {}",
        group.look(),
        group.is_busy()
    ));
    group.resume();
    is_paused.store(false, Ordering::SeqCst);
    if has_trouble {
        wait(KILL_AT + DOWN[1]);
        sidecars[2].start_again()?;
        record.add("the sidecar of rank 2 starts again");
    }
    wait(BACK_AT + LAST);
    is_paused.store(true, Ordering::SeqCst);
    let (mixed, passes) = group.verdict();
    record.add(&format!(
        "{passes} passes began, {} of them on different maps",
        mixed.len()
    ));
    Ok(Ok(if mixed.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }))
}

/// Sends one stream after the other, but for a pause.
fn send(client: usize, to: std::net::SocketAddr, is_paused: &AtomicBool, record: &Record) {
    for number in 0.. {
        while is_paused.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
        let id = format!("c{client}-{number}");
        let headers = format!(
            "Host: desk.example\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\nX-Token-Usage: 800,140\r\n\
             X-Prompt-Prefix: 5c1e07a2:40,{client:x}{number:05x}:760\r\nX-Deadline-Ms: 8000\r\nX-Credential: key-1\r\n"
        );
        let answer = http::call(
            to,
            "POST /draft/1",
            &headers,
            b"notes",
            Duration::from_secs(9),
        );
        let told = answer.map(|answer| (answer.status(), answer.is_whole));
        record.add(&format!("client {client}: {id} -> {told:?}"));
        thread::sleep(Duration::from_millis(20));
    }
}

fn configuration() -> serde_json::Value {
    json!({
        "version": 3,
        "routes": [{"name": "schedule-clause", "host": "desk.example", "prefix": "/draft/", "kind": "streaming",
                    "timeout-ms": 8000, "slo-ms": 400, "gap-target-ms": 120, "priority": 1, "service": group::SERVICE,
                    "max-attempts": 2, "resumable": true, "sticky": true}],
        "services": [{"name": group::SERVICE, "max-conns": 408, "health-path": "/health", "engine": {
            "slots": 12, "step_ms": 5.85, "stride": 5, "per_seq_ms": 2.0, "context_per_k": 0.036, "read_per_s": 61200.0,
            "pairs_per_m": 0.325, "chunk": 512, "usual": {"prompt": 800.0, "answer": 140.0}, "report_lag_ms": 200.0,
            "form_ms": 600.0, "expert-share": 0.85, "expert-sets": 1, "experts": group::EXPERTS,
            "placements": group::PLACES, "spare": group::SPARE, "expert-mb": 780.0, "link-mbps": 44000.0}}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                   "idle-timeout-ms": 15000},
        "tenants": [{"name": "tenant-1", "api-keys": ["key-1"]}],
    })
}
