//! A request that crashes each server that runs it, later than the gateway waits for a first attempt.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::app::POISON;
use crate::http;
use crate::process;
use crate::process::Addresses;
use crate::process::Process;
use crate::record::Record;
use crate::store::Store;

const GATEWAYS: usize = 3;
const SERVERS: usize = 3;
/// Milliseconds from the beginning of the run to the crash: within the time left that the server is told, which is the
/// route's timeout of 1,200 ms.
const CRASH_AFTER: &str = "750";
/// The same, early enough for the gateway to be waiting.
const EARLY_CRASH_AFTER: &str = "100";
/// Time for which a server is away after a crash.
const DOWN: Duration = Duration::from_secs(3);
/// Time for which a machine must have been calm, and the store, for a machine to be in touch.
const STABILITY: Duration = Duration::from_secs(4);
/// Retries of such a request that may still reach servers after that.
const ALLOWED_RETRIES: usize = 3;
/// Length of the run, and how often the request comes again.
const LENGTH: Duration = Duration::from_secs(45);
const AGAIN_AFTER: Duration = Duration::from_millis(1_200);
/// Clients with sound requests, and the pause of each between two of them.
const SOUND_CLIENTS: usize = 12;
const PAUSE: Duration = Duration::from_millis(50);

struct Server {
    id: String,
    address: SocketAddr,
    process: Process,
    down_since: Option<Instant>,
}

impl Server {
    fn start(
        folder: &Path,
        number: usize,
        incarnation: usize,
        address: SocketAddr,
        crash_after: &str,
    ) -> Server {
        let id = format!("i-{number}-{incarnation}");
        let program = std::env::current_exe().expect("the program's path");
        let command = [
            program.display().to_string(),
            "app".to_owned(),
            address.to_string(),
            id.clone(),
            folder.join("ran.txt").display().to_string(),
            crash_after.to_owned(),
        ];
        let mut process = Process::new(command.into(), None, folder.join("servers.log"));
        process.start();
        Server {
            id,
            address,
            process,
            down_since: None,
        }
    }

    fn list(&self, store: &Store) {
        let (id, address) = (&self.id, self.address);
        let entry = format!(
            "{{\"service\":\"dispatch\",\"address\":\"{address}\",\"zone\":\"hall-nord\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"ready\",\"warmup-left-ms\":0,\"sequence\":0}}"
        );
        store.put(&format!("servers/{id}"), Some(&entry));
    }
}

fn configuration() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"desk.example\",\"prefix\":\"/cover/\",\"kind\":\"safe\",\
      \"timeout-ms\":1200,\"slo-ms\":150,\"priority\":2,\"service\":\"dispatch\",\"max-attempts\":2,\"anonymous\":false},\
      {\"name\":\"r-2\",\"host\":\"desk.example\",\"prefix\":\"/position/\",\"kind\":\"unsafe\",\
      \"timeout-ms\":1200,\"slo-ms\":150,\"priority\":2,\"service\":\"dispatch\",\"max-attempts\":1,\"anonymous\":false}],\
      \"services\":[{\"name\":\"dispatch\",\"health-path\":\"/health\",\"max-conns\":96}],\
      \"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\
      \"tenants\":[{\"name\":\"valley\",\"api-keys\":[\"key-1\"],\"priority\":1},\
      {\"name\":\"hills\",\"api-keys\":[\"key-2\"],\"priority\":1}]}"
        .to_owned()
}

fn call(gateway: SocketAddr, method: &str, path: &str, key: &str, attempt: &str) -> String {
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 2500\r\n\
         X-Credential: {key}\r\nContent-Length: 0\r\n\r\n"
    );
    match http::call(gateway, &text, Duration::from_millis(2_500)) {
        Ok(answer) => {
            let after = answer.header("retry-after").unwrap_or("none").to_owned();
            format!("{} (retry after: {after})", answer.status)
        }
        Err(error) => format!("no answer: {error}"),
    }
}

/// Sends sound unsafe requests until the end; counts those that were served and those that were not.
fn sound_client(
    number: usize,
    gateways: &[SocketAddr],
    is_over: &AtomicBool,
    served: &AtomicUsize,
    lost: &AtomicUsize,
) {
    let mut count = 0;
    while !is_over.load(Ordering::SeqCst) {
        let gateway = gateways[(number + count) % gateways.len()];
        let attempt = format!("sound-{number}-{count}");
        let path = format!("/position/{number}-{count}/2f");
        let outcome = call(gateway, "POST", &path, "key-2", &attempt);
        let counter = if outcome.starts_with("200") {
            served
        } else {
            lost
        };
        counter.fetch_add(1, Ordering::SeqCst);
        count += 1;
        thread::sleep(PAUSE);
    }
}

