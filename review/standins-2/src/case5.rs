//! BUDGET, cases 5 and 7: a request that crashes its servers is never held if its client leaves before each crash, or if they answer
//! it with an error before.

use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::Verdict;
use crate::desk;
use crate::desk::Desk;
use crate::desk::Harm;
use crate::http;
use crate::process;
use crate::process::Program;
use crate::process::address;
use crate::record::Record;
use crate::store::Store;

/// Gateways, and hosts of the first one and of the first server.
const GATEWAYS: u8 = 3;
const FIRST_GATEWAY: u8 = 2;
const SERVERS: u8 = 3;
const FIRST_SERVER: u8 = 20;
/// Clients whose requests are sound.
const CLIENTS: usize = 7;
/// Time until the first bad request: gateways know each other by then.
const LEAD: Duration = Duration::from_secs(11);
/// Starts of the two spans in which the client of the bad request leaves early, after [`LEAD`], and their length: the site's
/// largest for give_up.
const SPANS: [Duration; 2] = [Duration::ZERO, Duration::from_secs(9)];
const SPAN: Duration = Duration::from_millis(5_500);
/// Pause between two bad requests.
const PAUSE: Duration = Duration::from_millis(850);
/// Time after which the client leaves.
const PATIENCE: Duration = Duration::from_millis(150);
/// `stability-ms` of the site.
const STABILITY: Duration = Duration::from_millis(3_000);
/// Retries that the rule allows.
const ALLOWED: usize = 3;

/// Plays the request with what it does to its servers. `leaves` tells whether its client leaves early.
pub fn play(work: &Path, record: &Record, harm: Harm, leaves: bool) -> Result<Verdict, String> {
    run(work, record, harm, leaves).map_err(|error| error.to_string())?
}

fn run(
    work: &Path,
    record: &Record,
    harm: Harm,
    leaves: bool,
) -> std::io::Result<Result<Verdict, String>> {
    let network = process::network();
    let (store, store_address) = Store::start(address(network, 1, 0))?;
    store.put("op/config", Some(&configuration()));
    let servers: Vec<_> = (0..SERVERS)
        .map(|server| address(network, FIRST_SERVER + server, 8120))
        .collect();
    let desk = Desk::start(&servers, harm, &store, record);
    let hosts: Vec<u8> = (0..GATEWAYS)
        .map(|gateway| FIRST_GATEWAY + gateway)
        .collect();
    let seeds: Vec<SocketAddr> = hosts
        .iter()
        .map(|host| address(network, *host, 8229))
        .collect();
    let mut gateways = Vec::new();
    for host in &hosts {
        let settings = process::gateway_settings(network, *host, store_address, &seeds);
        let file = format!("gateway-{host}");
        gateways.push(Program::start(
            "auburnline-gateway",
            work,
            &file,
            &settings,
        )?);
    }
    if !hosts
        .iter()
        .all(|host| process::wait_until_ready(network, *host))
    {
        return Ok(Err("a gateway isn't ready".to_owned()));
    }
    let callers: Vec<_> = hosts
        .iter()
        .map(|host| address(network, *host, 8227))
        .collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let (served, lost) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    for client in 0..CLIENTS {
        let (callers, record, is_over) = (callers.clone(), record.clone(), Arc::clone(&is_over));
        let (served, lost) = (Arc::clone(&served), Arc::clone(&lost));
        thread::spawn(move || send_sound(client, &callers, &is_over, &served, &lost, &record));
    }
    thread::sleep(LEAD);

    let begun = Instant::now();
    let mut number = 0;
    for span in SPANS {
        thread::sleep((begun + span).saturating_duration_since(Instant::now()));
        let until = begun + span + SPAN;
        while Instant::now() + PATIENCE < until {
            let to = callers[number % callers.len()];
            send_bad(number, to, leaves, record)?;
            number += 1;
            thread::sleep(PAUSE);
        }
    }
    thread::sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::SeqCst);
    let seen = desk.seen();
    let third = seen.crashes.get(2).copied();
    let late = third.map_or(0, |third| {
        seen.arrivals
            .iter()
            .filter(|at| **at > third + STABILITY)
            .count()
    });
    record.add(&format!(
        "sent {number}, reached servers {}, crashed {}, reached servers later than {STABILITY:?} after the third crash: {late}; \
         sound requests: {} served, {} without an answer of a server",
        seen.arrivals.len(),
        seen.crashes.len(),
        served.load(Ordering::SeqCst),
        lost.load(Ordering::SeqCst)
    ));
    println!(
        "{late} arrivals after the third crash and {STABILITY:?}, {} crashes",
        seen.crashes.len()
    );
    Ok(Ok(if late > ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    }))
}

pub fn head(id: &str) -> String {
    format!(
        "Host: desk.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 1500\r\nX-Credential: key-1\r\n"
    )
}

/// Sends the bad request once; its client leaves early or waits for the answer.
fn send_bad(number: usize, to: SocketAddr, leaves: bool, record: &Record) -> std::io::Result<()> {
    let id = format!("bad-{number}");
    let line = format!("GET {}", desk::BAD);
    if !leaves {
        let answer = http::call(to, &line, &head(&id), b"", Duration::from_secs(2));
        record.add(&format!(
            "client: {id} -> {:?}",
            answer.map(|answer| answer.status())
        ));
        return Ok(());
    }
    let mut stream = TcpStream::connect(to)?;
    stream.write_all(format!("{line} HTTP/1.1\r\n{}\r\n", head(&id)).as_bytes())?;
    thread::sleep(PATIENCE);
    record.add(&format!("client: {id} -> left"));
    Ok(())
}

/// Sends sound requests one after the other.
fn send_sound(
    client: usize,
    to: &[SocketAddr],
    is_over: &AtomicBool,
    served: &AtomicU64,
    lost: &AtomicU64,
    record: &Record,
) {
    for number in 0.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("c{client}-{number}");
        let line = format!("GET /hearing/{client}/{number}");
        let gateway = to[(client + number) % to.len()];
        let answer = http::call(gateway, &line, &head(&id), b"", Duration::from_secs(3));
        if answer.as_ref().is_some_and(|answer| answer.status() == 200) {
            served.fetch_add(1, Ordering::SeqCst);
        } else {
            lost.fetch_add(1, Ordering::SeqCst);
            let status = answer.map(|answer| answer.status());
            record.add(&format!("client: {id} -> {status:?}"));
        }
        thread::sleep(Duration::from_millis(100));
    }
}

pub fn configuration() -> serde_json::Value {
    json!({
        "version": 3,
        "routes": [{"name": "hearing-date", "host": "desk.example", "prefix": "/hearing/", "kind": "safe",
                    "timeout-ms": 800, "slo-ms": 150, "priority": 2, "service": desk::SERVICE, "max-attempts": 2}],
        "services": [{"name": desk::SERVICE, "max-conns": 100, "health-path": desk::HEALTH}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                   "idle-timeout-ms": 15000},
        "tenants": [{"name": "tenant-1", "api-keys": ["key-1"]}],
    })
}
