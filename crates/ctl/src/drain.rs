//! `drain`: progress of a planned stop, and its start.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use auburnline_operator::shape::Drain;
use http::Method;
use tokio::time::sleep;

use crate::error::Error;
use crate::fleet::Fleet;
use crate::fleet::Row;
use crate::options::Options;
use crate::output::Output;
use crate::table;
use crate::table::Table;

/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(500);

/// Shows a drain; the answer is a no if the instance isn't found or, waited for, isn't done.
pub(crate) async fn run(
    instance: &str,
    options: &Options,
    output: &mut Output<'_>,
) -> Result<bool, Error> {
    let fleet = options.fleet()?;
    let rows: Vec<Row<Drain>> = fleet.get("/drain").await;
    let found = rows.iter().find(|row| {
        let answer = row.answer.as_ref();
        answer.is_some_and(|drain| drain.instance == instance)
    });
    let Some(found) = found else {
        let silent = rows.iter().filter(|row| row.answer.is_none()).count();
        let count = rows.len();
        output.note(&format!(
            "none of {count} processes is {instance}; {silent} of them are silent"
        ));
        return Ok(false);
    };
    let mut row = found.clone();
    if options.start() {
        row = fleet.call(row.address, Method::POST, "/drain").await;
    }
    if options.wants_wait() {
        row = wait(&fleet, row, options.wait()?, output).await;
    }
    print(&row, options, output)?;
    let answered = row.answer.as_ref();
    Ok(answered.is_some_and(|drain| drain.done || !options.wants_wait()))
}

async fn wait(
    fleet: &Fleet,
    mut row: Row<Drain>,
    limit: Duration,
    output: &mut Output<'_>,
) -> Row<Drain> {
    let start = Instant::now();
    let address: SocketAddr = row.address;
    loop {
        let done = row.answer.as_ref().is_none_or(|drain| drain.done);
        if done || start.elapsed() >= limit {
            return row;
        }
        if let Some(drain) = &row.answer {
            output.note(&format!("{} in flight", drain.in_flight));
        }
        sleep(PAUSE.min(limit.saturating_sub(start.elapsed()))).await;
        let next: Row<Drain> = fleet.call(address, Method::GET, "/drain").await;
        if next.answer.is_none() {
            // A process that is done ends, and may do so before it could say that it is done.
            if let Some(last) = &mut row.answer {
                last.done = last.leaving && last.in_flight == 0;
            }
            row.trouble = next.trouble;
            return row;
        }
        row = next;
    }
}

fn print(row: &Row<Drain>, options: &Options, output: &mut Output<'_>) -> Result<(), Error> {
    if options.json() {
        output.json(row)?;
        return Ok(());
    }
    let mut table = Table::new(&[
        "INSTANCE",
        "LEAVING",
        "CAUSE",
        "SINCE",
        "LEFT",
        "IN FLIGHT",
        "LAST NEW WORK",
        "CUT",
        "DONE",
    ]);
    if let Some(drain) = &row.answer {
        table.push(vec![
            drain.instance.clone(),
            table::yes(drain.leaving),
            table::cell(drain.cause.as_ref()),
            table::cell(drain.elapsed_ms.map(table::time)),
            table::cell(drain.deadline_ms.map(table::time)),
            drain.in_flight.to_string(),
            table::cell(drain.last_new_work_ms.map(table::time)),
            drain.cut.to_string(),
            table::yes(drain.done),
        ]);
        for line in table.lines() {
            output.line(&line)?;
        }
    }
    if let Some(trouble) = &row.trouble {
        output.line(&format!("{}: {trouble}", row.address))?;
    }
    Ok(())
}
