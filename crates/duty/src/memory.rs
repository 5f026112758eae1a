//! Memory that the process may have, and what it has in use.
//!
//! Settings say how much memory the operators grant, and the system may allow less. A program that
//! keeps what others send without regard to the sum is ended by the system, and everything that is
//! under way ends with it. The heap of a program that links this crate is counted, so that a program
//! can compare what it is about to hold with what is left. The limit on the heap is below that on
//! the process: its code, its stacks and what the allocator keeps between blocks take the rest.

use std::alloc::System;
use std::fs;
use std::io;
use std::path::Path;
use std::sync::OnceLock;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use cap::Cap;
use rustix::process::Resource;
use rustix::process::getrlimit;

#[global_allocator]
static HEAP: Cap<System> = Cap::new(System, usize::MAX);
/// Limit that was found at the start.
static FOUND: OnceLock<Limit> = OnceLock::new();
/// Bytes of the heap that are reserved and not in use yet.
static RESERVED: AtomicUsize = AtomicUsize::new(0);

/// Part of the machine's memory that a process may have where nothing else is said: one half.
const MACHINE_DIVISOR: usize = 2;
/// Memory for code, stacks and the allocator, in bytes.
const OWN_BYTES: usize = 12 << 20;
/// Percentage of the rest that the heap may take.
const HEAP_PERCENT: usize = 70;
/// Least memory with which a program can run, in MiB.
pub const MIN_MEBIBYTES: usize = 32;
/// Bytes of a mebibyte.
const MEBIBYTE: usize = 1 << 20;

/// Returns the bytes of the heap that are in use.
#[must_use]
pub fn in_use() -> usize {
    HEAP.allocated()
}

/// Returns the limit that was found at the start; none before.
#[must_use]
pub fn limit() -> Option<Limit> {
    FOUND.get().copied()
}

/// Limits on the memory of the process, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// What the process may have.
    pub process: usize,
    /// What its heap may have.
    pub heap: usize,
}

impl Limit {
    /// Returns the limit of a process that may have this many bytes.
    #[must_use]
    pub const fn of(process: usize) -> Limit {
        let heap = process.saturating_sub(OWN_BYTES) / 100 * HEAP_PERCENT;
        Limit { process, heap }
    }

    /// Returns the lower of `wanted` MiB and what the system allows, as it was at the first call. The result is logged and exported.
    ///
    /// # Errors
    ///
    /// Returns an error that names the limit if it is too low to run.
    pub fn find(wanted: Option<usize>) -> io::Result<Limit> {
        let allowed = allowed();
        let wanted = wanted.map(|mebibytes| mebibytes.saturating_mul(MEBIBYTE));
        let limit = Limit::of(allowed.min(wanted.unwrap_or(usize::MAX)));
        log::info!(
            target: "process",
            wanted:?,
            allowed,
            limit = limit.process,
            heap = limit.heap;
            "memory"
        );
        metrics::gauge!("auburnline_memory_limit_bytes").set(real(limit.process));
        metrics::gauge!("auburnline_heap_limit_bytes").set(real(limit.heap));
        if limit.process < MIN_MEBIBYTES * MEBIBYTE {
            let text = format!(
                "{} MiB of memory are allowed where at least {MIN_MEBIBYTES} are needed",
                limit.process / MEBIBYTE
            );
            return Err(io::Error::other(text));
        }
        if wanted.is_some_and(|wanted| limit.process < wanted) {
            log::warn!(target: "process", wanted:?, limit = limit.process; "the system allows less memory than the settings");
        }
        Ok(*FOUND.get_or_init(|| limit))
    }

    /// Returns whether the heap may grow by so many bytes and stay below a percentage of its limit.
    #[must_use]
    pub fn has_room(&self, bytes: usize, percent: usize) -> bool {
        let taken = in_use().saturating_add(RESERVED.load(Ordering::Relaxed));
        taken.saturating_add(bytes) <= self.heap / 100 * percent
    }

    /// Reserves so many bytes of the heap, if it stays below a percentage of its limit.
    #[must_use]
    pub fn reserve(&self, bytes: usize, percent: usize) -> Option<Reservation> {
        RESERVED.fetch_add(bytes, Ordering::Relaxed);
        let reservation = Reservation(bytes);
        self.has_room(0, percent).then_some(reservation)
    }
}

/// Bytes of the heap that are kept for something, until it is dropped.
#[derive(Debug)]
pub struct Reservation(usize);

impl Drop for Reservation {
    fn drop(&mut self) {
        RESERVED.fetch_sub(self.0, Ordering::Relaxed);
    }
}

/// Exports how much of the heap is in use.
pub(crate) fn export() {
    metrics::gauge!("auburnline_heap_bytes").set(real(in_use()));
}

/// Returns how many bytes the system lets the process have.
fn allowed() -> usize {
    let resources = [Resource::As, Resource::Data];
    let limits = resources.map(|resource| getrlimit(resource).current);
    let limits = limits.into_iter().flatten();
    let limits = limits.map(|limit| usize::try_from(limit).unwrap_or(usize::MAX));
    let machine = machine().map(|bytes| bytes / MACHINE_DIVISOR);
    let all = limits.chain(control_group()).chain(machine);
    all.min().unwrap_or(usize::MAX)
}

/// Returns the memory of the machine.
fn machine() -> Option<usize> {
    let text = fs::read_to_string("/proc/meminfo").ok()?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kibibytes: usize = line.split_whitespace().next()?.parse().ok()?;
    Some(kibibytes << 10)
}

/// Returns the lowest limit of the control groups that the process belongs to.
fn control_group() -> Option<usize> {
    let text = fs::read_to_string("/proc/self/cgroup").ok()?;
    text.lines().filter_map(limit_of_group).min()
}

/// Returns the limit of a line of `/proc/self/cgroup`, which gives a hierarchy, its controllers and the path of a group.
fn limit_of_group(line: &str) -> Option<usize> {
    let mut fields = line.splitn(3, ':');
    let (_, controllers, path) = (fields.next()?, fields.next()?, fields.next()?);
    let (root, file) = match controllers {
        "" => ("/sys/fs/cgroup", "memory.max"),
        "memory" => ("/sys/fs/cgroup/memory", "memory.limit_in_bytes"),
        _ => return None,
    };
    let group = Path::new(root).join(path.trim_start_matches('/'));
    let groups = group.ancestors().filter(|group| group.starts_with(root));
    let limits = groups.filter_map(|group| fs::read_to_string(group.join(file)).ok());
    limits.filter_map(|limit| limit.trim().parse().ok()).min()
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a metric needs no more than 53 bits"
)]
const fn real(bytes: usize) -> f64 {
    bytes as f64
}
