//! An application server as a process of its own, which one request crashes some time after it begins to run. It works on
//! after a client has closed its connection, until the deadline that it was sent.

use std::fs::File;
use std::io::Write as _;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::http::Arrived;

/// Path of the request that crashes it.
pub const POISON: &str = "/cover/poison/2f";
/// Time that other requests take.
const WORK: Duration = Duration::from_millis(30);
/// Time that the request takes where it does not crash the server.
const LONG_WORK: Duration = Duration::from_millis(750);

/// Serves on an address under an id, and writes to a file what it runs. `crash_after` gives the milliseconds from the beginning
/// of the request's run to the crash; `never` for none.
pub fn run(address: &str, id: &str, ran: &str, crash_after: &str) {
    let listener = TcpListener::bind(address).expect("the server's address");
    let file = File::options().create(true).append(true).open(ran);
    let file = Mutex::new(file.expect("a file for what ran"));
    let id = id.to_owned();
    let crash_after = crash_after.parse().ok().map(Duration::from_millis);
    http::serve(listener, move |arrived, writer| {
        handle(&id, &file, crash_after, arrived, writer)
    });
    loop {
        thread::sleep(Duration::from_secs(3_600));
    }
}

fn handle(
    id: &str,
    file: &Mutex<File>,
    crash_after: Option<Duration>,
    arrived: &Arrived,
    writer: &mut TcpStream,
) -> bool {
    let instance = format!("X-Instance-Id: {id}\r\n");
    if arrived.path == "/health" {
        return http::write_whole(writer, 200, &instance, "");
    }
    let expected = arrived.header("x-expect-instance");
    if expected.is_some_and(|expected| expected != id) {
        return http::write_whole(writer, 421, &instance, "");
    }
    let attempt = arrived.header("x-attempt-id").unwrap_or_default();
    let signed = format!("X-Attempt-Id: {attempt}\r\nX-Response-Seal: s.{id}.{attempt}\r\n");
    if arrived.path != POISON {
        thread::sleep(WORK);
        return http::write_whole(writer, 200, &signed, "cover is valid");
    }
    let deadline = arrived.header("x-deadline-ms");
    let deadline: u64 = deadline.and_then(|text| text.parse().ok()).unwrap_or(0);
    let deadline = Duration::from_millis(deadline);
    let note = |text: &str| {
        let mut file = file.lock().expect("no thread panics with it");
        let _ = writeln!(file, "{attempt} {id} {text}");
    };
    note(&format!("begins, with {} ms left", deadline.as_millis()));
    let time = crash_after.unwrap_or(LONG_WORK);
    thread::sleep(time.min(deadline));
    if deadline <= time {
        note("stops at the deadline");
        return http::write_whole(writer, 504, &signed, "");
    }
    if crash_after.is_some() {
        note("crashes");
        process::exit(1);
    }
    note("answers");
    http::write_whole(writer, 200, &signed, "cover is valid")
}
