//! Fault: a bound that is a fraction, as the page on settings allows it, keeps gateways from starting.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::Verdict;
use crate::case5;
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
/// Template of the deploy file.
const TEMPLATE: &str = "deploy/gateway.json";
/// Time for which all runs before the settings change.
const BEFORE: Duration = Duration::from_secs(5);
/// Time within which a process that was told to stop has ended: `grace-period-s` of the site.
const GRACE: Duration = Duration::from_secs(8);
/// Delay until a process that has ended is started again, and how often that is done.
const RESTART: Duration = Duration::from_millis(500);
const RESTARTS: u32 = 5;
/// Pause until the next gateway is stopped; the site's largest is 2 s.
const GAP: Duration = Duration::from_secs(2);
/// Time after the last start in which requests are counted.
const AFTER: Duration = Duration::from_secs(5);

/// Time since the start of the record, and whether the request was served.
type Outcomes = Arc<Mutex<Vec<(Duration, bool)>>>;

pub fn play(work: &Path, record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    run(work, record, has_trouble).map_err(|error| error.to_string())?
}

fn run(
    work: &Path,
    record: &Record,
    has_trouble: bool,
) -> std::io::Result<Result<Verdict, String>> {
    let network = process::network();
    let (store, store_address) = Store::start(address(network, 1, 0))?;
    store.put("op/config", Some(&case5::configuration()));
    let servers: Vec<_> = (0..SERVERS)
        .map(|server| address(network, FIRST_SERVER + server, 8120))
        .collect();
    let _desk = Desk::start(&servers, Harm::None, &store, record);
    let hosts: Vec<u8> = (0..GATEWAYS)
        .map(|gateway| FIRST_GATEWAY + gateway)
        .collect();
    let seeds: Vec<SocketAddr> = hosts
        .iter()
        .map(|host| address(network, *host, 8229))
        .collect();
    let template = fs::read_to_string(TEMPLATE)?;
    let settings = |host: u8, grace: Value| {
        render(
            &template,
            &fields(network, host, store_address, &seeds, grace),
        )
    };
    let mut gateways = Vec::new();
    for host in &hosts {
        let file = work.join(format!("gateway-{host}.json"));
        fs::write(&file, settings(*host, json!(8)))?;
        gateways.push(Program::start_with("auburnline-gateway", file)?);
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
    let (outcomes, is_over) = (Outcomes::default(), Arc::new(AtomicBool::new(false)));
    let (sent, over, log) = (Arc::clone(&outcomes), Arc::clone(&is_over), record.clone());
    thread::spawn(move || send(&callers, &over, &sent, &log));
    thread::sleep(BEFORE);

    let grace = if has_trouble { json!(7.5) } else { json!(7) };
    record.add(&format!(
        "hup: the settings files change to bounds.grace-period-s={grace}"
    ));
    for (gateway, host) in gateways.iter().zip(&hosts) {
        fs::write(gateway.settings(), settings(*host, grace.clone()))?;
    }
    // The site's largest share that gets the signal is 0.6.
    process::signal(gateways[0].id(), "-HUP");
    thread::sleep(GAP);
    let mut down = 0;
    for (number, gateway) in gateways.iter_mut().enumerate() {
        process::signal(gateway.id(), "-TERM");
        let until = Instant::now() + GRACE;
        while !gateway.has_ended() && Instant::now() < until {
            thread::sleep(Duration::from_millis(20));
        }
        gateway.kill();
        record.add(&format!("roll_term: gateway {number} has ended"));
        if !starts_again(number, gateway, record)? {
            down += 1;
        }
        thread::sleep(GAP);
    }
    let last = record.now();
    thread::sleep(AFTER);
    is_over.store(true, Ordering::SeqCst);
    let outcomes = outcomes.lock().expect("a lock");
    let share = |is_asked: &dyn Fn(Duration) -> bool| {
        let asked = outcomes.iter().filter(|(at, _)| is_asked(*at));
        let (all, served) = asked.fold((0, 0), |(all, served), (_, is_served)| {
            (all + 1, served + u32::from(*is_served))
        });
        format!("{served} of {all}")
    };
    let before = share(&|at| at < last.saturating_sub(AFTER) && at < BEFORE);
    let after = share(&|at| at > last);
    let text = format!(
        "{down} of {GATEWAYS} gateways don't start; requests served at first: {before}, at the end: {after}"
    );
    record.add(&text);
    println!("{text}");
    Ok(Ok(if down > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }))
}

