//! A small HTTP/1.1 server and client on blocking sockets.

use std::io::BufRead as _;
use std::io::BufReader;
use std::io::Read as _;
use std::io::Result;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Head and body of a request or an answer.
pub struct Message {
    /// Request line or status line.
    pub line: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    /// Body, without its framing.
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub is_whole: bool,
}

impl Message {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1).unwrap_or_default();
        status.parse().unwrap_or(0)
    }

    /// Returns a parameter of a request's query, undecoded.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(known, _)| *known == name)
            .map(|(_, value)| value)
    }
}

/// Reads a head; `None` at the end of the connection.
fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header).ok()? == 0 {
            return None;
        }
        let header = header.trim_end();
        if header.is_empty() {
            break;
        }
        let (name, value) = header.split_once(':')?;
        headers.push((name.trim().to_lowercase(), value.trim().to_owned()));
    }
    Some(Message {
        line: line.trim_end().to_owned(),
        headers,
        body: Vec::new(),
        is_whole: false,
    })
}

/// Reads the body that a head announces; returns whether it came to its end.
fn read_body(message: &mut Message, reader: &mut BufReader<TcpStream>) -> bool {
    if message.header("transfer-encoding") == Some("chunked") {
        loop {
            let mut size = String::new();
            if reader.read_line(&mut size).unwrap_or(0) == 0 {
                return false;
            }
            let Ok(size) = usize::from_str_radix(size.trim_end(), 16) else {
                return false;
            };
            let mut chunk = vec![0; size + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return false;
            }
            if size == 0 {
                return true;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = message.header("content-length");
    let length = length.and_then(|length| length.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).is_ok()
}

/// Reads a whole message; `None` at the end of the connection.
pub fn read(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = read_head(reader)?;
    message.is_whole = read_body(&mut message, reader);
    Some(message)
}

/// Serves requests at an address, each connection on a thread of its own. The handler writes the answer, and returns
/// whether the connection stays open.
pub fn serve(
    address: SocketAddr,
    handle: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr()?;
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
                while let Some(request) = read(&mut reader) {
                    if !request.is_whole || !handle(&request, &mut writer) {
                        return;
                    }
                }
            });
        }
    });
    Ok(bound)
}

/// Writes an answer with a length; returns whether that succeeded.
pub fn answer(writer: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> bool {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} -\r\n{headers}Content-Length: {length}\r\n\r\n");
    let whole = [head.as_bytes(), body].concat();
    writer.write_all(&whole).is_ok()
}

/// Sends a request on a connection of its own and reads the answer; `None` if there is none.
pub fn call(
    to: SocketAddr,
    line: &str,
    headers: &str,
    body: &[u8],
    limit: Duration,
) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    let _ = stream.set_read_timeout(Some(limit));
    let length = body.len();
    let head = format!("{line} HTTP/1.1\r\n{headers}Content-Length: {length}\r\n\r\n");
    stream.write_all(&[head.as_bytes(), body].concat()).ok()?;
    read(&mut BufReader::new(stream))
}
