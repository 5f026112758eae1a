//! A stand-in for the platform's store: items, ranges and watches, with one revision counter.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use crate::http;
use crate::http::Arrived;

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Most items and bytes of a page.
const MAX_ITEMS: usize = 500;
const MAX_BYTES: usize = 1_000_000;

#[derive(Default)]
struct Content {
    revision: u64,
    /// Revision up to which changes are forgotten.
    forgotten: u64,
    /// Key, creation and JSON of each item.
    items: Vec<(String, u64, String)>,
    /// Revision, key and JSON of each change.
    events: Vec<(u64, String, String)>,
}

/// A store.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<Content>, Condvar)>);

impl Store {
    /// Serves a new store on `address`.
    pub fn start(address: SocketAddr) -> Store {
        let store = Store::default();
        let listener = TcpListener::bind(address).expect("a free port for the store");
        let served = store.clone();
        http::serve(listener, move |arrived, writer| {
            served.handle(arrived, writer)
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, Content> {
        self.0.0.lock().expect("no thread panics with it")
    }

    /// Writes a JSON value under `key`, or removes the key.
    pub fn put(&self, key: &str, value: Option<&str>) {
        self.put_bytes(key, value.map(str::as_bytes));
    }

    /// Writes bytes under `key`, or removes the key.
    pub fn put_bytes(&self, key: &str, value: Option<&[u8]>) {
        let mut content = self.lock();
        content.revision += 1;
        let rev = content.revision;
        let known = content.items.iter().find(|(known, ..)| known == key);
        let created = known.map_or(rev, |(_, created, _)| *created);
        content.items.retain(|(known, ..)| known != key);
        let event = match value {
            Some(value) => {
                let value = base64(value);
                let item = format!(
                    "{{\"key\":\"{key}\",\"value\":\"{value}\",\"rev\":{rev},\"created-rev\":{created},\"lease\":0}}"
                );
                content.items.push((key.to_owned(), created, item.clone()));
                item
            }
            None => format!("{{\"key\":\"{key}\",\"rev\":{rev},\"deleted\":true}}"),
        };
        content.items.sort();
        content.events.push((rev, key.to_owned(), event));
        self.0.1.notify_all();
    }

    /// Forgets the history, which cuts watches that wait.
    pub fn forget_history(&self) {
        let mut content = self.lock();
        content.revision += 1;
        content.forgotten = content.revision;
        self.0.1.notify_all();
    }

    fn handle(&self, arrived: &Arrived, writer: &mut TcpStream) -> bool {
        let mut content = self.lock();
        let prefix = arrived.query("prefix").unwrap_or_default();
        if arrived.path.starts_with("/kv-key") {
            let key = arrived.query("key").unwrap_or_default();
            let found = content.items.iter().find(|(known, ..)| known == key);
            let (status, body) = found.map_or((404, "{}".to_owned()), |item| (200, item.2.clone()));
            drop(content);
            return answer(writer, status, &body);
        }
        if arrived.path.starts_with("/kv-range") {
            let after = arrived.query("after").map(decode).unwrap_or_default();
            let items = content.items.iter();
            let items = items.filter(|(key, ..)| key.starts_with(prefix) && *key > after);
            let mut page: Vec<&str> = Vec::new();
            let mut bytes = 0;
            let mut is_cut = false;
            for (.., item) in items {
                is_cut = page.len() >= MAX_ITEMS || bytes >= MAX_BYTES;
                if is_cut {
                    break;
                }
                bytes += item.len();
                page.push(item);
            }
            let body = format!(
                "{{\"items\":[{}],\"more-pages\":{is_cut},\"store-revision\":{}}}",
                page.join(","),
                content.revision
            );
            drop(content);
            return answer(writer, 200, &body);
        }
        let number = |name| arrived.query(name).and_then(|text| text.parse().ok());
        let after: u64 = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("wait-ms").unwrap_or(0).min(30_000));
        let has_event = |content: &Content| {
            let mut events = content.events.iter();
            events.any(|(rev, key, _)| *rev > after && key.starts_with(prefix))
        };
        let is_waiting = |content: &mut Content| !has_event(content) && content.forgotten <= after;
        let waited = self.0.1.wait_timeout_while(content, wait, is_waiting);
        content = waited.expect("no thread panics with it").0;
        if after < content.forgotten {
            drop(content);
            return answer(writer, 410, "{}");
        }
        let events = content.events.iter();
        let events = events.filter(|(rev, key, _)| *rev > after && key.starts_with(prefix));
        let events: Vec<&str> = events.map(|(.., event)| event.as_str()).collect();
        let body = format!(
            "{{\"events\":[{}],\"store-revision\":{}}}",
            events.join(","),
            content.revision
        );
        drop(content);
        answer(writer, 200, &body)
    }
}

fn answer(writer: &mut TcpStream, status: u16, body: &str) -> bool {
    http::write_whole(writer, status, "Content-Type: application/json\r\n", body)
}

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..part.len()].copy_from_slice(part);
        let word = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for place in 0..4 {
            let digit = usize::try_from(word >> (18 - 6 * place) & 63).unwrap_or(0);
            let is_padding = place > part.len();
            text.push(if is_padding {
                '='
            } else {
                char::from(DIGITS[digit])
            });
        }
    }
    text
}

/// Decodes a value of a query.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        let byte = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        decoded.push(byte.unwrap_or(bytes[at]));
        at += if byte.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
