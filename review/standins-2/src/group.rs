//! Stand-in for a group of engines that run in lock-step, by the page PROTOCOL.md: they execute each pass together, an
//! idle group makes no passes, and a pass does not begin while a rank holds it.

use std::collections::BTreeMap;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::http;
use crate::http::Message;
use crate::record::Record;

/// Name of the service in the configuration and on the list.
pub const SERVICE: &str = "plan-drafter";
/// Experts in the only set of layers.
pub const EXPERTS: usize = 12;
/// Places of a rank, and most experts that one order to prepare may add.
pub const PLACES: usize = 6;
/// See [`PLACES`].
pub const SPARE: usize = 2;
/// Time that a pass takes.
const PASS: Duration = Duration::from_millis(70);
/// Time that a rank takes to copy an expert: 780 MB over 44,000 Mbit/s.
const COPY: Duration = Duration::from_millis(142);
/// How often the requests of a pass choose the expert that is in demand, and each other one.
const CHOSEN: (u64, u64) = (2_000, 100);
/// Number of the epoch of the only formation.
const EPOCH: u64 = 1;
/// Rank at which the product holds a group.
const HOLDER: usize = 1;

type Layers = Vec<Vec<u64>>;

#[derive(Clone, Default)]
struct Rank {
    version: u64,
    map: Layers,
    /// Highest version that the rank has had.
    highest: u64,
    /// Map being copied, and when that is done.
    copying: Option<(u64, Layers, Instant)>,
    prepared: Option<(u64, Layers)>,
    /// Version and pass.
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    chosen: Vec<u64>,
    orders: u64,
    streams: BTreeMap<u64, Run>,
    /// Whether its machine stands still.
    is_frozen: bool,
}

/// A stream that runs.
struct Run {
    left: u64,
    events: Sender<bool>,
}

impl Clone for Run {
    fn clone(&self) -> Run {
        Run {
            left: self.left,
            events: self.events.clone(),
        }
    }
}

#[derive(Default)]
struct State {
    ranks: Vec<Rank>,
    step: u64,
    next_stream: u64,
    /// Whether answers come to their end with the pass that runs.
    is_ending: bool,
    /// Passes that began while ranks had different maps.
    mixed: Vec<String>,
    passes: u64,
}

/// What a case does as soon as the group is held for the first time, before the order is answered.
type OnHold = Box<dyn Fn() + Send + Sync>;

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    on_hold: Mutex<Option<OnHold>>,
    record: Record,
    events: u64,
}

/// A group of engines.
#[derive(Clone)]
pub struct Group(Arc<Shared>);

impl Group {
    /// Starts an engine at each address, and the passes. Streams have this many events.
    pub fn start(addresses: &[SocketAddr], events: u64, record: &Record) -> std::io::Result<Group> {
        let ranks = addresses.len();
        let initial = |rank: usize| Rank {
            map: vec![
                (0..EXPERTS as u64)
                    .filter(|expert| *expert as usize % ranks == rank)
                    .collect(),
            ],
            chosen: vec![0; EXPERTS],
            ..Rank::default()
        };
        let state = State {
            ranks: (0..ranks).map(initial).collect(),
            step: 10,
            ..State::default()
        };
        let group = Group(Arc::new(Shared {
            state: Mutex::new(state),
            changed: Condvar::new(),
            on_hold: Mutex::new(None),
            record: record.clone(),
            events,
        }));
        for (rank, address) in addresses.iter().enumerate() {
            let served = group.clone();
            http::serve(*address, move |request, writer| {
                served.handle(rank, request, writer)
            })?;
        }
        let passing = group.clone();
        thread::spawn(move || {
            loop {
                passing.pass();
            }
        });
        Ok(group)
    }

    /// Sets what is done as soon as the group is held for the first time.
    pub fn on_hold(&self, act: impl Fn() + Send + Sync + 'static) {
        *self.0.on_hold.lock().expect("a lock") = Some(Box::new(act));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().expect("a lock")
    }

    /// Returns the newest pass that has begun, the pass that is held, and the map versions in force.
    pub fn look(&self) -> (u64, Option<u64>, Vec<u64>) {
        let state = self.lock();
        let versions = state.ranks.iter().map(|rank| rank.version);
        (state.step, state.ranks[HOLDER].held, versions.collect())
    }

    /// Returns the passes that began while ranks had different maps, and how many passes began in all.
    pub fn verdict(&self) -> (Vec<String>, u64) {
        let state = self.lock();
        (state.mixed.clone(), state.passes)
    }

