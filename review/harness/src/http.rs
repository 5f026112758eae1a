//! HTTP/1.1 as far as the stand-ins need it.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A received request; header names are in lower case.
pub struct Arrived {
    /// Path with the query.
    pub path: String,
    headers: Vec<(String, String)>,
}

impl Arrived {
    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a value of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.path.split_once('?')?.1.split('&');
        let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// Reads one request; `None` at the end of the connection.
fn read(reader: &mut impl BufRead) -> Option<Arrived> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let path = words.nth(1)?.to_owned();
    let headers = read_headers(reader).ok()?;
    let arrived = Arrived { path, headers };
    let length = arrived.header("content-length");
    let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(arrived)
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            return Ok(headers);
        };
        headers.push((name.to_lowercase(), value.trim().to_owned()));
    }
}

/// Serves each connection of a listener on its own thread, until `handle` returns false.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(&Arrived, &mut TcpStream) -> bool + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Some(arrived) = read(&mut reader) {
                    if !handle(&arrived, &mut writer) {
                        return;
                    }
                }
            });
        }
    });
}

/// Writes a whole answer; returns whether the connection still holds.
pub fn write_whole(writer: &mut TcpStream, status: u16, headers: &str, body: &str) -> bool {
    let length = body.len();
    let text = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    writer.write_all(text.as_bytes()).is_ok()
}

/// How an answer ended at a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With its last chunk, or at its length.
    Complete,
    /// With the connection before that.
    Cut,
}

/// An answer as a client sees it.
pub struct Answer {
    /// Status.
    pub status: u16,
    /// Head, in lower case.
    pub headers: Vec<(String, String)>,
    /// Bytes of the body.
    pub body: Vec<u8>,
    /// How it ended.
    pub end: End,
}

impl Answer {
    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Sends one request on a new connection and reads the answer. The client gives up after a pause of `patience`.
pub fn call(address: SocketAddr, text: &str, patience: Duration) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    stream.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let status = line.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status = status.ok_or(io::ErrorKind::UnexpectedEof)?;
    let headers = read_headers(&mut reader)?;
    let mut answer = Answer {
        status,
        headers,
        body: Vec::new(),
        end: End::Cut,
    };
    let is_chunked = answer.header("transfer-encoding") == Some("chunked");
    let length = answer.header("content-length");
    let length: Option<usize> = length.and_then(|text| text.parse().ok());
    let is_whole = match length {
        _ if is_chunked => read_chunks(&mut reader, &mut answer.body),
        Some(length) => read_part(&mut reader, length, &mut answer.body),
        None => reader.read_to_end(&mut answer.body).is_ok(),
    };
    if is_whole {
        answer.end = End::Complete;
    }
    Ok(answer)
}

fn read_part(reader: &mut impl BufRead, length: usize, body: &mut Vec<u8>) -> bool {
    let mut part = vec![0; length];
    let is_whole = reader.read_exact(&mut part).is_ok();
    if is_whole {
        body.extend(part);
    }
    is_whole
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> bool {
    loop {
        let mut size = String::new();
        if !matches!(reader.read_line(&mut size), Ok(1..)) {
            return false;
        }
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
            return false;
        };
        let mut part = Vec::new();
        if !read_part(reader, size + 2, &mut part) {
            return false;
        }
        if size == 0 {
            return true;
        }
        body.extend(&part[..size]);
    }
}
