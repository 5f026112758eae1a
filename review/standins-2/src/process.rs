//! The project's programs as processes of a case.

use std::fs;
use std::io::Result;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::http;

/// Time within which a gateway has to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Processes that were started and not ended yet.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends this process and all that it started, if it runs for longer than `limit`.
pub fn end_after(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        for process in RUNNING.lock().expect("a lock").iter() {
            signal(*process, "-KILL");
        }
        std::process::exit(2);
    });
}

/// One program, which is killed on drop.
pub struct Program {
    binary: PathBuf,
    settings: PathBuf,
    child: Child,
}

impl Program {
    /// Starts a program of the deploy file with these settings, in the repository's root.
    pub fn start(name: &str, folder: &Path, file: &str, settings: &Value) -> Result<Program> {
        let path = folder.join(format!("{file}.json"));
        fs::write(&path, settings.to_string())?;
        Program::start_with(name, path)
    }

    /// Starts a program with the settings in a file.
    pub fn start_with(name: &str, settings: PathBuf) -> Result<Program> {
        let binary = PathBuf::from("target/release").join(name);
        let child = spawn(&binary, &settings)?;
        Ok(Program {
            binary,
            settings,
            child,
        })
    }

    /// Returns the settings file.
    pub fn settings(&self) -> &Path {
        &self.settings
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the status of a process that has ended, and the last line that it wrote.
    pub fn last_words(&mut self) -> String {
        let status = self
            .child
            .try_wait()
            .ok()
            .flatten()
            .and_then(|status| status.code());
        let text = fs::read_to_string(self.settings.with_extension("out")).unwrap_or_default();
        let line = text
            .lines()
            .rev()
            .find(|line| !line.trim().is_empty())
            .unwrap_or_default();
        format!("status {status:?}, {}", line.trim())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let id = self.child.id();
        RUNNING
            .lock()
            .expect("a lock")
            .retain(|process| *process != id);
    }

    /// Starts a process again that was killed.
    pub fn start_again(&mut self) -> Result<()> {
        self.kill();
        self.child = spawn(&self.binary, &self.settings)?;
        Ok(())
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(binary: &Path, settings: &Path) -> Result<Child> {
    let log = fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(settings.with_extension("out"))?;
    let child = Command::new(binary)
        .env("AUBURNLINE_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    RUNNING.lock().expect("a lock").push(child.id());
    Ok(child)
}

/// Sends a signal to a process that this case started.
pub fn signal(process: u32, name: &str) {
    let _ = Command::new("kill")
        .args([name, &process.to_string()])
        .status();
}

/// Returns the network of this case, by the id of its own process.
pub fn network() -> [u8; 2] {
    let [low, high, ..] = std::process::id().to_le_bytes();
    [0x80 | high & 0x3f, low]
}

/// Returns an address on a host of the network.
pub fn address([second, third]: [u8; 2], host: u8, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, second, third, host), port))
}

/// Returns the settings of a gateway on a host, as the template of the deploy file gives them for the site ncfsu-auburnline.
pub fn gateway_settings(
    network: [u8; 2],
    host: u8,
    store: SocketAddr,
    seeds: &[SocketAddr],
) -> Value {
    let on = |port| address(network, host, port);
    json!({
        "instance": format!("front-milimani-{host}"), "failure_domain": "milimani", "callers": on(8227),
        "readiness": on(8220), "discovery": on(8224), "peers": on(8229), "metrics": on(9464),
        "seeds": seeds, "store": store, "descriptors": 4100, "memory_mb": 260, "revocation_ms": 5000,
        "grace_ms": 8000, "retry_ratio": 0.2, "retry_slack": 90, "retry_window_ms": 10000,
        "stall_ms": 1500, "heartbeat_ms": 1200, "longest_answer_ms": 5000,
        "features": ["startup-hold", "silence-detection"],
    })
}

/// Returns the settings of a sidecar on a host, likewise.
pub fn sidecar_settings(
    network: [u8; 2],
    host: u8,
    gateways: &[SocketAddr],
    service: &str,
) -> Value {
    let on = |port| address(network, host, port);
    json!({
        "instance": format!("side-milimani-{host}"), "failure_domain": "milimani", "peers": on(7340),
        "metrics": on(9465), "gateways": gateways, "engine": on(8228), "service": service,
        "link_mbps": 20.0, "memory_mb": 128,
    })
}

/// Waits until a gateway says that it is ready.
pub fn wait_until_ready(network: [u8; 2], host: u8) -> bool {
    let until = Instant::now() + READY_TIMEOUT;
    while Instant::now() < until {
        let limit = Duration::from_secs(1);
        let answer = http::call(
            address(network, host, 8220),
            "GET /ready",
            "Host: x\r\n",
            b"",
            limit,
        );
        if answer.is_some_and(|answer| answer.status() == 200) {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}