    /// Returns whether a stream runs.
    pub fn is_busy(&self) -> bool {
        self.lock()
            .ranks
            .iter()
            .any(|rank| !rank.streams.is_empty())
    }

    /// Lets the machine of a rank stand still with its engine, or go on.
    pub fn set_frozen(&self, rank: usize, is_frozen: bool) {
        self.lock().ranks[rank].is_frozen = is_frozen;
        self.0.changed.notify_all();
    }

    /// Lets streams run to their full length again.
    pub fn resume(&self) {
        self.lock().is_ending = false;
    }

    fn pass(&self) {
        let shared = &self.0;
        let mut state = self.lock();
        loop {
            let next = state.step + 1;
            let is_busy = state.ranks.iter().any(|rank| !rank.streams.is_empty());
            let is_held = state
                .ranks
                .iter()
                .any(|rank| rank.held == Some(next) || rank.is_frozen);
            if is_busy && !is_held {
                break;
            }
            state = shared.changed.wait(state).expect("a lock");
        }
        state.step += 1;
        state.passes += 1;
        let pass = state.step;
        for rank in &mut state.ranks {
            if let Some((version, _)) = rank.armed.take_if(|(_, step)| *step == pass)
                && let Some((_, map)) = rank.prepared.take()
            {
                (rank.version, rank.map) = (version, map);
            }
        }
        let versions: Vec<u64> = state.ranks.iter().map(|rank| rank.version).collect();
        if versions.iter().any(|version| *version != versions[0]) {
            let line = format!("pass {pass} begins on maps {versions:?}");
            shared.record.add(&format!("MAP broken: {line}"));
            state.mixed.push(line);
        } else if pass % 20 == 0 {
            shared
                .record
                .add(&format!("pass {pass} begins on maps {versions:?}"));
        }
        drop(state);
        thread::sleep(PASS);
        self.emit();
    }

    /// Ends a pass: each stream makes an event.
    fn emit(&self) {
        let mut state = self.lock();
        let is_ending = state.is_ending;
        for rank in &mut state.ranks {
            let runs = rank.streams.len() as u64;
            for (expert, chosen) in rank.chosen.iter_mut().enumerate() {
                *chosen += runs * if expert == 0 { CHOSEN.0 } else { CHOSEN.1 };
            }
            rank.streams.retain(|_, run| {
                run.left = if is_ending { 0 } else { run.left - 1 };
                let is_last = run.left == 0;
                run.events.send(is_last).is_ok() && !is_last
            });
        }
    }

    fn handle(&self, rank: usize, request: &Message, writer: &mut TcpStream) -> bool {
        let json = "Content-Type: application/json\r\n";
        let state = self.lock();
        drop(
            self.0
                .changed
                .wait_while(state, |state| state.ranks[rank].is_frozen),
        );
        let path = request
            .target()
            .split('?')
            .next()
            .unwrap_or_default()
            .to_owned();
        match path.as_str() {
            "/report" => http::answer(writer, 200, json, self.report(rank).to_string().as_bytes()),
            "/picked" => {
                let body = self.picked(rank, request.query("lists").is_some());
                http::answer(writer, 200, json, body.to_string().as_bytes())
            }
            "/order" => {
                let order: Value = serde_json::from_slice(&request.body).unwrap_or_default();
                let status = self.order(rank, &order);
                self.0
                    .record
                    .add(&format!("rank {rank}: {} -> {status}", brief(&order)));
                http::answer(writer, status, json, b"{}")
            }
            "/health" => http::answer(writer, 200, "", b""),
            _ => self.stream(rank, request, writer),
        }
    }

    fn report(&self, rank: usize) -> Value {
        let mut state = self.lock();
        state.settle(rank);
        let (size, step) = (state.ranks.len(), state.step);
        let of = &state.ranks[rank];
        let armed = of
            .armed
            .map(|(version, step)| json!({"version": version, "step": step}));
        json!({
            "stage": "unified", "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": of.copying.is_some(), "sequence": of.orders, "waiting": 0, "running": of.streams.len(),
            "kv-used": 0, "kv-total": 372_000, "handles": 0, "pace": 1.0,
            "group": {"name": "g-1", "epoch": EPOCH, "rank": rank, "state": "open"}, "size": size,
            "step": step, "placement-map": of.version, "armed": armed, "held": of.held,
            "prepared": of.prepared.as_ref().map(|(version, _)| *version),
        })
    }

    fn picked(&self, rank: usize, has_lists: bool) -> Value {
        let state = self.lock();
        let of = &state.ranks[rank];
        if has_lists {
            return json!({"placement-map": {"version": of.version, "experts": of.map}, "prepared": null});
        }
        json!({"step": state.step, "epoch": EPOCH, "expert-counts": of.chosen})
    }

