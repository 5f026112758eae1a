//! `status`: the fleet at a glance.

use std::collections::BTreeMap;

use auburnline_operator::shape::Group;
use auburnline_operator::shape::Role;
use auburnline_operator::shape::Status;
use serde::Serialize;

use crate::error::Error;
use crate::fleet::Row;
use crate::options::Options;
use crate::output::Output;
use crate::table;
use crate::table::Table;

/// Workspaces shown to a person, those with the most refusals first.
const SHOWN_LIMITS: usize = 10;

/// The fleet's numbers, over the processes that answered.
#[derive(Serialize)]
struct Summary {
    processes: usize,
    unreachable: usize,
    not_ready: usize,
    leaving: usize,
    /// Processes by revision in force; more than one key is a spread.
    revisions: BTreeMap<String, usize>,
    /// Processes by preset in force.
    presets: BTreeMap<String, usize>,
    /// Each group by its freshest report.
    groups: BTreeMap<String, Group>,
    /// Each workspace's limit, summed over the processes.
    limits: BTreeMap<String, Limit>,
    /// Broken invariants with their count.
    violations: BTreeMap<String, u64>,
}

#[derive(Default, Serialize)]
struct Limit {
    tokens_per_second: f64,
    granted: u64,
    refused: u64,
}

#[derive(Serialize)]
struct Answer<'a> {
    summary: &'a Summary,
    processes: &'a [Row<Status>],
}

/// Shows the fleet; the answer is a no if a process is silent or an invariant is broken.
pub(crate) async fn run(options: &Options, output: &mut Output<'_>) -> Result<bool, Error> {
    let rows = options.fleet()?.get("/status").await;
    let summary = summary(&rows);
    if options.json() {
        let processes = &rows;
        let summary = &summary;
        output.json(&Answer { summary, processes })?;
    } else {
        print(&rows, &summary, output)?;
    }
    Ok(summary.unreachable == 0 && summary.violations.is_empty())
}

fn summary(rows: &[Row<Status>]) -> Summary {
    let answers: Vec<&Status> = rows.iter().filter_map(|row| row.answer.as_ref()).collect();
    let mut summary = Summary {
        processes: rows.len(),
        unreachable: rows.len() - answers.len(),
        not_ready: answers.iter().filter(|status| !status.ready).count(),
        leaving: answers.iter().filter(|status| status.leaving).count(),
        revisions: BTreeMap::new(),
        presets: BTreeMap::new(),
        groups: BTreeMap::new(),
        limits: BTreeMap::new(),
        violations: BTreeMap::new(),
    };
    for status in answers {
        summary.add(status);
    }
    summary
}

impl Summary {
    fn add(&mut self, status: &Status) {
        let revision = table::cell(status.revision);
        *self.revisions.entry(revision).or_default() += 1;
        let preset = table::cell(status.preset.as_ref());
        *self.presets.entry(preset).or_default() += 1;
        for group in &status.groups {
            let known = self.groups.get(&group.group);
            if known.is_none_or(|known| known.age_ms > group.age_ms) {
                self.groups.insert(group.group.clone(), group.clone());
            }
        }
        for limit in &status.limits {
            let sum = self.limits.entry(limit.workspace.clone()).or_default();
            sum.tokens_per_second += limit.tokens_per_second;
            sum.granted += limit.granted;
            sum.refused += limit.refused;
        }
        for violation in &status.violations {
            let name = violation.invariant.clone();
            *self.violations.entry(name).or_default() += violation.count;
        }
    }
}

fn print(rows: &[Row<Status>], summary: &Summary, output: &mut Output<'_>) -> Result<(), Error> {
    show(&processes(rows), output)?;
    show(&groups(summary), output)?;
    show(&limits(summary), output)?;
    for (name, count) in &summary.violations {
        output.line(&format!("BROKEN INVARIANT {name}: {count} times"))?;
    }
    output.line(&totals(summary))?;
    Ok(())
}

fn show(table: &Table, output: &mut Output<'_>) -> Result<(), Error> {
    if table.is_empty() {
        return Ok(());
    }
    for line in table.lines() {
        output.line(&line)?;
    }
    output.line("")?;
    Ok(())
}

fn processes(rows: &[Row<Status>]) -> Table {
    let mut table = Table::new(&[
        "ADDRESS",
        "INSTANCE",
        "ROLE",
        "DOMAIN",
        "REVISION",
        "PRESET",
        "READY",
        "LEAVING",
        "SESSIONS",
        "IN FLIGHT",
        "UP",
        "NOTE",
    ]);
    for row in rows {
        let mut cells = vec![row.address.to_string()];
        if let Some(status) = &row.answer {
            cells.extend(process(status));
        } else {
            cells.extend(std::iter::repeat_n(table::NONE.to_owned(), 10));
            cells.push(table::cell(row.trouble.as_ref()));
        }
        table.push(cells);
    }
    table
}

fn process(status: &Status) -> [String; 11] {
    let role = match status.role {
        Role::Entry => "entry",
        Role::Slot => "slot",
    };
    [
        status.instance.clone(),
        role.to_owned(),
        status.failure_domain.clone(),
        table::cell(status.revision),
        table::cell(status.preset.as_ref()),
        table::yes(status.ready),
        table::yes(status.leaving),
        status.sessions.to_string(),
        status.in_flight.to_string(),
        table::time(status.uptime_ms),
        status.reason.clone().unwrap_or_default(),
    ]
}

fn groups(summary: &Summary) -> Table {
    let mut table = Table::new(&[
        "GROUP",
        "POOL",
        "MODEL",
        "ADMITTING",
        "MAP",
        "SKEW",
        "QUEUED",
        "RUNNING",
        "AGE",
    ]);
    for group in summary.groups.values() {
        table.push(vec![
            group.group.clone(),
            group.pool.clone(),
            table::cell(group.model.as_ref()),
            table::yes(group.admitting),
            table::cell(group.generation),
            table::cell(group.skew.map(|skew| format!("{skew:.3}"))),
            group.queued.to_string(),
            group.running.to_string(),
            table::time(group.age_ms),
        ]);
    }
    table
}

fn limits(summary: &Summary) -> Table {
    let mut table = Table::new(&["WORKSPACE", "TOKENS/S", "GRANTED", "REFUSED"]);
    let mut limits: Vec<_> = summary.limits.iter().collect();
    limits.sort_by_key(|(_, limit)| std::cmp::Reverse(limit.refused));
    for (workspace, limit) in limits.into_iter().take(SHOWN_LIMITS) {
        table.push(vec![
            workspace.clone(),
            format!("{:.0}", limit.tokens_per_second),
            limit.granted.to_string(),
            limit.refused.to_string(),
        ]);
    }
    table
}

fn totals(summary: &Summary) -> String {
    let list = |counts: &BTreeMap<String, usize>| {
        let words: Vec<String> = counts
            .iter()
            .map(|(name, count)| format!("{name} ({count})"))
            .collect();
        if words.is_empty() {
            return table::NONE.to_owned();
        }
        words.join(", ")
    };
    format!(
        "{} processes, {} unreachable, {} not ready, {} leaving; revision {}; preset {}",
        summary.processes,
        summary.unreachable,
        summary.not_ready,
        summary.leaving,
        list(&summary.revisions),
        list(&summary.presets),
    )
}
