//! Stand-ins for the servers of a language model, which crash under prompts with one part and start again under another id.

use std::io::BufReader;
use std::io::Write as _;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::http;
use crate::http::Message;
use crate::record::Record;
use crate::store::Store;

/// Name of the service in the configuration and on the list.
pub const SERVICE: &str = "plan-drafter";
/// Id of the part that crashes the servers that run a prompt with it.
pub const DEADLY: &str = "bad0c1a5e";
/// Path of the health check.
pub const HEALTH: &str = "/health";
/// Requests that a server runs at once.
pub const SLOTS: usize = 12;
/// Events of a stream, and the pause after each.
const EVENTS: u64 = 28;
const PAUSE: Duration = Duration::from_millis(30);
/// Time from the begin of such a request until its server crashes.
const CRASH_AFTER: Duration = Duration::from_millis(20);
/// Time until a server that crashed is back.
const DOWN: Duration = Duration::from_secs(2);
/// Time after a crash until the store removes the entry: three heartbeats.
const EXPIRY: Duration = Duration::from_millis(3_600);
/// Interval at which a listener looks for connections.
const POLL: Duration = Duration::from_millis(2);

/// What the servers have seen.
#[derive(Default)]
pub struct Seen {
    /// When requests with the part reached servers.
    pub arrivals: Vec<Duration>,
    /// When they crashed one.
    pub crashes: Vec<Duration>,
}

/// Servers of the service.
#[derive(Clone)]
pub struct Drafter {
    store: Store,
    record: Record,
    seen: Arc<Mutex<Seen>>,
    is_deadly: bool,
}

/// One start of a server.
struct Start {
    id: String,
    has_crashed: AtomicBool,
    running: AtomicUsize,
    open: Mutex<Vec<TcpStream>>,
}

impl Start {
    fn is_down(&self) -> bool {
        self.has_crashed.load(Ordering::SeqCst)
    }
}

impl Drafter {
    /// Starts a server at each address. `is_deadly` tells whether the part crashes them.
    pub fn start(
        addresses: &[SocketAddr],
        is_deadly: bool,
        store: &Store,
        record: &Record,
    ) -> Drafter {
        let drafter = Drafter {
            store: store.clone(),
            record: record.clone(),
            seen: Arc::default(),
            is_deadly,
        };
        for (number, address) in addresses.iter().copied().enumerate() {
            let server = drafter.clone();
            thread::spawn(move || {
                for start in 1.. {
                    server.run(number, start, address);
                    thread::sleep(DOWN);
                }
            });
        }
        drafter
    }

    /// Returns what was seen.
    pub fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().expect("a lock")
    }

    /// Runs a server until it crashes.
    fn run(&self, number: usize, start: u64, address: SocketAddr) {
        let listener = TcpListener::bind(address).expect("a free address");
        listener.set_nonblocking(true).expect("a listener");
        let server = Arc::new(Start {
            id: format!("i-{number}-{start}"),
            has_crashed: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            open: Mutex::default(),
        });
        let entry = json!({"service": SERVICE, "address": address, "zone": "milimani", "version": "v1", "slots": SLOTS,
                           "state": "ready", "warmup-left-ms": 0, "sequence": 0});
        let key = format!("servers/{}", server.id);
        self.store.put(&key, Some(&entry));
        while !server.is_down() {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(POLL);
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let (drafter, server) = (self.clone(), Arc::clone(&server));
            thread::spawn(move || drafter.serve(&server, stream));
        }
        drop(listener);
        for open in server.open.lock().expect("a lock").drain(..) {
            let _ = open.shutdown(Shutdown::Both);
        }
        let store = self.store.clone();
        thread::spawn(move || {
            thread::sleep(EXPIRY);
            store.put(&key, None);
        });
    }

    fn serve(&self, server: &Arc<Start>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (Ok(mut writer), Ok(open)) = (stream.try_clone(), stream.try_clone()) else {
            return;
        };
        server.open.lock().expect("a lock").push(open);
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read(&mut reader) {
            if server.is_down() || !self.answer(server, &request, &mut writer) {
                break;
            }
        }
        let _ = writer.shutdown(Shutdown::Both);
    }

    fn answer(&self, server: &Arc<Start>, request: &Message, writer: &mut TcpStream) -> bool {
        let id = request.header("x-attempt-id").unwrap_or_default();
        if request.target() == HEALTH {
            let headers = format!("X-Instance-Id: {}\r\n", server.id);
            return http::answer(writer, 200, &headers, b"");
        }
        let echo = format!("X-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\n");
        if request
            .header("x-expect-instance")
            .is_some_and(|expected| expected != server.id)
        {
            return http::answer(writer, 421, &echo, b"");
        }
        if server.running.fetch_add(1, Ordering::SeqCst) >= SLOTS {
            server.running.fetch_sub(1, Ordering::SeqCst);
            return http::answer(writer, 503, &echo, b"");
        }
        let prompt = request.header("x-prompt-prefix").unwrap_or_default();
        if prompt.contains(DEADLY) {
            self.run_bad(server, id);
        }
        let is_open = stream(server, id, writer).is_ok();
        server.running.fetch_sub(1, Ordering::SeqCst);
        is_open
    }

    fn run_bad(&self, server: &Arc<Start>, id: &str) {
        self.seen().arrivals.push(self.record.now());
        self.record.add(&format!("server {}: runs {id}", server.id));
        thread::sleep(CRASH_AFTER);
        if self.is_deadly && !server.has_crashed.swap(true, Ordering::SeqCst) {
            self.seen().crashes.push(self.record.now());
            self.record
                .add(&format!("server {}: crashes under {id}", server.id));
        }
    }
}

/// Writes the events of an answer.
fn stream(server: &Start, id: &str, writer: &mut TcpStream) -> std::io::Result<()> {
    if server.is_down() {
        return Err(std::io::ErrorKind::ConnectionReset.into());
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s.{id}\r\nX-Weight-Versions: 1\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    writer.write_all(head.as_bytes())?;
    for number in 1..=EVENTS {
        thread::sleep(PAUSE);
        if server.is_down() {
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        let event = format!("id: {number}\ndata: {number}\n\n");
        let end = if number == EVENTS { "0\r\n\r\n" } else { "" };
        writer.write_all(format!("{:x}\r\n{event}\r\n{end}", event.len()).as_bytes())?;
    }
    Ok(())
}
