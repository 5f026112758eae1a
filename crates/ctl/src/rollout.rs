//! `rollout`: waits until a revision is in force on every process asked.
//!
//! A process never goes back to an older revision, so one that has it, or a newer one, isn't asked
//! again. A process that doesn't answer lacks it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use auburnline_operator::shape::Configuration;
use serde::Serialize;
use tokio::time::sleep;

use crate::error::Error;
use crate::fleet::Fleet;
use crate::fleet::Row;
use crate::options::Options;
use crate::output::Output;

/// Pause between two rounds.
const PAUSE: Duration = Duration::from_millis(200);
/// Processes that a line of progress names.
const NAMED: usize = 5;

#[derive(Serialize)]
struct Answer {
    revision: u64,
    everywhere: bool,
    processes: usize,
    in_force: usize,
    waited_ms: u64,
    lacking: BTreeMap<SocketAddr, String>,
}

/// Waits for a revision; the answer is a no if the time is up before it is in force.
pub(crate) async fn run(
    revision: &str,
    options: &Options,
    output: &mut Output<'_>,
) -> Result<bool, Error> {
    let revision: u64 = revision
        .parse()
        .map_err(|error| Error::usage(format!("{revision}: {error}")))?;
    let fleet = options.fleet()?;
    let answer = wait(revision, &fleet, options.wait()?, output).await;
    if options.json() {
        output.json(&answer)?;
        return Ok(answer.everywhere);
    }
    for (address, why) in &answer.lacking {
        output.line(&format!("lacking: {address} {why}"))?;
    }
    let Answer {
        in_force,
        processes,
        waited_ms,
        ..
    } = answer;
    output.line(&format!(
        "revision {revision} in force on {in_force} of {processes} after {waited_ms} ms"
    ))?;
    Ok(answer.everywhere)
}

async fn wait(revision: u64, fleet: &Fleet, limit: Duration, output: &mut Output<'_>) -> Answer {
    let start = Instant::now();
    let processes = fleet.addresses().len();
    let mut asked = fleet.addresses().to_vec();
    let mut told = String::new();
    loop {
        let rows = fleet.get_from(&asked, "/configuration").await;
        let lacking: BTreeMap<SocketAddr, String> = rows
            .iter()
            .filter_map(|row| lack(row, revision).map(|why| (row.address, why)))
            .collect();
        let waited = start.elapsed();
        if lacking.is_empty() || waited >= limit {
            return Answer {
                revision,
                everywhere: lacking.is_empty(),
                processes,
                in_force: processes - lacking.len(),
                waited_ms: u64::try_from(waited.as_millis()).unwrap_or(u64::MAX),
                lacking,
            };
        }
        let progress = progress(processes, &lacking);
        if progress != told {
            output.note(&progress);
            told = progress;
        }
        asked = lacking.into_keys().collect();
        sleep(PAUSE.min(limit.saturating_sub(waited))).await;
    }
}

/// Returns why a process lacks the revision, if it does.
fn lack(row: &Row<Configuration>, revision: u64) -> Option<String> {
    let Some(configuration) = &row.answer else {
        let trouble = row.trouble.as_ref().map(ToString::to_string);
        return Some(trouble.unwrap_or_default());
    };
    let instance = &configuration.instance;
    match configuration.revision {
        Some(found) if found >= revision => None,
        Some(found) => Some(format!("{instance} has revision {found}")),
        None => Some(format!("{instance} has none")),
    }
}

fn progress(processes: usize, lacking: &BTreeMap<SocketAddr, String>) -> String {
    let named: Vec<String> = lacking
        .iter()
        .take(NAMED)
        .map(|(address, why)| format!("{address} {why}"))
        .collect();
    let in_force = processes - lacking.len();
    let named = named.join("; ");
    let more = lacking.len().saturating_sub(NAMED);
    let more = if more > 0 {
        format!(" and {more} more")
    } else {
        String::new()
    };
    format!("in force on {in_force} of {processes}; lacking: {named}{more}")
}
