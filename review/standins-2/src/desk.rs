//! Stand-ins for servers of a plain service, which crash and start again under another id.

use std::io::BufReader;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::http;
use crate::http::Message;
use crate::record::Record;
use crate::store::Store;

/// Name of the service in the configuration and on the list.
pub const SERVICE: &str = "case-desk";
/// Path of the request that crashes the servers that run it.
pub const BAD: &str = "/hearing/bad";
/// Path of the health check.
pub const HEALTH: &str = "/health";
/// Work of a sound request.
const WORK: Duration = Duration::from_millis(30);
/// Time from the begin of the bad request until its server crashes: just after its client has left in case 5.
const CRASH_AFTER: Duration = Duration::from_millis(170);
/// Time from an answer with an error until the server that gave it crashes.
const EXIT_AFTER: Duration = Duration::from_millis(5);
/// Time until a server that crashed is back.
const DOWN: Duration = Duration::from_secs(2);
/// Time after a crash until the store removes the entry: three heartbeats.
const EXPIRY: Duration = Duration::from_millis(3_600);
/// Interval at which a listener looks for connections.
const POLL: Duration = Duration::from_millis(2);

/// What the servers have seen of the bad request.
#[derive(Default)]
pub struct Seen {
    /// When it reached a server.
    pub arrivals: Vec<Duration>,
    /// When it crashed one.
    pub crashes: Vec<Duration>,
}

/// What the bad request does to its servers.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Harm {
    /// Nothing.
    None,
    /// They crash, and it has no answer.
    Crash,
    /// They answer it with a status of 500 of their own, and crash then.
    CrashAfterError,
}

/// Servers of the service.
#[derive(Clone)]
pub struct Desk {
    store: Store,
    record: Record,
    seen: Arc<Mutex<Seen>>,
    harm: Harm,
}

/// One start of a server.
struct Start {
    id: String,
    has_crashed: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

impl Desk {
    /// Starts a server at each address.
    pub fn start(addresses: &[SocketAddr], harm: Harm, store: &Store, record: &Record) -> Desk {
        let desk = Desk {
            store: store.clone(),
            record: record.clone(),
            seen: Arc::default(),
            harm,
        };
        for (number, address) in addresses.iter().copied().enumerate() {
            let server = desk.clone();
            thread::spawn(move || {
                for start in 1.. {
                    server.run(number, start, address);
                    thread::sleep(DOWN);
                }
            });
        }
        desk
    }

    /// Returns what was seen of the bad request.
    pub fn seen(&self) -> std::sync::MutexGuard<'_, Seen> {
        self.seen.lock().expect("a lock")
    }

    /// Runs a server until it crashes.
    fn run(&self, number: usize, start: u64, address: SocketAddr) {
        let listener = TcpListener::bind(address).expect("a free address");
        listener.set_nonblocking(true).expect("a listener");
        let server = Arc::new(Start {
            id: format!("i-{number}-{start}"),
            has_crashed: AtomicBool::new(false),
            open: Mutex::default(),
        });
        let entry = json!({"service": SERVICE, "address": address, "zone": "milimani", "version": "v1", "slots": 6,
                           "state": "ready", "warmup-left-ms": 0, "sequence": 0});
        let key = format!("servers/{}", server.id);
        self.store.put(&key, Some(&entry));
        while !server.has_crashed.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(POLL);
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let (desk, server) = (self.clone(), Arc::clone(&server));
            thread::spawn(move || desk.serve(&server, stream));
        }
        drop(listener);
        for open in server.open.lock().expect("a lock").drain(..) {
            let _ = open.shutdown(Shutdown::Both);
        }
        let (store, key) = (self.store.clone(), key);
        thread::spawn(move || {
            thread::sleep(EXPIRY);
            store.put(&key, None);
        });
    }

    fn serve(&self, server: &Arc<Start>, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        if let Ok(open) = stream.try_clone() {
            server.open.lock().expect("a lock").push(open);
        }
        let Some(request) = http::read(&mut BufReader::new(stream)) else {
            return;
        };
        self.answer(server, &request, &mut writer);
        let _ = writer.shutdown(Shutdown::Both);
    }

    fn answer(&self, server: &Arc<Start>, request: &Message, writer: &mut TcpStream) {
        let id = request.header("x-attempt-id").unwrap_or_default();
        if request.target() == HEALTH {
            let headers = format!("X-Instance-Id: {}\r\n", server.id);
            http::answer(writer, 200, &headers, b"");
            return;
        }
        if request
            .header("x-expect-instance")
            .is_some_and(|expected| expected != server.id)
        {
            http::answer(writer, 421, "X-Not-Executed: 1\r\n", b"");
            return;
        }
        let headers = format!("X-Attempt-Id: {id}\r\nX-Response-Seal: s.{id}\r\n");
        if request.target() != BAD {
            thread::sleep(WORK);
        } else if self.harm == Harm::CrashAfterError {
            self.fail_bad(server, id, &headers, writer);
        } else {
            self.run_bad(server, id);
        }
        if server.has_crashed.load(Ordering::SeqCst) {
            return;
        }
        http::answer(writer, 200, &headers, id.as_bytes());
    }

    /// Runs the bad request, answers it with an error and crashes.
    fn fail_bad(&self, server: &Arc<Start>, id: &str, headers: &str, writer: &mut TcpStream) {
        self.seen().arrivals.push(self.record.now());
        self.record
            .add(&format!("server {}: runs the bad request {id}", server.id));
        thread::sleep(WORK);
        http::answer(writer, 500, headers, b"error");
        thread::sleep(EXIT_AFTER);
        self.crash(server, id);
    }

    fn crash(&self, server: &Arc<Start>, id: &str) {
        if !server.has_crashed.swap(true, Ordering::SeqCst) {
            self.seen().crashes.push(self.record.now());
            self.record
                .add(&format!("server {}: crashes under {id}", server.id));
        }
    }

    /// Runs the bad request, which goes on also if its connection is closed.
    fn run_bad(&self, server: &Arc<Start>, id: &str) {
        self.seen().arrivals.push(self.record.now());
        self.record
            .add(&format!("server {}: runs the bad request {id}", server.id));
        thread::sleep(CRASH_AFTER);
        if self.harm == Harm::Crash {
            self.crash(server, id);
        }
    }
}
