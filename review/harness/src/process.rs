//! Processes that a run starts, addresses, and what their settings say.

use std::fs;
use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;

/// Program of the deploy file, relative to the repository.
const GATEWAY: &str = "target/release/auburnline-gateway";

/// Ports that a run takes.
const FIRST_PORT: u16 = 21_000;
const LAST_PORT: u16 = 30_000;

/// A process; it is killed on drop.
pub struct Process {
    command: Vec<String>,
    settings: Option<PathBuf>,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Returns a process that is not started yet.
    pub fn new(command: Vec<String>, settings: Option<PathBuf>, log: PathBuf) -> Process {
        Process {
            command,
            settings,
            log,
            child: None,
        }
    }

    /// Starts it.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("a log");
        let mut command = Command::new(&self.command[0]);
        command.args(&self.command[1..]).stdin(Stdio::null());
        command.stdout(log.try_clone().expect("a log")).stderr(log);
        if let Some(settings) = &self.settings {
            command.env("AUBURNLINE_SETTINGS", settings);
        }
        self.child = Some(command.spawn().expect("a program that starts"));
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether it has ended by itself since its start.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// Sends a signal to it, by its id.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let id = child.id().to_string();
            let sent = Command::new("kill").arg(signal).arg(id).status();
            assert!(sent.is_ok_and(|status| status.success()), "a signal");
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns a loopback host of this run for machine `number`.
pub fn host(number: u8) -> Ipv4Addr {
    let [low, high, ..] = std::process::id().to_le_bytes();
    Ipv4Addr::new(127, high | 0x40, low, number)
}

/// Returns a free port on a host. It is below those that the system takes for outgoing connections, and no other call gets it.
pub fn free(host: Ipv4Addr) -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    loop {
        let port = NEXT.fetch_add(1, Ordering::SeqCst);
        assert!(port < LAST_PORT, "a free port");
        let address = SocketAddr::from((host, port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Addresses of one gateway.
#[derive(Clone, Copy)]
pub struct Addresses {
    /// For clients.
    pub callers: SocketAddr,
    readiness: SocketAddr,
    discovery: SocketAddr,
    metrics: SocketAddr,
    /// For other processes of the system.
    pub peers: SocketAddr,
}

impl Addresses {
    /// Returns addresses on the host of machine `number`.
    pub fn new(number: u8) -> Addresses {
        let host = host(number);
        Addresses {
            callers: free(host),
            readiness: free(host),
            discovery: free(host),
            metrics: free(host),
            peers: free(host),
        }
    }

    /// Returns whether the gateway says that it is ready.
    pub fn is_ready(&self) -> bool {
        let text = "GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        let answer = http::call(self.readiness, text, Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status == 200)
    }
}

/// Returns a gateway with the settings that the template of the deploy file gives.
pub fn gateway(
    folder: &Path,
    number: usize,
    zone: &str,
    addresses: &Addresses,
    seeds: &[SocketAddr],
    store: SocketAddr,
) -> Process {
    let Addresses {
        callers,
        readiness,
        discovery,
        metrics,
        peers,
    } = addresses;
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    let settings = format!(
        "{{\"instance\":\"front-{zone}-{number}\",\"failure_domain\":\"{zone}\",\"callers\":\"{callers}\",
\"readiness\":\"{readiness}\",\"discovery\":\"{discovery}\",\"peers\":\"{peers}\",\"metrics\":\"{metrics}\",
\"seeds\":[{}],\"store\":\"{store}\",\"descriptors\":4200,\"revocation_ms\":5000,\"grace_ms\":8000,
\"retry_ratio\":0.2,\"retry_slack\":88,\"retry_window_ms\":10000,\"stall_ms\":1500,\"heartbeat_ms\":1200,
\"longest_answer_ms\":5000,\"features\":[\"startup-hold\",\"silence-detection\"]}}",
        seeds.join(",")
    );
    let path = folder.join(format!("front-{number}.json"));
    fs::write(&path, settings).expect("settings");
    let log = folder.join(format!("front-{number}.log"));
    Process::new(vec![GATEWAY.to_owned()], Some(path), log)
}

/// Waits until `condition` holds; returns whether it does within `time`.
pub fn wait(time: Duration, condition: impl Fn() -> bool) -> bool {
    let until = Instant::now() + time;
    while !condition() {
        if Instant::now() > until {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
    true
}
