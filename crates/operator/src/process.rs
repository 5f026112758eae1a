//! What the process itself uses, as the kernel tells it.

use std::fs;

/// Clock ticks a second in the kernel's answers; fixed on Linux.
const TICKS: f64 = 100.0;
/// Fields of the statistics between the program's name and the user time.
const BEFORE_USER_TIME: usize = 11;

/// Processor time and memory of this process; zero where the kernel doesn't tell.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    pub(crate) cpu_seconds: f64,
    pub(crate) resident_bytes: f64,
}

pub(crate) fn usage() -> Usage {
    Usage {
        cpu_seconds: cpu_seconds().unwrap_or_default(),
        resident_bytes: resident_bytes().unwrap_or_default(),
    }
}

fn cpu_seconds() -> Option<f64> {
    let text = fs::read_to_string("/proc/self/stat").ok()?;
    // The program's name may hold blanks; it ends at the last bracket.
    let (_, fields) = text.rsplit_once(')')?;
    let mut fields = fields.split_whitespace().skip(BEFORE_USER_TIME);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((user + system) / TICKS)
}

fn resident_bytes() -> Option<f64> {
    let text = fs::read_to_string("/proc/self/status").ok()?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kibibytes: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kibibytes * 1024.0)
}