    fn order(&self, rank: usize, order: &Value) -> u16 {
        let mut state = self.lock();
        state.settle(rank);
        if order["epoch"].as_u64().is_some_and(|epoch| epoch != EPOCH) {
            return 409;
        }
        let begun = state.step;
        let (version, step) = (order["version"].as_u64(), order["step"].as_u64());
        let (version, step) = (version.unwrap_or(0), step.unwrap_or(0));
        let of = &mut state.ranks[rank];
        of.orders += 1;
        let status = match order["operation"].as_str() {
            Some("prepare") => of.prepare(rank, version, &order["placement-map"]),
            Some("arm") => of.arm(version, step, begun),
            Some("hold") if of.held == Some(step) => 200,
            Some("hold") if step <= begun || of.held.is_some() => 409,
            Some("hold") => {
                of.held = Some(step);
                202
            }
            Some("go") => {
                of.held.take_if(|held| *held == step);
                200
            }
            _ => 400,
        };
        drop(state);
        self.0.changed.notify_all();
        if status == 202 && order["operation"] == "hold" {
            let act = self.0.on_hold.lock().expect("a lock").take();
            if let Some(act) = act {
                act();
                self.lock().is_ending = true;
            }
        }
        status
    }

    fn stream(&self, rank: usize, request: &Message, writer: &mut TcpStream) -> bool {
        let id = request
            .header("x-attempt-id")
            .unwrap_or_default()
            .to_owned();
        let events = self.begin(rank);
        self.0.record.add(&format!("rank {rank}: runs stream {id}"));
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s.{id}\r\nX-Weight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut is_open = writer.write_all(head.as_bytes()).is_ok();
        for (number, is_last) in (1..).zip(events.iter()) {
            let event = format!("id: {number}\ndata: {id}.{number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            let end = if is_last { "0\r\n\r\n" } else { "" };
            is_open = is_open && writer.write_all(format!("{chunk}{end}").as_bytes()).is_ok();
            if is_last || !is_open {
                break;
            }
        }
        is_open
    }

    fn begin(&self, rank: usize) -> Receiver<bool> {
        let (sender, receiver) = channel();
        let mut state = self.lock();
        state.next_stream += 1;
        let number = state.next_stream;
        let run = Run {
            left: self.0.events,
            events: sender,
        };
        state.ranks[rank].streams.insert(number, run);
        drop(state);
        self.0.changed.notify_all();
        receiver
    }
}

impl State {
    /// Ends copying that is done.
    fn settle(&mut self, rank: usize) {
        let of = &mut self.ranks[rank];
        if let Some((version, map, _)) =
            of.copying.take_if(|(_, _, until)| *until <= Instant::now())
        {
            of.prepared = Some((version, map));
        }
    }
}

impl Rank {
    fn prepare(&mut self, rank: usize, version: u64, map: &Value) -> u16 {
        let is_done = self
            .prepared
            .as_ref()
            .is_some_and(|(known, _)| *known == version);
        let is_under_way = self
            .copying
            .as_ref()
            .is_some_and(|(known, _, _)| *known == version);
        if is_done || is_under_way {
            return if is_done { 200 } else { 202 };
        }
        let own = |layer: &Value| {
            let held = layer[rank].as_array().cloned().unwrap_or_default();
            held.iter().filter_map(Value::as_u64).collect::<Vec<u64>>()
        };
        let layers: Layers = map.as_array().into_iter().flatten().map(own).collect();
        let new = layers.iter().zip(&self.map);
        let new =
            new.map(|(after, before)| after.iter().filter(|one| !before.contains(one)).count());
        let new: usize = new.sum();
        if version <= self.highest || self.armed.is_some() || new > SPARE || layers.is_empty() {
            return 409;
        }
        self.highest = version;
        let until = Instant::now() + COPY * u32::try_from(new).unwrap_or(1);
        self.copying = Some((version, layers, until));
        202
    }

    fn arm(&mut self, version: u64, step: u64, begun: u64) -> u16 {
        if self.armed == Some((version, step)) {
            return 200;
        }
        let is_prepared = self
            .prepared
            .as_ref()
            .is_some_and(|(known, _)| *known == version);
        if !is_prepared || step <= begun {
            return 409;
        }
        self.armed = Some((version, step));
        202
    }
}

/// Describes an order in a few words.
fn brief(order: &Value) -> String {
    let operation = order["operation"].as_str().unwrap_or_default();
    format!(
        "{operation} version {} step {}",
        order["version"], order["step"]
    )
}
