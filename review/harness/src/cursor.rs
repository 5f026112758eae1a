//! A final fault after another writer has left an entry in the store.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
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

const GATEWAYS: usize = 3;
const SERVERS: usize = 3;
const CLIENTS: usize = 10;
const PAUSE: Duration = Duration::from_millis(200);
const WORK: Duration = Duration::from_millis(15);
/// Bytes of the other writer's value, below the store's limit of 1,048,576.
const FOREIGN_BYTES: usize = 800_000;
const BEFORE: Duration = Duration::from_secs(4);
/// From the final fault to the restart of the processes.
const DOWN: Duration = Duration::from_millis(1_600);
const RECOVERY: Duration = Duration::from_secs(12);
const AFTER: Duration = Duration::from_secs(8);

/// When a request was sent, and whether it was served.
type Outcomes = Arc<Mutex<Vec<(Instant, bool)>>>;

fn serve(number: u8, store: &Store) {
    let id = format!("i-{number}");
    let listener = TcpListener::bind(process::free(process::host(10 + number)));
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let own = id.clone();
    http::serve(listener, move |arrived, writer| {
        let instance = format!("X-Instance-Id: {own}\r\n");
        let expected = arrived.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != own) {
            return http::write_whole(writer, 421, &instance, "");
        }
        let attempt = arrived.header("x-attempt-id").unwrap_or_default();
        thread::sleep(WORK);
        let head = format!("X-Attempt-Id: {attempt}\r\nX-Response-Seal: s.{own}.{attempt}\r\n");
        http::write_whole(writer, 200, &head, "cover is valid")
    });
    let entry = format!(
        "{{\"service\":\"dispatch\",\"address\":\"{address}\",\"zone\":\"hall-nord\",\"version\":\"v1\",\"slots\":6,\
         \"state\":\"ready\",\"warmup-left-ms\":0,\"sequence\":0}}"
    );
    store.put(&format!("servers/{id}"), Some(&entry));
}

fn configuration() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"desk.example\",\"prefix\":\"/cover/\",\"kind\":\"safe\",\
      \"timeout-ms\":800,\"slo-ms\":100,\"priority\":2,\"service\":\"dispatch\",\"max-attempts\":2,\"anonymous\":false}],\
      \"services\":[{\"name\":\"dispatch\",\"health-path\":\"/health\",\"max-conns\":96}],\
      \"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\
      \"tenants\":[{\"name\":\"valley\",\"api-keys\":[\"key-1\"],\"priority\":1}]}"
        .to_owned()
}

fn client(
    number: usize,
    callers: &[SocketAddr],
    outcomes: &Outcomes,
    is_over: &AtomicBool,
    record: &Record,
) {
    let mut count = 0;
    while !is_over.load(Ordering::SeqCst) {
        let attempt = format!("c{number}-{count}");
        let text = format!(
            "GET /cover/2f HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 1500\r\n\
             X-Credential: key-1\r\n\r\n"
        );
        let sent = Instant::now();
        let gateway = (number + count) % callers.len();
        let answer = http::call(callers[gateway], &text, Duration::from_millis(1_500));
        let is_served = answer.as_ref().is_ok_and(|answer| answer.status == 200);
        let text = match answer {
            Ok(answer) => answer.status.to_string(),
            Err(error) => error.to_string(),
        };
        record.add(&format!(
            "client sent {attempt} to gateway {gateway}: {text}"
        ));
        outcomes.lock().expect("no panic").push((sent, is_served));
        count += 1;
        thread::sleep(PAUSE);
    }
}

/// Plays the case; returns whether the rule held, or none if the programs did not start. `trouble` is `0` without the entry,
/// `plain` with a key without a space, and `history` if the store forgets its history in place of the final fault.
pub fn run(folder: &Path, record: &Record, trouble: &str) -> Option<bool> {
    let store_address = process::free(process::host(1));
    let store = Store::start(store_address);
    store.put("op/config", Some(&configuration()));
    (0..SERVERS).for_each(|number| serve(u8::try_from(number).unwrap_or(0), &store));
    let addresses: Vec<Addresses> = (0..GATEWAYS)
        .map(|number| Addresses::new(30 + u8::try_from(number).unwrap_or(0)))
        .collect();
    let seeds: Vec<SocketAddr> = addresses.iter().map(|one| one.peers).collect();
    let mut gateways: Vec<Process> = addresses
        .iter()
        .enumerate()
        .map(|(number, own)| {
            process::gateway(folder, number, "hall-nord", own, &seeds, store_address)
        })
        .collect();
    gateways.iter_mut().for_each(Process::start);
    let is_up = || addresses.iter().all(Addresses::is_ready);
    if !process::wait(Duration::from_secs(10), is_up) {
        record.tell("the gateways did not become ready");
        return None;
    }
    let outcomes = Outcomes::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<SocketAddr> = addresses.iter().map(|one| one.callers).collect();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (callers, outcomes) = (callers.clone(), Arc::clone(&outcomes));
            let (is_over, record) = (Arc::clone(&is_over), record.clone());
            thread::spawn(move || client(number, &callers, &outcomes, &is_over, &record))
        })
        .collect();
    let key = match trouble {
        "0" => None,
        "plain" => Some("servers/backup-2026-12-04"),
        _ => Some("servers/backup 2026-12-04"),
    };
    thread::sleep(BEFORE);
    if let Some(key) = key {
        store.put_bytes(key, Some(&vec![0xFF; FOREIGN_BYTES]));
        record.add(&format!(
            "another writer puts {FOREIGN_BYTES} bytes under \"{key}\""
        ));
    }
    thread::sleep(BEFORE);
    let fault = Instant::now();
    if trouble == "history" {
        record.add("the store forgets its history; the processes run on");
        store.forget_history();
    } else {
        record.add("final fault: all processes are killed");
        gateways.iter_mut().for_each(Process::kill);
        thread::sleep(DOWN);
        gateways.iter_mut().for_each(Process::start);
        record.add("all processes start again");
    }
    let back = Instant::now();
    thread::sleep(RECOVERY + AFTER);
    is_over.store(true, Ordering::SeqCst);
    clients
        .into_iter()
        .for_each(|client| client.join().expect("a client"));
    let outcomes = outcomes.lock().expect("no panic");
    let count = |is_counted: &dyn Fn(Instant) -> bool| {
        let counted = outcomes.iter().filter(|(sent, _)| is_counted(*sent));
        let counted: Vec<bool> = counted.map(|(_, is_served)| *is_served).collect();
        (
            counted.iter().filter(|is_served| **is_served).count(),
            counted.len(),
        )
    };
    let (before, all_before) = count(&|sent| sent < fault);
    let (after, all_after) = count(&|sent| sent > back + RECOVERY);
    record.tell(&format!(
        "before the fault {before} of {all_before} served; later than {} s after it {after} of {all_after}",
        RECOVERY.as_secs()
    ));
    if 4 * before < all_before || all_after == 0 {
        return None;
    }
    Some(4 * after >= all_after)
}
