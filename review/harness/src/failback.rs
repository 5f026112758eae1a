//! Cold servers after a loss of power, while the gateways that all others ask first are still dark.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::process;
use crate::process::Addresses;
use crate::process::Process;
use crate::record::Record;
use crate::store::Store;

const ZONES: [&str; 3] = ["uy-south-a", "uy-south-b", "uy-south-c"];
/// Gateways; the first three are the seeds, one of each zone.
const GATEWAYS: usize = 6;
const SEEDS: usize = 3;
const SERVERS: usize = 2;
/// Requests per second that a cold server bears, and the rule's margins.
const WARM_UP_RATE: u32 = 26;
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Time for which a server is cold after its start.
const WARM_UP: Duration = Duration::from_secs(3);
/// Time that a server takes for a request.
const WORK: Duration = Duration::from_millis(15);
/// Clients, and the pause of each between two requests.
const CLIENTS: usize = 60;
const PAUSE: Duration = Duration::from_millis(250);
/// From the start of traffic to the loss of power.
const BEFORE: Duration = Duration::from_secs(3);
/// From the loss of power to the restart of the processes whose machines are back.
const RESTART: Duration = Duration::from_millis(300);
/// From there to the return of the servers, cold.
const SERVERS_BACK: Duration = Duration::from_millis(300);
/// From the loss of power to the return of the seeds' machines.
const SEEDS_DARK: Duration = Duration::from_millis(2_000);
const AFTER: Duration = Duration::from_secs(6);

/// A request that reached a server.
struct Arrival {
    /// Times since the start of the run.
    sent: Duration,
    at: Duration,
    attempt: String,
}

/// A server in the harness.
struct Server {
    id: String,
    address: SocketAddr,
    started: Duration,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    is_up: Arc<AtomicBool>,
}

impl Server {
    fn start(id: &str, number: u8, start: Instant, sent: &Sent) -> Server {
        let listener =
            TcpListener::bind(process::free(process::host(number))).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let is_up = Arc::new(AtomicBool::new(true));
        let (kept, served, own) = (Arc::clone(&arrivals), Arc::clone(&is_up), id.to_owned());
        let sent = Arc::clone(sent);
        http::serve(listener, move |arrived, writer| {
            if !served.load(Ordering::SeqCst) {
                return false;
            }
            let instance = format!("X-Instance-Id: {own}\r\n");
            let expected = arrived.header("x-expect-instance");
            if expected.is_some_and(|expected| expected != own) {
                return http::write_whole(writer, 421, &instance, "");
            }
            let attempt = arrived.header("x-attempt-id").unwrap_or_default();
            let at = start.elapsed();
            let known = sent.lock().expect("no panic").get(attempt).copied();
            kept.lock().expect("no panic").push(Arrival {
                sent: known.unwrap_or(at),
                at,
                attempt: attempt.to_owned(),
            });
            thread::sleep(WORK);
            let head = format!("X-Attempt-Id: {attempt}\r\nX-Response-Seal: s.{own}.{attempt}\r\n");
            http::write_whole(writer, 200, &head, "cover is valid")
        });
        Server {
            id: id.to_owned(),
            address,
            started: start.elapsed(),
            arrivals,
            is_up,
        }
    }

    fn list(&self, store: &Store, warm_up: Duration) {
        let (id, address, left) = (&self.id, self.address, warm_up.as_millis());
        let zone = ZONES[0];
        let entry = format!(
            "{{\"service\":\"rutas\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"ready\",\"warmup-left-ms\":{left},\"sequence\":0}}"
        );
        store.put(&format!("servers/{id}"), Some(&entry));
    }

    fn lose_power(&self, store: &Store) {
        self.is_up.store(false, Ordering::SeqCst);
        store.put(&format!("servers/{}", self.id), None);
    }

    /// Returns the most requests that were sent and arrived within one second of its cold time.
    fn most_while_cold(&self) -> (usize, Duration) {
        let arrivals = self.arrivals.lock().expect("no panic");
        let warm_at = self.started + WARM_UP;
        let cold: Vec<&Arrival> = arrivals.iter().filter(|one| one.at < warm_at).collect();
        let counts = cold.iter().map(|first| {
            let from = first.sent.min(first.at);
            let until = from + Duration::from_secs(1);
            let inside = cold.iter().filter(|one| one.sent >= from && one.at < until);
            (inside.count(), from)
        });
        counts.max().unwrap_or_default()
    }
}

/// When each attempt was sent.
type Sent = Arc<Mutex<HashMap<String, Duration>>>;

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"desk.example\",\"prefix\":\"/cover/\",\"kind\":\"safe\",\
         \"timeout-ms\":800,\"slo-ms\":100,\"priority\":2,\"service\":\"rutas\",\"max-attempts\":2,\"anonymous\":false}}],\
         \"services\":[{{\"name\":\"rutas\",\"health-path\":\"/health\",\"max-conns\":96,\"warmup-per-s\":{WARM_UP_RATE}}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"valley\",\"api-keys\":[\"key-1\"],\"priority\":1}}]}}"
    )
}