/// Starts a gateway that has ended, and again each time that it ends by itself; returns whether it stays.
fn starts_again(number: usize, gateway: &mut Program, record: &Record) -> std::io::Result<bool> {
    for _ in 0..RESTARTS {
        thread::sleep(RESTART);
        gateway.start_again()?;
        thread::sleep(RESTART);
        if !gateway.has_ended() {
            record.add(&format!("gateway {number} runs again"));
            return Ok(true);
        }
        record.add(&format!(
            "gateway {number} has ended by itself: {}",
            gateway.last_words()
        ));
    }
    Ok(false)
}

/// Sends requests one after the other, each to a gateway that takes its connection.
fn send(to: &[SocketAddr], is_over: &AtomicBool, outcomes: &Outcomes, record: &Record) {
    for number in 0.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("c-{number}");
        let line = format!("GET /hearing/{number}");
        let limit = Duration::from_secs(2);
        let status = (0..to.len()).find_map(|turn| {
            let gateway = to[(number + turn) % to.len()];
            let answer = http::call(gateway, &line, &case5::head(&id), b"", limit);
            answer
                .map(|answer| answer.status())
                .filter(|status| *status != 503)
        });
        if status != Some(200) {
            record.add(&format!("client: {id} -> {status:?}"));
        }
        let outcome = (record.now(), status == Some(200));
        outcomes.lock().expect("a lock").push(outcome);
        thread::sleep(Duration::from_millis(100));
    }
}

/// Returns the fields that the template uses, by the page DEPLOY.md and the site ncfsu-auburnline.
fn fields(
    network: [u8; 2],
    host: u8,
    store: SocketAddr,
    seeds: &[SocketAddr],
    grace: Value,
) -> BTreeMap<&'static str, Value> {
    let on = |port| json!(address(network, host, port));
    BTreeMap::from([
        ("node-name", json!(format!("front-milimani-{host}"))),
        ("zone", json!("milimani")),
        ("ip", json!(address(network, host, 0).ip())),
        ("listen.front", on(8227)),
        ("listen.ready", on(8220)),
        ("listen.directory", on(8224)),
        ("listen.control", on(8229)),
        ("seed-addrs", json!(seeds)),
        ("platform.address", json!(store)),
        ("limits.max-fds", json!(4100)),
        ("limits.memory-mb", json!(260)),
        ("bounds.revoke-timeout-ms", json!(5000)),
        ("bounds.grace-period-s", grace),
        ("bounds.retry-budget-ratio", json!(0.2)),
        ("bounds.budget-slack", json!(90)),
        ("bounds.budget-window-s", json!(10)),
        ("bounds.stall_ms", json!(1500)),
        ("bounds.ttl_max_s", json!(5)),
        ("heartbeat-ms", json!(1200)),
    ])
}

/// Fills a template in: `{{a}}` becomes a value, `{{a|json}}` the value as JSON.
fn render(template: &str, fields: &BTreeMap<&str, Value>) -> String {
    let mut text = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        let (name, after) = after.split_once("}}").unwrap_or((after, ""));
        let (name, is_json) = name
            .strip_suffix("|json")
            .map_or((name, false), |name| (name, true));
        let value = fields.get(name).unwrap_or(&Value::Null);
        text.push_str(before);
        match value {
            Value::String(value) if !is_json => text.push_str(value),
            value => text.push_str(&value.to_string()),
        }
        rest = after;
    }
    text + rest
}
