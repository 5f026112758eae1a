//! BUDGET: requests of one session crash the servers that run them, by the part of the prompt that is the session's.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::Verdict;
use crate::drafter;
use crate::drafter::DEADLY;
use crate::drafter::Drafter;
use crate::http;
use crate::process;
use crate::process::Program;
use crate::process::address;
use crate::record::Record;
use crate::store::Store;

/// Gateways, and hosts of the first one and of the first server.
const GATEWAYS: u8 = 3;
const FIRST_GATEWAY: u8 = 2;
/// Servers of the site.
const SERVERS: u8 = 12;
const FIRST_SERVER: u8 = 20;
/// Clients whose requests are sound.
const CLIENTS: usize = 12;
/// Time until the first request of the session: gateways know each other by then.
const LEAD: Duration = Duration::from_secs(11);
/// Requests of the session, and the pause after each.
const REQUESTS: usize = 14;
const PAUSE: Duration = Duration::from_millis(1_500);
/// `stability-ms` of the site.
const STABILITY: Duration = Duration::from_millis(3_000);
/// Servers that end before the part has to be known.
const CRASHES: usize = 5;
/// Sends that are allowed after that.
const ALLOWED: usize = 3;

pub fn play(work: &Path, record: &Record, trouble: &str) -> Result<Verdict, String> {
    run(work, record, trouble).map_err(|error| error.to_string())?
}

fn run(work: &Path, record: &Record, trouble: &str) -> std::io::Result<Result<Verdict, String>> {
    let network = process::network();
    let (store, store_address) = Store::start(address(network, 1, 0))?;
    store.put("op/config", Some(&configuration()));
    let servers: Vec<_> = (0..SERVERS)
        .map(|server| address(network, FIRST_SERVER + server, 8120))
        .collect();
    let drafter = Drafter::start(&servers, trouble != "0", &store, record);
    let hosts = FIRST_GATEWAY..FIRST_GATEWAY + GATEWAYS;
    let seeds: Vec<SocketAddr> = hosts
        .clone()
        .map(|host| address(network, host, 8229))
        .collect();
    let mut gateways = Vec::new();
    for host in hosts.clone() {
        let settings = process::gateway_settings(network, host, store_address, &seeds);
        let file = format!("gateway-{host}");
        let started = Program::start("auburnline-gateway", work, &file, &settings);
        gateways.push(started?);
    }
    if !hosts
        .clone()
        .all(|host| process::wait_until_ready(network, host))
    {
        return Ok(Err("a gateway isn't ready".to_owned()));
    }
    let callers: Vec<_> = hosts.map(|host| address(network, host, 8227)).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let (served, lost) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    for client in 0..CLIENTS {
        let (callers, is_over) = (callers.clone(), Arc::clone(&is_over));
        let (served, lost) = (Arc::clone(&served), Arc::clone(&lost));
        thread::spawn(move || send_sound(client, &callers, &is_over, &served, &lost));
    }
    thread::sleep(LEAD);

    for number in 0..REQUESTS {
        let id = format!("session-{number}");
        let prompt = match trouble {
            // The session's part is followed by one of the request's own.
            "shared" => format!("5c1e07a2:40,{DEADLY}:650,5e55{number:04x}:24"),
            _ => format!("5c1e07a2:40,{DEADLY}:674"),
        };
        let body = format!("question {number}");
        let answer = draft(
            callers[number % callers.len()],
            &id,
            &prompt,
            body.as_bytes(),
        );
        let told = answer.map(|answer| (answer.status(), answer.is_whole));
        record.add(&format!("client: {id} -> {told:?}"));
        thread::sleep(PAUSE);
    }
    is_over.store(true, Ordering::SeqCst);
    let seen = drafter.seen();
    let last = seen.crashes.get(CRASHES - 1).copied();
    let late = last.map_or(0, |last| {
        let late = seen.arrivals.iter().filter(|at| **at > last + STABILITY);
        late.count()
    });
    let line = format!(
        "session: {REQUESTS} requests, reached servers {} times, crashed {}, reached servers later than {STABILITY:?} after \
         crash {CRASHES}: {late}; sound requests: {} served, {} not",
        seen.arrivals.len(),
        seen.crashes.len(),
        served.load(Ordering::SeqCst),
        lost.load(Ordering::SeqCst)
    );
    record.add(&line);
    println!("{line}");
    Ok(Ok(if late > ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    }))
}

/// Sends sound requests one after the other.
fn send_sound(
    client: usize,
    to: &[SocketAddr],
    is_over: &AtomicBool,
    served: &AtomicU64,
    lost: &AtomicU64,
) {
    for number in 0.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("c{client}-{number}");
        let prompt = format!("5c1e07a2:40,c{client:x}{number:05x}:674");
        let gateway = to[(client + number) % to.len()];
        let answer = draft(gateway, &id, &prompt, format!("notes {id}").as_bytes());
        if answer.is_some_and(|answer| answer.status() == 200 && answer.is_whole) {
            served.fetch_add(1, Ordering::SeqCst);
        } else {
            lost.fetch_add(1, Ordering::SeqCst);
            thread::sleep(Duration::from_millis(100));
        }
    }
}

fn draft(to: SocketAddr, id: &str, prompt: &str, body: &[u8]) -> Option<http::Message> {
    let headers = format!(
        "Host: desk.example\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\nX-Token-Usage: 714,140\r\n\
         X-Prompt-Prefix: {prompt}\r\nX-Deadline-Ms: 8000\r\nX-Credential: key-1\r\n"
    );
    http::call(to, "POST /draft/1", &headers, body, Duration::from_secs(9))
}

fn configuration() -> serde_json::Value {
    json!({
        "version": 3,
        "routes": [{"name": "schedule-clause", "host": "desk.example", "prefix": "/draft/", "kind": "streaming",
                    "timeout-ms": 8000, "slo-ms": 400, "gap-target-ms": 120, "priority": 1, "service": drafter::SERVICE,
                    "max-attempts": 2, "resumable": true, "sticky": true}],
        "services": [{"name": drafter::SERVICE, "max-conns": 408, "health-path": drafter::HEALTH, "engine": {
            "slots": drafter::SLOTS, "step_ms": 5.85, "stride": 5, "per_seq_ms": 2.0, "context_per_k": 0.036,
            "read_per_s": 61200.0, "pairs_per_m": 0.325, "chunk": 512, "usual": {"prompt": 714.0, "answer": 140.0},
            "report_lag_ms": 200.0, "form_ms": 600.0}}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                   "idle-timeout-ms": 15000},
        "tenants": [{"name": "tenant-1", "api-keys": ["key-1"]}],
    })
}
