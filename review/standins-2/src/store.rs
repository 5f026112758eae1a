//! Stand-in for the platform's store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;
use serde_json::json;

use crate::http;
use crate::http::Message;

/// Most items of a page.
const PAGE: usize = 500;

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Value>,
    events: Vec<Value>,
}

/// A store, served at an address of its own.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    /// Starts a store on a free port of a host.
    pub fn start(host: SocketAddr) -> std::io::Result<(Store, SocketAddr)> {
        let store = Store::default();
        let served = store.clone();
        let address = http::serve(host, move |request, writer| served.handle(request, writer))?;
        Ok((store, address))
    }

    /// Writes a value under a key, or removes the key.
    pub fn put(&self, key: &str, value: Option<&Value>) {
        let mut state = self.0.0.lock().expect("a lock");
        state.revision += 1;
        let rev = state.revision;
        let event = match value {
            Some(value) => {
                let known = state.items.get(key);
                let created = known.map_or(json!(rev), |known| known["created-rev"].clone());
                let value = STANDARD.encode(value.to_string());
                let item = json!({"key": key, "value": value, "rev": rev, "created-rev": created, "lease": 0});
                state.items.insert(key.to_owned(), item.clone());
                item
            }
            None => {
                state.items.remove(key);
                json!({"key": key, "rev": rev, "deleted": true})
            }
        };
        state.events.push(event);
        self.0.1.notify_all();
    }

    fn handle(&self, request: &Message, writer: &mut TcpStream) -> bool {
        let path = request.target().split('?').next().unwrap_or_default();
        let (status, body) = match path {
            "/kv-key" => self.key(request.query("key").unwrap_or_default()),
            "/kv-range" => self.range(request),
            "/kv-watch" => self.watch(request),
            _ => (404, json!({})),
        };
        let body = body.to_string();
        http::answer(
            writer,
            status,
            "Content-Type: application/json\r\n",
            body.as_bytes(),
        )
    }

    fn key(&self, key: &str) -> (u16, Value) {
        let state = self.0.0.lock().expect("a lock");
        match state.items.get(key) {
            Some(item) => (200, item.clone()),
            None => (404, json!({})),
        }
    }

    fn range(&self, request: &Message) -> (u16, Value) {
        let state = self.0.0.lock().expect("a lock");
        let after = request
            .query("after")
            .unwrap_or_default()
            .replace("%2F", "/");
        let items = state.items.iter().filter(|(key, _)| **key > after);
        let items: Vec<Value> = items.map(|(_, item)| item.clone()).collect();
        let has_more = items.len() > PAGE;
        let items = &items[..items.len().min(PAGE)];
        let revision = state.revision;
        (
            200,
            json!({"items": items, "more-pages": has_more, "store-revision": revision}),
        )
    }

    fn watch(&self, request: &Message) -> (u16, Value) {
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse().ok())
                .unwrap_or(0)
        };
        let (after, wait) = (number("after"), Duration::from_millis(number("wait-ms")));
        let state = self.0.0.lock().expect("a lock");
        let waited = self
            .0
            .1
            .wait_timeout_while(state, wait, |state| state.revision <= after);
        let (state, _) = waited.expect("a lock");
        let events = state
            .events
            .iter()
            .filter(|event| event["rev"].as_u64() > Some(after));
        let events: Vec<&Value> = events.collect();
        (
            200,
            json!({"events": events, "store-revision": state.revision}),
        )
    }
}
