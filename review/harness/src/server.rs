//! A server as a process of its own, which streams its answers without a length and ends them with the connection.

use std::fs::File;
use std::io::Write as _;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::http::Arrived;

/// Pieces of each answer.
pub const PIECES: u64 = 28;
/// Time from one piece to the next.
pub const PACE: Duration = Duration::from_millis(70);

/// Serves on an address under an id, for as long as the process runs, and writes to a file what it runs.
pub fn run(address: &str, id: &str, ran: &str) {
    let listener = TcpListener::bind(address).expect("the server's address");
    let file = File::options().create(true).append(true).open(ran);
    let file = Mutex::new(file.expect("a file for what ran"));
    let id = id.to_owned();
    http::serve(listener, move |arrived, writer| {
        handle(&id, &file, arrived, writer)
    });
    loop {
        thread::sleep(Duration::from_secs(3_600));
    }
}

fn handle(id: &str, file: &Mutex<File>, arrived: &Arrived, writer: &mut TcpStream) -> bool {
    let instance = format!("X-Instance-Id: {id}\r\n");
    if arrived.path == "/health" {
        return http::write_whole(writer, 200, &instance, "");
    }
    if arrived
        .header("x-expect-instance")
        .is_some_and(|expected| expected != id)
    {
        return http::write_whole(writer, 421, &instance, "");
    }
    let attempt = arrived.header("x-attempt-id").unwrap_or_default();
    let after = arrived.header("last-event-id");
    let after: u64 = after.and_then(|text| text.parse().ok()).unwrap_or(0);
    let note = |text: &str| {
        let mut file = file.lock().expect("no thread panics with it");
        let _ = writeln!(file, "{attempt} {text}");
    };
    note(&format!("{id} runs it after piece {after}"));
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Seal: s.{id}.{attempt}\r\n\
         Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
    );
    if writer.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for piece in after + 1..=PIECES {
        thread::sleep(PACE);
        let event = format!("id: {piece}\ndata: piece {piece} of {attempt}\n\n");
        if writer.write_all(event.as_bytes()).is_err() {
            note(&format!("{id} could not send piece {piece}"));
            return false;
        }
    }
    note(&format!("{id} sent all pieces"));
    false
}
