//! Programs that the system lets have fewer file descriptors than their settings say.

use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use serde_json::Value;
use serde_json::json;

use crate::support::programs;

/// Descriptors with which neither program can run.
const TOO_FEW: usize = 40;
/// Descriptors in force, of which the settings want more, and of which more are allowed.
const IN_FORCE: usize = 128;
/// Longest time that a program takes to say what descriptors it has.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Returns an address that nobody uses.
fn free() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    listener.local_addr().expect("an address")
}

fn settings(own: &Value) -> Value {
    let mut settings = json!({
        "instance": "draft-1", "failure_domain": "north", "peer": free(), "operator": free(),
        "operator_token": "0123456789abcdef", "platform": free(), "seeds": [],
        "limits": {"max_connections": 256},
    });
    let own = own.as_object().expect("fields").clone();
    settings.as_object_mut().expect("fields").extend(own);
    settings
}

/// Starts a program with a limit on descriptors that `ulimit` sets with these options.
fn start(binary: &Path, options: &str, limit: usize, own: &Value) -> Child {
    let name = format!(
        "descriptors-{}-{limit}.json",
        own.as_object().expect("fields").len()
    );
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, settings(own).to_string()).expect("settings");
    let script = format!("ulimit {options} {limit} && exec \"$@\"");
    let mut command = Command::new("sh");
    command
        .args(["-c", &script, "sh"])
        .arg(binary)
        .arg("--settings")
        .arg(path);
    let child = command.stdout(Stdio::null()).stderr(Stdio::piped()).spawn();
    child.expect("a program")
}

/// Returns what a program said until it ended, or was killed after `time`.
fn end(mut child: Child, time: Duration) -> Output {
    let until = Instant::now() + time;
    while Instant::now() < until && child.try_wait().expect("a state").is_none() {
        thread::sleep(Duration::from_millis(20));
    }
    let _ = child.kill();
    child.wait_with_output().expect("an end")
}

fn own_of_entry() -> Value {
    json!({"caller": free()})
}

fn own_of_slot() -> Value {
    json!({"upstream": free(), "upstream_kind": "service", "lock": free()})
}

fn expect_told(binary: &Path, own: &Value) {
    let output = end(start(binary, "-n", TOO_FEW, own), TIMEOUT);
    let told = String::from_utf8_lossy(&output.stderr);
    expect_that!(output.status.code(), some(eq(1)), "{told}");
    expect_that!(
        told,
        contains_substring("the system allows 40 file descriptors")
    );
}

fn expect_raised(binary: &Path, own: &Value) {
    let mut child = start(binary, "-S -n", IN_FORCE, own);
    let folder = PathBuf::from(format!("/proc/{}", child.id()));
    let is_started = || fs::read_link(folder.join("exe")).is_ok_and(|exe| exe == binary);
    let in_force = || {
        let limits = fs::read_to_string(folder.join("limits")).unwrap_or_default();
        let mut lines = limits.lines();
        let line = lines.find_map(|line| line.strip_prefix("Max open files"));
        let count = line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok());
        count.unwrap_or(0)
    };
    let until = Instant::now() + TIMEOUT;
    while !(is_started() && in_force() > IN_FORCE) && Instant::now() < until {
        thread::sleep(Duration::from_millis(20));
    }
    expect_that!(is_started(), eq(true));
    expect_that!(in_force(), gt(256));
    expect_that!(child.try_wait().expect("a state"), none());
    end(child, Duration::ZERO);
}

/// Guards against an entry that starts with too few descriptors to serve.
#[gtest]
fn an_entry_with_too_few_descriptors_says_so_and_ends() {
    expect_told(&programs().entry, &own_of_entry());
}

/// Guards against the same for a slot.
#[gtest]
fn a_slot_with_too_few_descriptors_says_so_and_ends() {
    expect_told(&programs().slot, &own_of_slot());
}

/// Guards against an entry that leaves the limit in force below what its settings want and the system allows.
#[gtest]
fn an_entry_raises_the_limit_in_force() {
    expect_raised(&programs().entry, &own_of_entry());
}

/// Guards against the same for a slot.
#[gtest]
fn a_slot_raises_the_limit_in_force() {
    expect_raised(&programs().slot, &own_of_slot());
}