/// One client: it sends to a gateway at random, and to the next one if that does not take its connection.
fn client(
    number: usize,
    gateways: &[SocketAddr],
    start: Instant,
    sent: &Sent,
    is_over: &AtomicBool,
    record: &Record,
    served: &AtomicUsize,
) {
    static DRAWS: AtomicU64 = AtomicU64::new(0x9E37_79B9_7F4A_7C15);
    let mut count = 0;
    while !is_over.load(Ordering::SeqCst) {
        let draw = DRAWS
            .fetch_add(0x9E37_79B9_7F4A_7C15, Ordering::SeqCst)
            .rotate_left(23)
            .wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let first = usize::try_from(draw >> 33).unwrap_or(0);
        for turn in 0..gateways.len() {
            let gateway = gateways[(first + turn) % gateways.len()];
            let attempt = format!("c{number}-{count}");
            count += 1;
            let text = format!(
                "GET /cover/2f HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 1500\r\n\
                 X-Credential: key-1\r\n\r\n"
            );
            let now = start.elapsed();
            sent.lock().expect("no panic").insert(attempt.clone(), now);
            let answer = http::call(gateway, &text, Duration::from_millis(1_500));
            let text = match &answer {
                Ok(answer) => format!("status {}", answer.status),
                Err(error) => format!("no answer: {error}"),
            };
            record.add(&format!("client sent {attempt} to {gateway}: {text}"));
            if let Ok(answer) = answer {
                served.fetch_add(usize::from(answer.status == 200), Ordering::SeqCst);
                break;
            }
        }
        thread::sleep(PAUSE);
    }
}

/// Plays the case; returns whether the rule held, or none if the programs did not start.
pub fn run(folder: &Path, record: &Record, is_dark: bool) -> Option<bool> {
    let start = Instant::now();
    let store_address = process::free(process::host(1));
    let store = Store::start(store_address);
    store.put("op/config", Some(&configuration()));
    let sent = Sent::default();
    let list = |incarnation: usize, warm_up: Duration| -> Vec<Server> {
        let servers = (0..SERVERS).map(|number| {
            let host = 10 + u8::try_from(incarnation * SERVERS + number).unwrap_or(0);
            Server::start(&format!("i-{number}-{incarnation}"), host, start, &sent)
        });
        let servers: Vec<Server> = servers.collect();
        servers
            .iter()
            .for_each(|server| server.list(&store, warm_up));
        servers
    };
    let warm = list(0, Duration::ZERO);
    let addresses: Vec<Addresses> = (0..GATEWAYS)
        .map(|number| Addresses::new(30 + u8::try_from(number).unwrap_or(0)))
        .collect();
    let seeds: Vec<SocketAddr> = addresses.iter().take(SEEDS).map(|one| one.peers).collect();
    let mut gateways: Vec<Process> = addresses
        .iter()
        .enumerate()
        .map(|(number, own)| {
            let zone = ZONES[number % ZONES.len()];
            process::gateway(folder, number, zone, own, &seeds, store_address)
        })
        .collect();
    gateways.iter_mut().for_each(Process::start);
    let is_up = || addresses.iter().all(Addresses::is_ready);
    if !process::wait(Duration::from_secs(10), is_up) {
        record.tell("the gateways did not become ready");
        return None;
    }
    record.add("6 gateways ready, 2 warm servers listed");
    let is_over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicUsize::new(0));
    let callers: Vec<SocketAddr> = addresses.iter().map(|one| one.callers).collect();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (callers, sent, record) = (callers.clone(), Arc::clone(&sent), record.clone());
            let (is_over, served) = (Arc::clone(&is_over), Arc::clone(&served));
            thread::spawn(move || {
                client(number, &callers, start, &sent, &is_over, &record, &served)
            })
        })
        .collect();
    thread::sleep(BEFORE);
    record.add("loss of power: all gateways and all servers");
    let lost = Instant::now();
    gateways.iter_mut().for_each(Process::kill);
    warm.iter().for_each(|server| server.lose_power(&store));
    thread::sleep(RESTART);
    let first_back = if is_dark { SEEDS } else { 0 };
    gateways[first_back..].iter_mut().for_each(Process::start);
    record.add(&format!(
        "gateways {first_back} to {} start again",
        GATEWAYS - 1
    ));
    thread::sleep(SERVERS_BACK);
    let cold = list(1, WARM_UP);
    record.add("the servers are back, cold for 3 s");
    thread::sleep(SEEDS_DARK.saturating_sub(lost.elapsed()));
    gateways[..first_back].iter_mut().for_each(Process::start);
    if is_dark {
        record.add("gateways 0 to 2, the seeds, start again");
    }
    thread::sleep(AFTER);
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().expect("a client");
    }
    let bound = f64::from(WARM_UP_RATE) * OVERAGE + SLACK;
    let mut is_held = true;
    for server in &cold {
        for one in server.arrivals.lock().expect("no panic").iter() {
            let (sent, at) = (one.sent.as_secs_f64(), one.at.as_secs_f64());
            record.add(&format!(
                "server {} got {} at {at:.3}, sent at {sent:.3}",
                server.id, one.attempt
            ));
        }
        let (most, from) = server.most_while_cold();
        let from = from.as_secs_f64();
        record.tell(&format!(
            "cold server {}: at most {most} requests in one second, from {from:.3} s; allowed {bound}",
            server.id
        ));
        is_held &= u32::try_from(most).is_ok_and(|most| f64::from(most) <= bound);
    }
    let served = served.load(Ordering::SeqCst);
    record.tell(&format!("{served} requests served"));
    (served > 0).then_some(is_held)
}
