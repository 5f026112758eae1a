//! Streams whose servers crash and start again while the gateway is frozen.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::http::End;
use crate::process;
use crate::process::Addresses;
use crate::process::Process;
use crate::record::Record;
use crate::server::PIECES;
use crate::store::Store;

/// Rounds of streams.
const ROUNDS: usize = 6;
/// Streams of one round.
const STREAMS: usize = 12;
/// Servers of the service.
const SERVERS: usize = 6;
/// From the start of the streams to the freeze.
const BEFORE_FREEZE: Duration = Duration::from_millis(500);
/// From the freeze to the crash of a server.
const BEFORE_CRASH: Duration = Duration::from_millis(200);
/// Time for which the server is down.
const DOWN: Duration = Duration::from_millis(500);
/// Rest of the freeze.
const AFTER_RESTART: Duration = Duration::from_millis(600);
/// A pause after which a client abandons its stream: the longest of two seconds, four objectives and eight pauses.
const PATIENCE: Duration = Duration::from_secs(2);

/// What a run does to the programs.
#[derive(Clone, Copy)]
pub struct Trouble {
    /// The gateway is frozen.
    pub freezes: bool,
    /// A server crashes and starts again.
    pub crashes: bool,
}

impl Trouble {
    /// Reads what the variable `TROUBLE` asks for: `0` for none, `freeze` or `crash` for one of the two, else both.
    pub fn of(text: &str) -> Trouble {
        Trouble {
            freezes: text != "0" && text != "crash",
            crashes: text != "0" && text != "freeze",
        }
    }
}

struct Server {
    id: String,
    address: SocketAddr,
    process: Process,
}

impl Server {
    fn start(folder: &Path, number: usize, incarnation: usize, address: SocketAddr) -> Server {
        let id = format!("i-{number}-{incarnation}");
        let program = std::env::current_exe().expect("the program's path");
        let ran = folder.join("ran.txt");
        let command = [
            program.display().to_string(),
            "server".to_owned(),
            address.to_string(),
            id.clone(),
            ran.display().to_string(),
        ];
        let log = folder.join("servers.log");
        let mut process = Process::new(command.into(), None, log);
        process.start();
        Server {
            id,
            address,
            process,
        }
    }

    fn list(&self, store: &Store) {
        let (id, address) = (&self.id, self.address);
        let entry = format!(
            "{{\"service\":\"atelier\",\"address\":\"{address}\",\"zone\":\"hall-nord\",\"version\":\"v1\",\"slots\":12,\
             \"state\":\"ready\",\"warmup-left-ms\":0,\"sequence\":0}}"
        );
        store.put(&format!("servers/{id}"), Some(&entry));
    }
}

fn configuration() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"desk.example\",\"prefix\":\"/draft/\",\"kind\":\"streaming\",\
      \"timeout-ms\":8000,\"slo-ms\":400,\"priority\":1,\"service\":\"atelier\",\"max-attempts\":2,\"anonymous\":false,\
      \"resumable\":true,\"gap-target-ms\":120}],\
      \"services\":[{\"name\":\"atelier\",\"health-path\":\"/health\",\"max-conns\":248}],\
      \"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\
      \"tenants\":[{\"name\":\"valley\",\"api-keys\":[\"key-1\"],\"priority\":1}]}"
        .to_owned()
}

/// Outcome of one stream at its client.
enum Outcome {
    /// All pieces in order, and the end.
    Whole,
    /// It ended as complete although pieces are missing, doubled or out of order; with the pieces.
    Wrong(Vec<u64>),
    /// It broke off or was refused, which the client can see.
    Failed(String),
}