/// Plays the case; returns whether the rule held, or none if the programs did not start.
pub fn run(folder: &Path, record: &Record, trouble: &str) -> Option<bool> {
    let crash_after = match trouble {
        "0" => "never",
        "early" => EARLY_CRASH_AFTER,
        _ => CRASH_AFTER,
    };
    let store_address = process::free(process::host(1));
    let store = Store::start(store_address);
    store.put("op/config", Some(&configuration()));
    let mut servers: Vec<Server> = (0..SERVERS)
        .map(|number| {
            let host = process::host(10 + u8::try_from(number).unwrap_or(0));
            Server::start(folder, number, 0, process::free(host), crash_after)
        })
        .collect();
    servers.iter().for_each(|server| server.list(&store));
    let addresses: Vec<Addresses> = (0..GATEWAYS)
        .map(|number| Addresses::new(30 + u8::try_from(number).unwrap_or(0)))
        .collect();
    let seeds: Vec<SocketAddr> = addresses.iter().map(|one| one.peers).collect();
    let mut gateways: Vec<Process> = addresses
        .iter()
        .enumerate()
        .map(|(number, own)| {
            process::gateway(folder, number, "hall-nord", own, &seeds, store_address)
        })
        .collect();
    gateways.iter_mut().for_each(Process::start);
    let is_up = || addresses.iter().all(Addresses::is_ready);
    if !process::wait(Duration::from_secs(10), is_up) {
        record.tell("the gateways did not become ready");
        return None;
    }
    // All machines are in touch from here on.
    thread::sleep(STABILITY);
    record.add("3 gateways ready, 3 servers listed");
    let callers: Vec<SocketAddr> = addresses.iter().map(|one| one.callers).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let (served, lost) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<_> = (0..SOUND_CLIENTS)
        .map(|number| {
            let (callers, is_over) = (callers.clone(), Arc::clone(&is_over));
            let (served, lost) = (Arc::clone(&served), Arc::clone(&lost));
            thread::spawn(move || sound_client(number, &callers, &is_over, &served, &lost))
        })
        .collect();
    let poison = {
        let (callers, is_over, record) = (callers, Arc::clone(&is_over), record.clone());
        thread::spawn(move || {
            let mut count = 0;
            let mut sent = Vec::new();
            while !is_over.load(Ordering::SeqCst) {
                let gateway = callers[count % callers.len()];
                let attempt = format!("poison-{count}");
                sent.push((attempt.clone(), Instant::now()));
                let outcome = call(gateway, "GET", POISON, "key-1", &attempt);
                record.add(&format!(
                    "client sent {attempt} to gateway {}: {outcome}",
                    count % callers.len()
                ));
                count += 1;
                thread::sleep(AGAIN_AFTER);
            }
            sent
        })
    };
    let start = Instant::now();
    let mut crashes: Vec<Instant> = Vec::new();
    let mut incarnation = 0;
    while start.elapsed() < LENGTH {
        for (number, server) in servers.iter_mut().enumerate() {
            match server.down_since {
                None if server.process.has_ended() => {
                    crashes.push(Instant::now());
                    record.add(&format!(
                        "server {} has crashed, crash {}",
                        server.id,
                        crashes.len()
                    ));
                    server.process.kill();
                    server.down_since = Some(Instant::now());
                }
                Some(at) if at.elapsed() >= DOWN => {
                    store.put(&format!("servers/{}", server.id), None);
                    incarnation += 1;
                    *server =
                        Server::start(folder, number, incarnation, server.address, crash_after);
                    server.list(&store);
                    record.add(&format!("server {} starts there", server.id));
                }
                _ => {}
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    is_over.store(true, Ordering::SeqCst);
    clients
        .into_iter()
        .for_each(|client| client.join().expect("a client"));
    let sent = poison.join().expect("a client");
    let ran = fs::read_to_string(folder.join("ran.txt")).unwrap_or_default();
    ran.lines()
        .for_each(|line| record.add(&format!("at a server: {line}")));
    let counted_from = crashes.get(2).map(|third| *third + STABILITY);
    let late = sent.iter().filter(|(attempt, at)| {
        let begins = format!("{attempt} ");
        let has_reached = ran.lines().any(|line| line.starts_with(&begins));
        has_reached && counted_from.is_some_and(|from| *at > from)
    });
    let late = late.count();
    let (served, lost) = (served.load(Ordering::SeqCst), lost.load(Ordering::SeqCst));
    record.tell(&format!(
        "the request was sent {} times and crashed {} servers; {late} retries reached servers more than 4 s after its \
         third crash, {ALLOWED_RETRIES} are allowed",
        sent.len(),
        crashes.len()
    ));
    record.tell(&format!("sound requests: {served} served, {lost} not"));
    (served > 0).then_some(late <= ALLOWED_RETRIES)
}
