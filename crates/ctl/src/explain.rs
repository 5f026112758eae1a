//! `explain`: the decisions on a request or a group, of all processes joined.
//!
//! Ages are measured by each process at the moment it answers, so the order of lines of different
//! processes is right only to within the time of a call.

use std::net::SocketAddr;

use auburnline_operator::shape::Decision;
use auburnline_operator::shape::Decisions;
use auburnline_operator::shape::Field;
use serde::Serialize;

use crate::error::Error;
use crate::fleet::Row;
use crate::fleet::Trouble;
use crate::options::Options;
use crate::output::Output;
use crate::table;
use crate::table::Table;

#[derive(Serialize)]
struct Line {
    instance: String,
    #[serde(flatten)]
    decision: Decision,
}

#[derive(Serialize)]
struct Silent {
    address: SocketAddr,
    trouble: Option<Trouble>,
}

#[derive(Serialize)]
struct Answer {
    decisions: Vec<Line>,
    silent: Vec<Silent>,
}

/// Shows the decisions; the answer is a no if there are none or a process was silent.
pub(crate) async fn run(
    name: &str,
    options: &Options,
    output: &mut Output<'_>,
) -> Result<bool, Error> {
    let fleet = options.fleet()?;
    let name = encode(name);
    let paths = ["request", "group"].map(|key| format!("/decisions?{key}={name}"));
    let (by_request, by_group) = futures::join!(fleet.get(&paths[0]), fleet.get(&paths[1]));
    let answer = join(by_request.into_iter().chain(by_group));
    let good = !answer.decisions.is_empty() && answer.silent.is_empty();
    if options.json() {
        output.json(&answer)?;
        return Ok(good);
    }
    let mut table = Table::new(&["AGE", "INSTANCE", "DECISION", "DETAIL"]);
    for line in &answer.decisions {
        table.push(vec![
            table::time(line.decision.age_ms),
            line.instance.clone(),
            line.decision.decision.clone(),
            detail(&line.decision.fields),
        ]);
    }
    if table.is_empty() {
        output.line("no process keeps a decision on it")?;
    } else {
        for line in table.lines() {
            output.line(&line)?;
        }
    }
    for silent in &answer.silent {
        let trouble = table::cell(silent.trouble.as_ref());
        output.line(&format!("{}: {trouble}", silent.address))?;
    }
    Ok(good)
}

fn join(rows: impl Iterator<Item = Row<Decisions>>) -> Answer {
    let mut decisions = Vec::new();
    let mut silent: Vec<Silent> = Vec::new();
    for row in rows {
        let Some(answer) = row.answer else {
            if silent.iter().all(|known| known.address != row.address) {
                let (address, trouble) = (row.address, row.trouble);
                silent.push(Silent { address, trouble });
            }
            continue;
        };
        let instance = answer.instance;
        decisions.extend(answer.decisions.into_iter().map(|decision| Line {
            instance: instance.clone(),
            decision,
        }));
    }
    decisions.sort_by(|a, b| {
        let (age, number) = (a.decision.age_ms, a.decision.number);
        let order = b.decision.age_ms.cmp(&age);
        let order = order.then_with(|| a.instance.cmp(&b.instance));
        order.then_with(|| number.cmp(&b.decision.number))
    });
    // A name may be a request's and a group's at once; a line is still one line.
    decisions.dedup_by(|a, b| a.instance == b.instance && a.decision.number == b.decision.number);
    Answer { decisions, silent }
}

fn detail(fields: &[Field]) -> String {
    let pairs: Vec<String> = fields
        .iter()
        .map(|Field { key, value }| {
            if value.contains(char::is_whitespace) {
                format!("{key}={value:?}")
            } else {
                format!("{key}={value}")
            }
        })
        .collect();
    pairs.join(" ")
}

/// Returns `text` as a value of a query.
fn encode(text: &str) -> String {
    use std::fmt::Write as _;
    let mut encoded = String::new();
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            let _ = write!(encoded, "%{byte:02X}");
        }
    }
    encoded
}
