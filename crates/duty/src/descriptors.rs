//! Number of file descriptors that the process may have.
//!
//! The system sets two limits on a process: one in force, and one up to which the process may raise
//! it. Settings say how many descriptors the operators grant. A program that opens connections by
//! its settings alone can neither accept nor connect once the system refuses it descriptors, and
//! callers wait in a queue that nobody reads.

use std::io;

use rustix::process::Resource;
use rustix::process::Rlimit;
use rustix::process::getrlimit;
use rustix::process::setrlimit;

/// Raises the limit in force to `wanted`, or as far as the system allows, and returns how many
/// descriptors the process may have, at most `wanted`. The result is logged and exported.
///
/// # Errors
///
/// Returns an error that names the limit if it is lower than `least`.
pub fn raise(wanted: usize, least: usize) -> io::Result<usize> {
    let before = getrlimit(Resource::Nofile);
    let raised = raised(before, wanted);
    // A system that refuses leaves the limit as it is.
    let _ = setrlimit(Resource::Nofile, raised);
    let in_force = count(getrlimit(Resource::Nofile).current);
    let limit = in_force.min(wanted);
    log::info!(
        target: "process",
        wanted,
        before = count(before.current),
        allowed = count(before.maximum),
        in_force,
        limit;
        "file descriptors"
    );
    metrics::gauge!("auburnline_descriptors_limit").set(real(limit));
    if limit < least {
        let text =
            format!("the system allows {limit} file descriptors where at least {least} are needed");
        return Err(io::Error::other(text));
    }
    if limit < wanted {
        log::warn!(target: "process", wanted, limit; "the system allows fewer file descriptors than the settings");
    }
    Ok(limit)
}

fn raised(before: Rlimit, wanted: usize) -> Rlimit {
    let wanted = u64::try_from(wanted).unwrap_or(u64::MAX);
    let allowed = before.maximum.map_or(wanted, |most| wanted.min(most));
    Rlimit {
        current: before.current.map(|current| current.max(allowed)),
        ..before
    }
}

/// Returns a limit of the system as a count; one that is not set is the largest count.
fn count(limit: Option<u64>) -> usize {
    limit.map_or(usize::MAX, |limit| {
        usize::try_from(limit).unwrap_or(usize::MAX)
    })
}

fn real(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::INFINITY, f64::from)
}