fn stream(address: SocketAddr, attempt: &str) -> Outcome {
    let text = format!(
        "POST /draft/2f HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {attempt}\r\nX-Model: m\r\n\
         X-Token-Usage: 714,140\r\nX-Prompt-Prefix: 5c1e07a2:40,{attempt}:674\r\nX-Deadline-Ms: 8000\r\n\
         X-Credential: key-1\r\nContent-Length: 5\r\n\r\nnotes"
    );
    let answer = match http::call(address, &text, PATIENCE) {
        Ok(answer) => answer,
        Err(error) => return Outcome::Failed(format!("no answer: {error}")),
    };
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    let pieces = body.lines().filter_map(|line| line.strip_prefix("id: "));
    let pieces: Vec<u64> = pieces.filter_map(|id| id.parse().ok()).collect();
    if answer.status != 200 || answer.header("x-response-seal").is_none() {
        return Outcome::Failed(format!("status {}", answer.status));
    }
    let whole: Vec<u64> = (1..=PIECES).collect();
    match answer.end {
        End::Complete if pieces == whole => Outcome::Whole,
        End::Complete => Outcome::Wrong(pieces),
        End::Cut => Outcome::Failed(format!("cut after piece {:?}", pieces.last())),
    }
}

/// Plays all rounds; returns whether the rule held, or none if the programs did not start.
pub fn run(folder: &Path, record: &Record, trouble: Trouble) -> Option<bool> {
    let store_address = process::free(process::host(1));
    let store = Store::start(store_address);
    store.put("op/config", Some(&configuration()));
    let mut servers: Vec<Server> = (0..SERVERS)
        .map(|number| {
            let host = process::host(10 + u8::try_from(number).unwrap_or(0));
            Server::start(folder, number, 0, process::free(host))
        })
        .collect();
    servers.iter().for_each(|server| server.list(&store));
    let addresses: Vec<Addresses> = (0..2).map(|number| Addresses::new(20 + number)).collect();
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
    record.add("2 gateways ready, 6 servers listed");
    let mut wrong = 0;
    let mut whole = 0;
    for round in 0..ROUNDS {
        let callers = addresses[0].callers;
        let clients: Vec<_> = (0..STREAMS)
            .map(|number| {
                let attempt = format!("a{round:02}{number:02}");
                let record = record.clone();
                thread::spawn(move || {
                    record.add(&format!("client sends {attempt}"));
                    let outcome = stream(callers, &attempt);
                    let (is_wrong, is_whole, text) = match outcome {
                        Outcome::Whole => (0, 1, format!("{PIECES} pieces and the end")),
                        Outcome::Wrong(pieces) => {
                            let (count, last) = (pieces.len(), pieces.last());
                            let text = format!(
                                "the end after {count} pieces, the last of them {last:?}: WRONG"
                            );
                            (1, 0, text)
                        }
                        Outcome::Failed(cause) => (0, 0, cause),
                    };
                    record.add(&format!("client gets for {attempt}: {text}"));
                    (is_wrong, is_whole)
                })
            })
            .collect();
        thread::sleep(BEFORE_FREEZE);
        if trouble.freezes {
            record.add("gateway 0 is frozen");
            gateways[0].signal("-STOP");
        }
        thread::sleep(BEFORE_CRASH);
        let number = round % SERVERS;
        if trouble.crashes {
            record.add(&format!("server {} is killed", servers[number].id));
            servers[number].process.kill();
        }
        thread::sleep(DOWN);
        if trouble.crashes {
            let address = servers[number].address;
            store.put(&format!("servers/{}", servers[number].id), None);
            servers[number] = Server::start(folder, number, round + 1, address);
            servers[number].list(&store);
            record.add(&format!("server {} starts there", servers[number].id));
        }
        thread::sleep(AFTER_RESTART);
        if trouble.freezes {
            gateways[0].signal("-CONT");
            record.add("gateway 0 goes on");
        }
        for client in clients {
            let (is_wrong, is_whole) = client.join().expect("a client");
            wrong += is_wrong;
            whole += is_whole;
        }
        thread::sleep(Duration::from_secs(1));
    }
    let ran = fs::read_to_string(folder.join("ran.txt")).unwrap_or_default();
    ran.lines()
        .for_each(|line| record.add(&format!("at a server: {line}")));
    record.tell(&format!(
        "{} streams: {whole} whole, {wrong} ended as complete without all pieces",
        ROUNDS * STREAMS
    ));
    if wrong == 0 && whole == 0 {
        return None;
    }
    Some(wrong == 0)
}
